//! Invalid input gets a clear error, nothing runs, and the entry keeps serving.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::RunnerConfig;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        UdpSocket, //
    },
};

use super::serving::{
    ORG_KEY,
    RunningFleet, //
};

const FLEET: &str = include_str!("fleet.toml");

/// Sends raw bytes and reads the response until the entry closes the connection.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    // The entry may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("")
}

/// Each kind of invalid request gets its own status with `not_run`. A valid
/// request after them is served, and it is the only one that reaches an engine.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() {
    let mut plan = LocalPlan::small(&["lima-ate"]);
    plan.limits.body_bytes = 64 << 10;
    plan.limits.header_timeout = Duration::from_millis(300);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let addr = serving.local.entries()[0].addrs().callers;
    let auth = format!("authorization: Bearer {ORG_KEY}\r\n");
    let good = br#"{"messages":[{"role":"user","content":"hola"}]}"#;
    let cases: [(&str, Vec<u8>, &str); 11] = [
        ("no key", post("", good), "401"),
        (
            "unknown key",
            post("authorization: Bearer x\r\n", good),
            "401",
        ),
        ("broken JSON", post(&auth, b"{\"messages\":"), "400"),
        (
            "bad UTF-8",
            post(&auth, b"{\"messages\":\"\xff\xfe\"}"),
            "400",
        ),
        ("no messages", post(&auth, b"{\"model\":\"auto\"}"), "400"),
        (
            "too many tokens",
            post(
                &auth,
                br#"{"messages":[{"content":"a"}],"max_tokens":99999999}"#,
            ),
            "400",
        ),
        (
            "unknown class",
            post(&format!("{auth}x-class: nada\r\n"), good),
            "400",
        ),
        (
            "missing key",
            post(&format!("{auth}x-class: job-sheet\r\n"), good),
            "400",
        ),
        ("large body", post(&auth, &vec![b' '; 128 << 10]), "413"),
        (
            "large head",
            post(&format!("x-large: {}\r\n", "a".repeat(256 << 10)), good),
            "431",
        ),
        (
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(),
            "400",
        ),
    ];
    for (what, bytes, wanted) in cases {
        let answer = send_raw(addr, &bytes).await;
        assert_eq!(status(&answer), wanted, "{what}: {answer}");
        if !matches!(wanted, "431") && what != "no HTTP" {
            assert!(
                answer.contains("\"outcome\":\"not_run\""),
                "{what}: {answer}"
            );
        }
    }
    let model = br#"{"model":"otro","messages":[{"content":"a"}]}"#;
    assert_eq!(status(&send_raw(addr, &post(&auth, model)).await), "403");
    let answer = serving.caller().chat("question", "sigue", &[]).await;
    assert_eq!(answer.status, 200);
    let runs: u32 = serving
        .servers
        .runners
        .iter()
        .map(|runner| runner.books().totals().started)
        .sum();
    assert_eq!(runs, 1, "only the good request ran");
}

/// A caller that does not complete the request head is disconnected after the
/// header timeout, so that it cannot occupy a connection forever.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head() {
    let mut plan = LocalPlan::small(&["lima-ate"]);
    plan.limits.header_timeout = Duration::from_millis(300);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let addr = serving.local.entries()[0].addrs().callers;
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(b"POST /v1/ch").await.expect("sent");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(60), stream.read_to_end(&mut rest));
    closed.await.expect("the entry closes").expect("read");
    assert_eq!(
        serving.caller().chat("question", "sigue", &[]).await.status,
        200
    );
}

/// Random bytes and invalid announcements on the other ports do not affect the
/// service.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_ports() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let addrs = serving.local.entries()[0].addrs();
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for n in 0..200_u32 {
        let bytes: Vec<u8> = (0..1200_u32).map(|i| (i * 31 + n * 17) as u8).collect();
        let _ = socket.send_to(&bytes, addrs.link).await;
    }
    let key = "authorization: Bearer announce-local\r\n";
    let announce = |headers: &str, body: &str| {
        format!(
            "POST /announce HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let absurd = r#"{"pool":"asistente-partes","domain":"luna","addr":"127.0.0.1:9",
        "incarnation":1,"seq":1,"load":{"running":4294967295,"waiting":0,"kv_used":-1.0,"age_ms":0}}"#;
    let cases = [
        (announce("", "{}"), "401"),
        (
            announce("authorization: Bearer obra-key\r\n", absurd),
            "401",
        ),
        (announce(key, "{"), "400"),
        (announce(key, r#"{"pool":1}"#), "400"),
        (announce(key, absurd), "409"),
    ];
    for (bytes, wanted) in cases {
        let answer = send_raw(addrs.announcements, bytes.as_bytes()).await;
        assert_eq!(status(&answer), wanted, "{answer}");
    }
    assert_eq!(
        serving.caller().chat("question", "sigue", &[]).await.status,
        200
    );
}
