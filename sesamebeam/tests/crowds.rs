//! Crowds of clients that do not behave, before an entry of the own interface.

#[path = "real/caller.rs"]
#[expect(dead_code, reason = "shared with the tests of real processes")]
mod caller;
#[path = "real/fleet.rs"]
#[expect(dead_code, reason = "shared with the tests of real processes")]
mod fleet;

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::future::join_all;
use sesamebeam::local::LocalPlan;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    time::{
        sleep,
        timeout, //
    },
};
use yare::parameterized;

use self::fleet::{
    DOMAINS,
    ORG_KEY,
    Processes,
    start_fleet, //
};

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The entry that the crowd meets.
const ENTRY: &str = "lima-ate-1";

/// Its memory, the most connections of its callers, and the most descriptors with all others.
const MEMORY: usize = 48 << 20;
const CONNECTIONS: usize = 150;
const MAX_FDS: usize = 300;

/// Largest body that the settings allow, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Clients of a crowd, and those that only connect.
const CLIENTS: usize = 100;
const IDLE_CLIENTS: usize = 400;

/// Bytes of a body in chunks of one byte.
const TINY_BYTES: usize = 60_000;

/// Time for which a client that is not read goes on sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of looks at the memory, the looks after which it has settled if nothing changed, and
/// the most of them.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
const SETTLED_LOOKS: usize = 5;
const SETTLE_LOOKS: usize = 100;

/// What each client sends, before it stops and keeps its connection open.
#[derive(Clone, Copy, Debug)]
enum Sends {
    /// All but the last byte of the largest body, with its length.
    Whole,
    /// A body in chunks of one byte, without its end.
    Tiny,
    /// A head without end.
    Head,
}

impl Sends {
    fn bytes(self, path: &str) -> Vec<u8> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {ORG_KEY}\r\n\
             Content-Type: application/json\r\n"
        );
        let text = match self {
            Self::Whole => {
                let body = " ".repeat(MAX_BODY - 1);
                format!("{head}Content-Length: {MAX_BODY}\r\n\r\n{body}")
            }
            Self::Tiny => {
                let body = "1\r\n \r\n".repeat(TINY_BYTES);
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{body}")
            }
            Self::Head => {
                let line = format!("X-Filler: {}\r\n", "x".repeat(1000));
                head + &line.repeat(400)
            }
        };
        text.into_bytes()
    }
}

/// Sends from all clients of a crowd. Returns their connections, those that are still open.
async fn send_all(addr: SocketAddr, bytes: Vec<u8>) -> Vec<TcpStream> {
    let bytes = Arc::new(bytes);
    let clients = (0..CLIENTS).map(|_| {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.ok()?;
            // One that is not read stays open.
            if let Ok(written) = timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await {
                written.ok()?;
            }
            Some(stream)
        })
    });
    let clients = join_all(clients).await.into_iter();
    clients.filter_map(|c| c.expect("no panic")).collect()
}

/// Returns the memory that the entry has had at most, in bytes.
fn peak(processes: &Processes) -> usize {
    let path = format!("/proc/{}/status", processes.pid(ENTRY));
    let status = fs::read_to_string(path).expect("it lives");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kib: Option<usize> = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    kib.expect("a number") << 10
}

/// Waits until the entry does not take more memory any more.
async fn settle(processes: &Processes) {
    let (mut last, mut unchanged) = (0, 0);
    for _ in 0..SETTLE_LOOKS {
        let now = peak(processes);
        unchanged = if now == last { unchanged + 1 } else { 0 };
        if unchanged >= SETTLED_LOOKS {
            return;
        }
        last = now;
        sleep(SETTLE_INTERVAL).await;
    }
}

/// Checks that the entry answers an ordinary request, and lives within its means.
async fn check(processes: &Processes) {
    settle(processes).await;
    let mut answer = None;
    for number in 0..100 {
        let key = format!("corriente-{number}");
        let key = [("idempotency-key", key.as_str())];
        let (body, headers) = caller::chat("job-sheet", "parte corriente", &key);
        let caller = processes.caller(0);
        let sent = caller.send("POST", "/v1/chat/completions", &headers, body);
        answer = sent.await;
        if answer.as_ref().is_some_and(|a| a.status == 200) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let status = answer.as_ref().map(|a| a.status.as_u16());
    assert_eq!(status, Some(200), "an ordinary request: {answer:?}");
    let fds = fs::read_dir(format!("/proc/{}/fd", processes.pid(ENTRY)));
    let (peak, fds) = (peak(processes), fds.expect("it lives").count());
    assert!(peak <= MEMORY, "{peak} bytes of {MEMORY}");
    assert!(fds <= MAX_FDS, "{fds} descriptors of {MAX_FDS}");
}

fn plan() -> LocalPlan {
    let mut plan = LocalPlan::small(&DOMAINS);
    plan.limits.memory_bytes = MEMORY;
    plan.limits.body_bytes = MAX_BODY;
    plan.limits.connections = CONNECTIONS;
    plan
}

#[parameterized(
    whole = { "/v1/chat/completions", Sends::Whole },
    tiny = { "/v1/chat/completions", Sends::Tiny },
    service = { "/services/registro/nota", Sends::Whole },
    head = { "/v1/chat/completions", Sends::Head },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn caller_memory(path: &str, sends: Sends) {
    // Guards against an entry that runs out of memory because many callers send much at once.
    let _alone = ONE_AT_A_TIME.lock().await;
    let running = start_fleet(&plan(), Duration::from_millis(5)).await;
    let processes = &running.processes;
    let addr = processes.settings.entries[0].listen.callers;
    let open = send_all(addr, sends.bytes(path)).await;
    check(processes).await;
    drop(open);
}

#[tokio::test(flavor = "multi_thread")]
async fn announcement_memory() {
    // Guards against an entry that runs out of memory because many clients send heads without end
    // where backend servers announce themselves.
    let _alone = ONE_AT_A_TIME.lock().await;
    let running = start_fleet(&plan(), Duration::from_millis(5)).await;
    let processes = &running.processes;
    let addr = processes.settings.entries[0].listen.announcements;
    let open = send_all(addr, Sends::Head.bytes("/announce")).await;
    check(processes).await;
    drop(open);
}

#[parameterized(callers = { true }, announcements = { false })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn idle_connections(is_callers: bool) {
    // Guards against callers who are refused because others keep connections open.
    let _alone = ONE_AT_A_TIME.lock().await;
    let running = start_fleet(&plan(), Duration::from_millis(5)).await;
    let processes = &running.processes;
    let listen = &processes.settings.entries[0].listen;
    let addr = match is_callers {
        true => listen.callers,
        false => listen.announcements,
    };
    let mut open = Vec::new();
    for _ in 0..IDLE_CLIENTS {
        if let Ok(Ok(stream)) = timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await {
            open.push(stream);
        }
    }
    check(processes).await;
    drop(open);
}
