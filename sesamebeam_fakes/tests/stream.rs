//! Streamed and whole answers of a runner.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use sesamebeam_fakes::{
    Runner,
    RunnerConfig,
    answer::expected_bad_answer,
    client::{
        Call,
        Client,
        call,
        text_of, //
    },
    expected_answer_of, //
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const VERSION: &str = "beam@v7";

fn config() -> RunnerConfig {
    RunnerConfig {
        versions: vec![VERSION.into()],
        ..RunnerConfig::default()
    }
}

async fn start(cfg: RunnerConfig) -> Runner {
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

#[parameterized(
    at_once = { Duration::ZERO },
    token_by_token = { Duration::from_micros(200) },
)]
#[test_macro(tokio::test)]
async fn whole_stream(token_delay: Duration) {
    let runner = start(RunnerConfig {
        token_delay,
        ..config()
    })
    .await;
    let req = Call::chat(VERSION, "where is lock 4?", 20, true).request_id(7);
    let reply = call(runner.addr(), req).await.unwrap();

    let events = reply.events();
    assert_eq!(reply.header("content-type"), "text/event-stream");
    assert_eq!(
        reply.header("x-incarnation"),
        runner.incarnation().to_string()
    );
    assert_eq!(
        events.iter().map(|e| e.id).collect::<Vec<_>>(),
        Vec::from_iter(1..=22)
    );
    assert_eq!(
        text_of(&events),
        expected_answer_of(VERSION, "where is lock 4?", 20)
    );
    assert!(events[20].data.contains(r#""completion_tokens":20"#));
    assert!(events[21].is_done());
    assert_eq!(runner.books().request(7).finished, 1);
}

#[tokio::test]
async fn whole_answer() {
    let runner = start(config()).await;
    let req = Call::chat(VERSION, "hello", 5, false);
    let body = call(runner.addr(), req).await.unwrap().json();
    let text = &body["choices"][0]["message"]["content"];
    assert_eq!(*text, json!(expected_answer_of(VERSION, "hello", 5)));
    assert_eq!(body["usage"]["completion_tokens"], json!(5));
}

#[parameterized(
    unknown_version = { Call::chat("beam@v9", "x", 4, true), StatusCode::NOT_FOUND },
    no_tokens = { Call::chat(VERSION, "x", 0, true), StatusCode::BAD_REQUEST },
    broken_json = { Call::post("/v1/chat/completions", "{"), StatusCode::BAD_REQUEST },
    broken_id = { Call::get("/v1/streams/xyz"), StatusCode::BAD_REQUEST },
    unknown_call = { Call::get("/nothing"), StatusCode::NOT_FOUND },
)]
#[test_macro(tokio::test)]
async fn refused_call(req: Call, status: StatusCode) {
    let runner = start(config()).await;
    assert_eq!(call(runner.addr(), req).await.unwrap().status, status);
    assert_eq!(runner.books().totals().started, 0);
}

/// The caller is told 503 while the only slot and the only place in the queue
/// are taken. The refused request never starts, so "not run" is true.
#[tokio::test]
async fn queue_full() {
    let runner = start(RunnerConfig {
        slots: 1,
        max_waiting: 1,
        token_delay: Duration::from_secs(3600),
        ..config()
    })
    .await;
    let mut clients = Vec::new();
    for id in 1..=2 {
        let mut client = Client::connect(runner.addr()).await.unwrap();
        let req = Call::chat(VERSION, "x", 4, true).request_id(id);
        let opened = client.open(req).await.unwrap();
        clients.push((client, opened));
    }
    let load = runner.load();
    assert_eq!((load.running, load.waiting), (1, 1));

    let third = Call::chat(VERSION, "x", 4, true).request_id(3);
    let reply = call(runner.addr(), third).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("retry-after"), "1");
    assert_eq!(runner.books().request(3).started, 0);
}

/// Three requests wait for one slot. The urgent one came last and runs first,
/// the deferrable one came first and runs last.
#[tokio::test]
async fn priority_order() {
    let runner = start(RunnerConfig {
        slots: 1,
        token_delay: Duration::from_secs(3600),
        ..config()
    })
    .await;
    let mut clients = Vec::new();
    for (id, priority) in [
        (1, "normal"),
        (2, "deferrable"),
        (3, "normal"),
        (4, "urgent"),
    ] {
        let mut client = Client::connect(runner.addr()).await.unwrap();
        let req = Call::chat(VERSION, "x", 4, true)
            .request_id(id)
            .header("x-priority", priority);
        let opened = client.open(req).await.unwrap();
        clients.push((client, opened));
    }
    for id in [1, 4, 3, 2] {
        call(
            runner.addr(),
            Call::delete(format!("/v1/streams/{id:032x}")),
        )
        .await
        .unwrap();
    }
    let order: Vec<u128> = runner.books().runs().iter().map(|r| r.request).collect();
    assert_eq!(order, [1, 4, 3, 2]);
}

/// A version turns bad in the middle of a shift: its answers carry the mark that
/// the rating service knows, until it is made good again.
#[tokio::test]
async fn bad_version() {
    let runner = start(config()).await;
    let (addr, prompt) = (runner.addr(), "cargo note");
    let good = expected_answer_of(VERSION, prompt, 8);
    let poor = expected_bad_answer(VERSION, prompt, 8);
    for (bad, expected) in [(false, &good), (true, &poor), (false, &good)] {
        runner.set_bad(VERSION, bad);
        let req = Call::chat(VERSION, prompt, 8, true);
        let reply = call(addr, req).await.unwrap();
        assert_eq!(text_of(&reply.events()), *expected);
    }
}

/// A request that would take hours ends at once when the runner becomes fast.
#[tokio::test]
async fn changed_speed() {
    let runner = start(config()).await;
    runner.set_token_delay(Duration::from_secs(3600));
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let req = Call::chat(VERSION, "x", 8, true);
    let opened = client.open(req).await.unwrap();
    assert_eq!(runner.load().running, 1);
    runner.set_token_delay(Duration::ZERO);
    assert_eq!(opened.finish().await.events().len(), 10);
}
