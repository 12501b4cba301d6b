//! Announcements to entries.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::{
        Bytes,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use sesamebeam_core::message::server::Announcement;
use sesamebeam_fakes::{
    AnnounceConfig,
    Runner,
    RunnerConfig,
    client::{
        Call,
        Client, //
    }, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::mpsc,
};
use tokio_util::sync::CancellationToken;

const KEY: &str = "announce-key";

/// Delay of cache events.
const CACHE_LAG: Duration = Duration::from_millis(50);

/// Takes announcements as an entry does.
async fn entry() -> (SocketAddr, mpsc::UnboundedReceiver<Announcement>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let tx = tx.clone();
            let service = service_fn(move |req| take(tx.clone(), req));
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(conn);
        }
    });
    (addr, rx)
}

async fn take(
    tx: mpsc::UnboundedSender<Announcement>,
    req: Request<Incoming>,
) -> Result<Response<Empty<Bytes>>, hyper::Error> {
    assert_eq!(req.uri().path(), "/announce");
    let shown = req.headers()["authorization"] == format!("Bearer {KEY}");
    let body = req.into_body().collect().await?.to_bytes();
    let status = if shown {
        let _ = tx.send(serde_json::from_slice(&body).expect("an announcement"));
        StatusCode::NO_CONTENT
    } else {
        StatusCode::UNAUTHORIZED
    };
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = status;
    Ok(answer)
}

async fn start(entries: Vec<SocketAddr>, fanout: usize) -> Runner {
    start_with(entries, fanout, RunnerConfig::default()).await
}

async fn start_with(entries: Vec<SocketAddr>, fanout: usize, cfg: RunnerConfig) -> Runner {
    let cfg = RunnerConfig {
        versions: vec!["beam@v7".into()],
        announce: AnnounceConfig {
            entries,
            key: KEY.into(),
            pool: "beam-pool".into(),
            domain: "hall-ruzinov".into(),
            interval: Duration::from_millis(5),
            fanout,
        },
        ..cfg
    };
    let runner = Runner::start(cfg, CancellationToken::new()).await;
    runner.expect("loopback has free ports")
}

#[tokio::test]
async fn life_and_sequence() {
    let (addr, mut rx) = entry().await;
    let runner = start(vec![addr], 1).await;
    let first = rx.recv().await.unwrap();
    let second = rx.recv().await.unwrap();
    assert_eq!((first.addr, first.seq), (runner.addr(), 1));
    assert_eq!(second.seq, 2);
    assert_eq!(first.versions, ["beam@v7"]);
    assert!(!first.leaving);

    runner.leave();
    while !rx.recv().await.unwrap().leaving {}

    runner.restart().await.unwrap();
    let next = loop {
        let next = rx.recv().await.unwrap();
        if next.incarnation != first.incarnation {
            break next;
        }
    };
    assert!(next.incarnation > first.incarnation);
    assert_eq!((next.seq, next.leaving), (1, false));
}

/// The first entry of the list is down. The runner passes over it and tells the
/// next, so that it is known all the same.
#[tokio::test]
async fn entry_down() {
    // Bound and not listening: a port that was given back may go to the entry.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let down = closed.local_addr().unwrap();
    let (addr, mut rx) = entry().await;
    let runner = start(vec![down, addr], 1).await;
    rx.recv().await.unwrap();
    assert!(runner.announcements().failed >= 1);
}

/// The load report shows an idle runner until the lag is over, though a request
/// runs already.
#[tokio::test]
async fn late_load() {
    let (addr, mut rx) = entry().await;
    let runner = start(vec![addr], 1).await;
    runner.set_token_delay(Duration::from_secs(3600));
    let begin = Instant::now();
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let req = Call::chat("beam@v7", "x", 4, true);
    let _opened = client.open(req).await.unwrap();
    assert_eq!(runner.load().running, 1);
    loop {
        let load = rx.recv().await.unwrap().load;
        assert_eq!(load.age_ms, 250);
        if load.running == 1 {
            break;
        }
    }
    assert!(begin.elapsed() >= Duration::from_millis(250));
}

/// Twenty prefixes come into the cache. Their events are announced after a lag,
/// and about half of them never: the loss is drawn from the seed.
#[tokio::test]
async fn gappy_cache_events() {
    let cfg = RunnerConfig {
        incarnation: Some(1),
        cache_loss: 0.5,
        cache_lag: CACHE_LAG,
        ..RunnerConfig::default()
    };
    let (addr, mut rx) = entry().await;
    let runner = start_with(vec![addr], 1, cfg).await;
    let mut client = Client::connect(runner.addr()).await.unwrap();
    let begin = Instant::now();
    for prefix in 1..=20 {
        let req = Call::chat("beam@v7", "x", 4, true).header("x-prefix", &format!("{prefix:x}"));
        client.call(req).await.unwrap();
    }
    let end = Instant::now();
    let mut held = Vec::new();
    let mut after_lag = 0;
    // Of the announcements that come after the lag, the third was surely made
    // after it too, and holds the last event.
    while after_lag < 3 {
        let announced = rx.recv().await.unwrap();
        held.extend(announced.cache.iter().map(|event| event.prefix));
        assert!(held.is_empty() || begin.elapsed() >= CACHE_LAG);
        after_lag += usize::from(end.elapsed() >= CACHE_LAG);
    }
    assert!(held.is_sorted(), "{held:?}");
    assert!((1..20).contains(&held.len()), "{held:?}");
}
