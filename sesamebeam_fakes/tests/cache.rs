//! The prefix cache of a runner.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{
    Value,
    json, //
};
use sesamebeam_fakes::{
    Runner,
    RunnerConfig,
    client::{
        Call,
        call, //
    }, //
};
use tokio_util::sync::CancellationToken;

const VERSION: &str = "beam@v7";

/// Prompt of 25 tokens, at four bytes a token.
const PROMPT: [u8; 100] = [b'x'; 100];

async fn start(kv_tokens: u32) -> Runner {
    let cfg = RunnerConfig {
        versions: vec![VERSION.into()],
        kv_tokens,
        ..RunnerConfig::default()
    };
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

/// Runs a request with that prefix and gives the tokens that the cache covered.
async fn cached(runner: &Runner, prefix: u64) -> Value {
    let prompt = str::from_utf8(&PROMPT).unwrap();
    let req = Call::chat(VERSION, prompt, 4, false).header("x-prefix", &format!("{prefix:016x}"));
    let body = call(runner.addr(), req).await.unwrap().json();
    body["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
}

#[tokio::test]
async fn prefix_reused() {
    let runner = start(1000).await;
    assert_eq!(cached(&runner, 1).await, json!(0));
    assert_eq!(cached(&runner, 1).await, json!(25));
    assert_eq!(cached(&runner, 2).await, json!(0));
}

#[tokio::test]
async fn oldest_dropped() {
    let runner = start(60).await;
    for prefix in [1, 2, 1, 3] {
        cached(&runner, prefix).await;
    }
    assert_eq!(cached(&runner, 1).await, json!(25));
    assert_eq!(cached(&runner, 2).await, json!(0));
}

#[tokio::test]
async fn export_import() {
    let (from, to) = (start(1000).await, start(1000).await);
    cached(&from, 1).await;
    let path = "/v1/kv/0000000000000001";
    let export = call(from.addr(), Call::get(path)).await.unwrap();
    let put = Call::new(hyper::Method::PUT, path, export.body);
    let import = call(to.addr(), put).await.unwrap();
    assert_eq!(import.status, StatusCode::NO_CONTENT);
    assert_eq!(cached(&to, 1).await, json!(25));

    let missing = call(to.addr(), Call::get("/v1/kv/2")).await.unwrap();
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
}

/// A prompt that the cache covers is read at once; another one takes its time.
#[tokio::test]
async fn prefill_time() {
    let cfg = RunnerConfig {
        versions: vec![VERSION.into()],
        prefill_delay: Duration::from_millis(2),
        ..RunnerConfig::default()
    };
    let runner = Runner::start(cfg, CancellationToken::new()).await.unwrap();
    let begin = tokio::time::Instant::now();
    assert_eq!(cached(&runner, 1).await, json!(0));
    assert!(begin.elapsed() >= Duration::from_millis(50));
    assert_eq!(cached(&runner, 1).await, json!(25));
}
