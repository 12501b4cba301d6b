//! Tests of the StatsD client.

use std::{
    net::{
        Ipv4Addr,
        UdpSocket, //
    },
    time::Duration,
};

use sesamebeam::{
    metrics::{
        Counter,
        Gauge,
        Metrics, //
    },
    settings::MetricsSettings,
};
use sesamebeam_core::{
    entry::event::Ended,
    message::record::Usage, //
};

/// Timeout for receiving an expected datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

fn server() -> (UdpSocket, MetricsSettings) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let settings = MetricsSettings {
        addr: Some(socket.local_addr().unwrap()),
        prefix: "test".into(),
    };
    (socket, settings)
}

/// Receives lines until one contains `last`.
fn receive(socket: &UdpSocket, last: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let mut buf = [0; 65536];
    while !lines.iter().any(|line: &String| line.contains(last)) {
        let len = socket.recv(&mut buf).expect("a datagram is received");
        let text = std::str::from_utf8(&buf[..len]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

#[test]
fn request_counted() {
    let (socket, settings) = server();
    let metrics = Metrics::start(&settings, "entry").unwrap();
    metrics.record_request(&Ended {
        request: 7,
        org: "crew".into(),
        class: "question".into(),
        version: None,
        server: None,
        whole: true,
        refusal: None,
        attempts: 2,
        took: Duration::from_millis(130),
        usage: Usage {
            prompt_tokens: 0,
            completion_tokens: 40,
        },
    });
    metrics.gauge(Gauge::Revision, 15);
    let lines = receive(&socket, "revision");
    insta::assert_snapshot!(lines.join("\n"), @"
    test.entry.requests:1|c|#organisation:crew,class:question,outcome:whole
    test.entry.request:130|ms|#class:question
    test.entry.attempts:2|c
    test.entry.tokens.completion:40|c
    test.entry.revision:15|g
    ");
    assert_eq!(metrics.dropped(), 0);
}

#[test]
fn server_down() {
    // The StatsD server is down, so the operating system reports an error for each
    // datagram. Sending must neither fail nor block.
    let (socket, settings) = server();
    drop(socket);
    let metrics = Metrics::start(&settings, "entry").unwrap();
    for _ in 0..100_000 {
        metrics.count(Counter::Attempts, 1);
    }
}

#[test]
fn no_address() {
    let metrics = Metrics::start(&MetricsSettings::default(), "entry").unwrap();
    metrics.count(Counter::Attempts, 1);
    assert_eq!(metrics.dropped(), 0);
}
