//! Tests of the metrics in text format.

use std::time::Duration;

use sesamebeam::exposition::{
    Exposition,
    GaugeKind,
    MessageDirection,
    RequestEnd,
    RetryReason,
    SendEnd, //
};
use sesamebeam_core::gateway::engines::escalation::Step;
use yare::parameterized;

#[test]
fn text() {
    let exposition = Exposition::default();
    exposition.record_request(RequestEnd::Answered, Duration::from_millis(3));
    exposition.record_request(RequestEnd::Refused, Duration::ZERO);
    exposition.record_send(SendEnd::Good);
    exposition.record_retry(RetryReason::Silent, false);
    exposition.record_given_up(Duration::from_millis(400));
    exposition.record_first_byte(Duration::from_millis(2));
    exposition.record_forecast_error(Duration::from_millis(15));
    exposition.record_message(MessageDirection::ToEntries, "loads", 30, 59);
    exposition.set_gauge(GaugeKind::EngineTime, 1);
    exposition.set_gauge(GaugeKind::LoopDelay, 4);
    exposition.set_gauge(GaugeKind::ConfigVersion, 7);
    exposition.set_gauge(GaugeKind::Ready, u64::MAX);
    let text = exposition.to_text();
    for line in [
        "sesamebeam_requests_total{end=\"Answered\"} 1",
        "sesamebeam_requests_total{end=\"Refused\"} 1",
        "sesamebeam_sends_total{end=\"Good\"} 1",
        "sesamebeam_request_seconds_bucket{le=\"0.004\"} 2",
        "sesamebeam_retries_total{reason=\"Silent\",allowed=\"false\"} 1",
        "sesamebeam_given_up_seconds_bucket{le=\"0.512\"} 1",
        "sesamebeam_first_byte_seconds_count 1",
        "sesamebeam_messages_total{way=\"ToEntries\",kind=\"loads\"} 59",
        "sesamebeam_message_bytes_total{way=\"ToEntries\",kind=\"loads\"} 1770",
        "sesamebeam_forecast_error_seconds_bucket{le=\"0.008\"} 0",
        "sesamebeam_forecast_error_seconds_bucket{le=\"0.016\"} 1",
        "sesamebeam_engine_time 1",
        "sesamebeam_loop_delay_milliseconds 4",
        "sesamebeam_config_version 7",
        "sesamebeam_ready 9223372036854775807",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}

#[parameterized(
    kept = { Step::Kept, "kept" },
    middle = { Step::Middle, "middle" },
    largest = { Step::Largest, "largest" },
    late = { Step::Late, "late" },
)]
fn escalations(step: Step, name: &str) {
    let exposition = Exposition::default();
    exposition.record_escalation(step);
    let line = format!("sesamebeam_escalations_total{{step=\"{name}\"}} 1");
    assert!(exposition.to_text().contains(&line));
}

#[test]
fn moves() {
    let exposition = Exposition::default();
    exposition.record_move();
    assert!(exposition.to_text().contains("sesamebeam_moves_total 1"));
}

#[test]
fn engine_admission() {
    let exposition = Exposition::default();
    exposition.record_engine_refusal();
    exposition.set_gauge(GaugeKind::OrganisationsAhead, 2);
    let text = exposition.to_text();
    for line in [
        "sesamebeam_engine_refusals_total 1",
        "sesamebeam_organisations_ahead 2",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}
