//! Late ratings and ratings at once.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use sesamebeam_fakes::{
    RatingConfig,
    RatingService,
    answer::{
        expected_answer,
        expected_bad_answer, //
    },
    client::{
        Call,
        call, //
    },
    rating::{
        Mode,
        RatingPage,
        quality::Quality, //
    }, //
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const GOOD: &str = "beam@v7";
const POOR: &str = "beam@v8";

async fn start(cfg: RatingConfig) -> RatingService {
    let service = RatingService::start(cfg, CancellationToken::new()).await;
    service.expect("loopback has free ports")
}

fn config() -> RatingConfig {
    let quality = Quality {
        by_version: [(GOOD.into(), 1.0), (POOR.into(), 0.0)].into(),
        ..Quality::default()
    };
    RatingConfig {
        lag: Duration::ZERO,
        jitter: Duration::ZERO,
        quality,
        ..RatingConfig::default()
    }
}

fn submit(path: &str, request: &str, version: &str) -> Call {
    let body = json!({
        "request": request,
        "class": "roster",
        "version": version,
        "prompt": "x",
        "answer": expected_answer(version, request),
    });
    Call::post(path, body.to_string())
}

async fn page(service: &RatingService, after: u64, limit: u64) -> RatingPage {
    let req = Call::get(format!("/v1/ratings?after={after}&limit={limit}"));
    let reply = call(service.addr(), req).await.unwrap();
    serde_json::from_slice(&reply.body).unwrap()
}

#[tokio::test]
async fn read_in_pages() {
    let service = start(config()).await;
    for (request, version) in [("01", GOOD), ("02", POOR), ("03", GOOD)] {
        let req = submit("/v1/ratings", request, version);
        let reply = call(service.addr(), req).await.unwrap();
        assert_eq!(reply.status, StatusCode::ACCEPTED);
    }
    let first = page(&service, 0, 2).await;
    let second = page(&service, first.next, 2).await;
    let scores: Vec<f64> = first
        .ratings
        .iter()
        .chain(&second.ratings)
        .map(|rating| rating.score)
        .collect();
    assert_eq!((first.next, second.next), (2, 3));
    assert_eq!(scores, [1.0, 0.0, 1.0]);
    assert_eq!(page(&service, 3, 2).await.ratings, []);
}

#[parameterized(
    normal = { Mode::Normal, 1.0 },
    slow = { Mode::Slow(Duration::from_millis(5)), 1.0 },
    wrong = { Mode::Wrong, 0.0 },
)]
#[test_macro(tokio::test)]
async fn rated_at_once(mode: Mode, score: f64) {
    let service = start(config()).await;
    service.set_mode(mode);
    let reply = call(service.addr(), submit("/v1/rate", "01", GOOD)).await;
    assert_eq!(reply.unwrap().json(), json!({ "score": score }));
}

/// The service takes answers and never rates them. Whoever waits for a rating
/// at once waits for ever, and the list of late ones stays empty.
#[tokio::test]
async fn silent_service() {
    let service = start(config()).await;
    service.set_mode(Mode::Silent);
    let late = submit("/v1/ratings", "01", GOOD);
    call(service.addr(), late).await.unwrap();
    let at_once = call(service.addr(), submit("/v1/rate", "02", GOOD));
    let waited = tokio::time::timeout(Duration::from_millis(30), at_once).await;
    assert!(waited.is_err());
    assert_eq!(service.taken(), 1);
    assert_eq!(page(&service, 0, 10).await.ratings, []);
}

/// A rating whose lag has an hour to go is not shown.
#[tokio::test]
async fn late_rating() {
    let service = start(RatingConfig {
        lag: Duration::from_secs(3600),
        ..config()
    })
    .await;
    let req = submit("/v1/ratings", "01", GOOD);
    call(service.addr(), req).await.unwrap();
    assert_eq!(page(&service, 0, 10).await.ratings, []);
}

#[parameterized(
    listed = { GOOD, 0.7, false },
    other = { "other@v1", 0.9, false },
    made_bad = { GOOD, 0.05, true },
)]
fn true_share(version: &str, share: f64, bad: bool) {
    let quality = Quality {
        by_version: [(GOOD.into(), 0.7)].into(),
        ..Quality::default()
    };
    let draws = 4000;
    let good = (0..draws).filter(|n| {
        let prompt = n.to_string();
        let answer = if bad {
            expected_bad_answer(version, &prompt, 16)
        } else {
            expected_answer(version, &prompt)
        };
        quality.is_good("sheet", version, &answer)
    });
    let measured = good.count() as f64 / f64::from(draws);
    // Three standard deviations of 4000 draws are at most 0.024.
    assert!((measured - share).abs() < 0.024, "{measured}");
}
