//! Cancelling of requests at a runner.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use sesamebeam_fakes::{
    Runner,
    RunnerConfig,
    client::{
        Call,
        Client,
        call, //
    }, //
};
use tokio_util::sync::CancellationToken;

const VERSION: &str = "beam@v7";

async fn start(token_delay: Duration) -> Runner {
    let cfg = RunnerConfig {
        versions: vec![VERSION.into()],
        token_delay,
        ..RunnerConfig::default()
    };
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

fn chat(id: u128) -> Call {
    Call::chat(VERSION, "roster", 8, true).request_id(id)
}

async fn cancel(runner: &Runner, id: u128) -> serde_json::Value {
    let req = Call::delete(format!("/v1/streams/{id:032x}"));
    call(runner.addr(), req).await.unwrap().json()
}

/// A running request is cancelled: its stream breaks off without the end mark,
/// and the id is refused from then on.
#[tokio::test]
async fn running_request() {
    let runner = start(Duration::from_secs(3600)).await;
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let opened = client.open(chat(1)).await.unwrap();
    assert_eq!(cancel(&runner, 1).await, json!({"state": "cancelled"}));
    assert_eq!(cancel(&runner, 1).await, json!({"state": "cancelled"}));
    assert!(opened.finish().await.truncated);
    assert_eq!(runner.load().running, 0);

    let again = call(runner.addr(), chat(1)).await.unwrap();
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(runner.books().request(1).started, 1);
}

/// The cancel overtakes its request. The runner says that it never had it, and
/// refuses it when it comes: only so is "not run" true.
#[tokio::test]
async fn before_request() {
    let runner = start(Duration::ZERO).await;
    assert_eq!(cancel(&runner, 1).await, json!({"state": "never"}));
    let late = call(runner.addr(), chat(1)).await.unwrap();
    assert_eq!(late.status, StatusCode::CONFLICT);
    assert_eq!(runner.books().request(1).started, 0);
}

#[tokio::test]
async fn finished_request() {
    let runner = start(Duration::ZERO).await;
    call(runner.addr(), chat(1)).await.unwrap();
    assert_eq!(cancel(&runner, 1).await, json!({"state": "finished"}));
}
