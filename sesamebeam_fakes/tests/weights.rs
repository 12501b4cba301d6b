//! The shared rate of the weight store.

use std::time::{
    Duration,
    Instant, //
};

use futures::future::join_all;
use hyper::StatusCode;
use sesamebeam_fakes::{
    WeightStore,
    WeightsConfig,
    client::{
        Call,
        call, //
    }, //
};
use tokio_util::sync::CancellationToken;

const SIZE: u64 = 64 << 10;

async fn start(rate: u64) -> WeightStore {
    let cfg = WeightsConfig {
        rate,
        sizes: [("beam@v7".into(), SIZE)].into(),
        default_size: None,
        ..WeightsConfig::default()
    };
    let store = WeightStore::start(cfg, CancellationToken::new()).await;
    store.expect("loopback has free ports")
}

fn take(version: &str) -> Call {
    Call::get(format!("/weights/{version}"))
}

/// Four runners take the same version at once. Together they get no more than
/// the rate, so that four times the bytes take four times the time.
#[tokio::test]
async fn shared_rate() {
    let store = start(SIZE * 20).await;
    let begin = Instant::now();
    let loads = (0..4).map(|_| call(store.addr(), take("beam@v7")));
    for reply in join_all(loads).await {
        assert_eq!(reply.unwrap().body.len() as u64, SIZE);
    }
    assert!(begin.elapsed() >= Duration::from_millis(4 * 50));
    let counts = store.counts();
    assert_eq!(counts.bytes, 4 * SIZE);
    assert_eq!(counts.whole, 4);
}

#[tokio::test]
async fn unknown_version() {
    let store = start(0).await;
    let reply = call(store.addr(), take("beam@v9")).await.unwrap();
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
}

/// The store crashes in the middle of a download: the runner sees a truncated
/// body, never a whole one.
#[tokio::test]
async fn broken_download() {
    let store = start(1).await;
    let load = tokio::spawn(call(store.addr(), take("beam@v7")));
    while store.counts().begun == 0 {
        tokio::task::yield_now().await;
    }
    store.die().await;
    let reply = load.await.unwrap();
    assert!(reply.is_err() || reply.unwrap().truncated);
    assert_eq!(store.counts().whole, 0);
}
