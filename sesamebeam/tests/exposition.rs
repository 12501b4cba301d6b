//! Metrics as text.

use std::time::Duration;

use sesamebeam::exposition::{
    Exposition,
    Level,
    RequestEnd,
    SendEnd,
    Way, //
};

#[test]
fn text() {
    let exposition = Exposition::default();
    exposition.request(RequestEnd::Answered, Duration::from_millis(3));
    exposition.request(RequestEnd::Refused, Duration::ZERO);
    exposition.send(SendEnd::Good);
    exposition.first_byte(Duration::from_millis(2));
    exposition.message(Way::ToEntries, "loads", 30, 59);
    exposition.set(Level::LoopDelay, 4);
    exposition.set(Level::Config, 7);
    exposition.set(Level::Ready, u64::MAX);
    let text = exposition.text();
    for line in [
        "sesamebeam_requests_total{end=\"Answered\"} 1",
        "sesamebeam_requests_total{end=\"Refused\"} 1",
        "sesamebeam_sends_total{end=\"Good\"} 1",
        "sesamebeam_request_seconds_bucket{le=\"0.004\"} 2",
        "sesamebeam_first_byte_seconds_count 1",
        "sesamebeam_messages_total{way=\"ToEntries\",kind=\"loads\"} 59",
        "sesamebeam_message_bytes_total{way=\"ToEntries\",kind=\"loads\"} 1770",
        "sesamebeam_loop_delay_milliseconds 4",
        "sesamebeam_config_version 7",
        "sesamebeam_ready 9223372036854775807",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}
