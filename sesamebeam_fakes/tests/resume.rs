//! Resuming of streams after connections and runners have failed.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use sesamebeam_fakes::{
    Runner,
    RunnerConfig,
    client::{
        Call,
        Client,
        call,
        text_of, //
    },
    expected_answer_of, //
};
use tokio_util::sync::CancellationToken;

const VERSION: &str = "beam@v7";
const TOKENS: u32 = 30;

fn config() -> RunnerConfig {
    RunnerConfig {
        versions: vec![VERSION.into()],
        token_delay: Duration::from_millis(1),
        ..RunnerConfig::default()
    }
}

async fn start(cfg: RunnerConfig) -> Runner {
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

fn chat(id: u128) -> Call {
    Call::chat(VERSION, "berth?", TOKENS, true).request_id(id)
}

fn resume(id: u128, offset: usize) -> Call {
    Call::get(format!("/v1/streams/{id:032x}?offset={offset}"))
}

/// The caller's connection breaks after ten events. The runner goes on, and a
/// resume gives the rest, so that both parts together are the whole answer.
#[tokio::test]
async fn after_cut() {
    let runner = start(config()).await;
    runner.cut_streams(Some(10));
    let first = call(runner.addr(), chat(1)).await.unwrap();
    assert!(first.truncated);
    let mut events = first.events();
    assert_eq!(events.len(), 10);

    runner.cut_streams(None);
    let rest = call(runner.addr(), resume(1, 10)).await.unwrap();
    events.extend(rest.events());
    assert_eq!(
        text_of(&events),
        expected_answer_of(VERSION, "berth?", TOKENS)
    );
    assert!(events.last().unwrap().is_done());
    assert_eq!(runner.books().request(1).started, 1);
}

/// Every open connection falls silent for good while new ones work. The old
/// connection gives no event more, and a resume over a new one gives all.
#[tokio::test]
async fn silent_connection() {
    let runner = start(config()).await;
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let mut opened = client.open(chat(1)).await.unwrap();
    opened.events(3).await;
    runner.silence();

    let reply = call(runner.addr(), resume(1, 0)).await.unwrap();
    assert_eq!(reply.events().len(), TOKENS as usize + 2);
    let old = tokio::time::timeout(Duration::from_millis(50), opened.finish()).await;
    assert!(old.is_err(), "the silent connection must not end");
}

/// The runner answers nobody for a while, as behind a partition, and goes on
/// afterwards with the same connections.
#[tokio::test]
async fn muted_for_while() {
    let runner = start(config()).await;
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let mut opened = client.open(chat(1)).await.unwrap();
    opened.events(1).await;
    runner.mute(true);
    let health = call(runner.addr(), Call::get("/health"));
    let silent = tokio::time::timeout(Duration::from_millis(50), health).await;
    assert!(silent.is_err());

    runner.mute(false);
    assert!(!opened.finish().await.truncated);
}

/// A stream is kept for its retention only; after it the runner still knows
/// that it had the request. An id that it never had is told apart.
#[tokio::test]
async fn gone_or_never() {
    let runner = start(RunnerConfig {
        retention: Duration::ZERO,
        ..config()
    })
    .await;
    call(runner.addr(), chat(1)).await.unwrap();
    for (id, state) in [(1, "gone"), (2, "never")] {
        let reply = call(runner.addr(), resume(id, 0)).await.unwrap();
        assert_eq!(reply.status, StatusCode::NOT_FOUND);
        assert_eq!(reply.json(), json!({ "state": state }));
    }
}

/// A crash breaks every connection and forgets every stream. The runner comes
/// back on its address with a greater incarnation and says "never" of a request
/// that it did run: only the incarnation shows that this proves nothing.
#[tokio::test]
async fn after_restart() {
    let runner = start(config()).await;
    let life = runner.incarnation();
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let mut opened = client.open(chat(1)).await.unwrap();
    opened.events(2).await;
    runner.die().await;
    assert!(opened.finish().await.truncated);
    assert!(Client::connect(runner.addr()).await.is_err());

    runner.restart().await.unwrap();
    let reply = call(runner.addr(), resume(1, 0)).await.unwrap();
    assert_eq!(reply.json(), json!({"state": "never"}));
    assert_eq!(
        reply.header("x-incarnation"),
        runner.incarnation().to_string()
    );
    assert!(runner.incarnation() > life);
    assert_eq!(runner.books().request(1).started, 1);
}

/// A request that holds the killer text crashes the runner each time, and the
/// caller's connection breaks without an answer. The runner comes back by itself.
#[tokio::test]
async fn killer_request() {
    let runner = start(RunnerConfig {
        restart_after: Some(Duration::ZERO),
        ..config()
    })
    .await;
    runner.add_killer("deadly");
    let life = runner.incarnation();
    let mut crashes = runner.books().watch_crashes();
    let killer = Call::chat(VERSION, "so deadly", 4, true);
    assert!(call(runner.addr(), killer).await.is_err());
    crashes.wait_for(|&crashes| crashes == 1).await.unwrap();

    let reply = loop {
        // Between the crash and the restart connections are refused.
        if let Ok(reply) = call(runner.addr(), chat(2)).await {
            break reply;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!(reply.events().len(), TOKENS as usize + 2);
    assert!(runner.incarnation() > life);
}
