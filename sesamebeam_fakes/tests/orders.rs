//! Orders to load and unload versions and to change role.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{
    Value,
    json, //
};
use sesamebeam_fakes::{
    Runner,
    RunnerConfig,
    WeightStore,
    WeightsConfig,
    client::{
        Call,
        call, //
    },
    runner::orders::Role, //
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

async fn start(cfg: RunnerConfig) -> Runner {
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

async fn order(runner: &Runner, desired: Value, fencing: u64) -> StatusCode {
    let body = json!({"desired": desired, "fencing": fencing}).to_string();
    let reply = call(runner.addr(), Call::post("/admin/desired", body)).await;
    reply.unwrap().status
}

#[tokio::test]
async fn load_and_unload() {
    let runner = start(RunnerConfig::default()).await;
    let loaded = json!({"loaded": "beam@v7"});
    assert_eq!(order(&runner, loaded.clone(), 1).await, StatusCode::OK);
    assert_eq!(order(&runner, loaded, 1).await, StatusCode::OK);
    assert_eq!(runner.versions(), ["beam@v7"]);
    let unloaded = json!({"unloaded": "beam@v7"});
    assert_eq!(order(&runner, unloaded, 2).await, StatusCode::OK);
    assert_eq!(runner.versions(), [""; 0]);
    let decode = json!({"role": "decode"});
    assert_eq!(order(&runner, decode, 3).await, StatusCode::OK);
    assert_eq!(runner.role(), Role::Decode);
    let broken = json!({"loaded": 7});
    assert_eq!(order(&runner, broken, 4).await, StatusCode::BAD_REQUEST);
}

/// A deposed leader's order comes after the new leader's. An engine that checks
/// fencing refuses it, and one that doesn't unloads the version in use.
#[parameterized(
    checked = { true, StatusCode::CONFLICT, 1 },
    ignored = { false, StatusCode::OK, 0 },
)]
#[test_macro(tokio::test)]
async fn old_fencing(checks_fencing: bool, status: StatusCode, loaded: usize) {
    let runner = start(RunnerConfig {
        checks_fencing,
        ..RunnerConfig::default()
    })
    .await;
    order(&runner, json!({"loaded": "beam@v7"}), 5).await;
    let late = json!({"unloaded": "beam@v7"});
    assert_eq!(order(&runner, late, 4).await, status);
    assert_eq!(runner.versions().len(), loaded);
    let orders = runner.orders();
    assert_eq!((orders[0].obeyed, orders[0].fencing), (true, 5));
    assert_eq!(orders[1].obeyed, !checks_fencing);
}

async fn store(rate: u64) -> WeightStore {
    let cfg = WeightsConfig {
        rate,
        default_size: Some(32 << 10),
        ..WeightsConfig::default()
    };
    let store = WeightStore::start(cfg, CancellationToken::new()).await;
    store.expect("loopback has free ports")
}

#[tokio::test]
async fn load_takes_time() {
    let store = store(1 << 20).await;
    let runner = start(RunnerConfig {
        weights: Some(store.addr()),
        ..RunnerConfig::default()
    })
    .await;
    let loaded = json!({"loaded": "beam@v7"});
    assert_eq!(order(&runner, loaded, 1).await, StatusCode::ACCEPTED);
    assert_eq!(runner.versions(), [""; 0]);
    while runner.versions().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(store.counts().whole, 1);
}

/// The weight store crashes during a load. The version is not loaded, and the
/// same order, sent again, begins the load anew.
#[tokio::test]
async fn store_crash() {
    let store = store(1).await;
    let runner = start(RunnerConfig {
        weights: Some(store.addr()),
        ..RunnerConfig::default()
    })
    .await;
    let loaded = json!({"loaded": "beam@v7"});
    order(&runner, loaded.clone(), 1).await;
    while store.counts().begun == 0 {
        tokio::task::yield_now().await;
    }
    store.set_rate(0);
    store.restart().await.unwrap();
    while runner.versions().is_empty() {
        order(&runner, loaded.clone(), 1).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(store.counts().begun, 2);
}
