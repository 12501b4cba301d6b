//! Calls to a plain service that may not be repeated.

use std::time::Duration;

use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};
use hyper::StatusCode;
use serde_json::json;
use sesamebeam_fakes::{
    Service,
    ServiceConfig,
    client::{
        Call,
        call, //
    },
    service::{
        Fault,
        expected_reply, //
    }, //
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

async fn start() -> Service {
    let cfg = ServiceConfig {
        lookup: true,
        ..ServiceConfig::default()
    };
    let service = Service::start(cfg, CancellationToken::new()).await;
    service.expect("loopback has free ports")
}

fn sheet() -> Call {
    Call::post("/sheets?shift=2", "sheet 12")
        .header("x-request-id", "0a")
        .header("idempotency-key", "sheet-12")
}

async fn look_up(service: &Service) -> serde_json::Value {
    let reply = call(service.addr(), Call::get("/lookup/0a")).await.unwrap();
    reply.json()
}

#[tokio::test]
async fn call_and_lookup() {
    let service = start().await;
    assert_eq!(look_up(&service).await, json!({"state": "never"}));
    let reply = call(service.addr(), sheet()).await.unwrap();
    let expected = expected_reply("POST", "/sheets?shift=2", b"sheet 12");
    assert_eq!(reply.body, expected);
    assert_eq!(service.effects_of_key("sheet-12"), 1);
    assert_eq!(
        look_up(&service).await,
        json!({
            "state": "ran",
            "status": 200,
            "content_type": "application/json",
            "body": BASE64_STANDARD.encode(&expected),
        })
    );
}

/// The caller gets no answer in any of these. Whether the call had its effect
/// differs, and only a look-up after the restart tells.
#[parameterized(
    crash_before = { Fault::CrashBefore, 0, "never" },
    crash_after = { Fault::CrashAfter, 1, "ran" },
    lost_answer = { Fault::LoseAnswer, 1, "ran" },
)]
#[test_macro(tokio::test)]
async fn unknown_outcome(fault: Fault, effects: usize, state: &str) {
    let service = start().await;
    service.inject([fault]);
    assert!(call(service.addr(), sheet()).await.is_err());
    if fault != Fault::LoseAnswer {
        service.down().await;
        service.restart().await.unwrap();
    }
    assert_eq!(service.effects_of_request("0a"), effects);
    assert_eq!(look_up(&service).await["state"], json!(state));
}

#[tokio::test]
async fn refused_call() {
    let service = start().await;
    service.inject([Fault::Refuse]);
    let reply = call(service.addr(), sheet()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(look_up(&service).await, json!({"state": "never"}));
    assert_eq!(service.calls().len(), 1);
}

/// The caller goes away while its call runs. The call has its effect all the
/// same, and a look-up in between waits for it rather than say "never".
#[tokio::test]
async fn caller_gone() {
    let service = start().await;
    service.set_delay(Duration::from_millis(20));
    let caller = tokio::spawn(call(service.addr(), sheet()));
    while service.calls().is_empty() {
        tokio::task::yield_now().await;
    }
    caller.abort();
    assert_eq!(look_up(&service).await["state"], json!("ran"));
    assert_eq!(service.effects_of_key("sheet-12"), 1);
}

/// The call has its effect and its answer never comes, while the connection
/// stays open: the caller can only give up.
#[tokio::test]
async fn hanging_answer() {
    let service = start().await;
    service.inject([Fault::Hang]);
    let caller = tokio::spawn(call(service.addr(), sheet()));
    while service.effects_of_key("sheet-12") == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(look_up(&service).await["state"], json!("ran"));
    assert!(!caller.is_finished());
}

/// A call ran, and its resend is lost in a crash. The look-up still says "ran":
/// the crash of the second says nothing about the first.
#[tokio::test]
async fn resend_crashes() {
    let service = start().await;
    call(service.addr(), sheet()).await.unwrap();
    service.set_delay(Duration::from_secs(3600));
    let resend = tokio::spawn(call(service.addr(), sheet()));
    while service.calls().len() < 2 {
        tokio::task::yield_now().await;
    }
    service.restart().await.unwrap();
    assert!(resend.await.unwrap().is_err());
    assert_eq!(look_up(&service).await["state"], json!("ran"));
    assert_eq!(service.effects_of_key("sheet-12"), 1);
}
