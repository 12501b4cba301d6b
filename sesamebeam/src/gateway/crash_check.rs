//! Detection of backend servers that crashed while they ran a request.

use std::{
    io::ErrorKind,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::gateway::{
    quarantine::FailedSend,
    request::AnswerStage,
    router::Choice, //
};
use tokio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    Gateway,
    dispatch::Dispatch,
    in_flight::InFlightSend, //
};

/// Timeout of each connection attempt, and the number of attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CONNECT_ATTEMPTS: usize = 3;

/// Interval and number of checks whether another incarnation has announced itself at the
/// address of a backend server that accepts connections.
const REPLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const REPLACEMENT_CHECKS: usize = 20;

/// What tells that a backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// It refuses connections.
    Refused,
    /// Another incarnation has announced itself at its address.
    Replaced,
    /// Nothing.
    None,
}

impl Finding {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::None => "none",
        }
    }
}

impl Dispatch {
    /// Checks whether a backend server whose connection has just ended crashed, and records
    /// the request as a suspect if so.
    pub(super) fn check_for_crash(&self, choice: &InFlightSend, stage: AnswerStage) {
        let gateway = Arc::clone(&self.gateway);
        let noticed_at = gateway.now();
        let sent_at = noticed_at.saturating_sub(choice.elapsed());
        let (plan, choice) = (Arc::clone(&self.plan), Choice::clone(choice));
        let (id, prompt) = (self.req.head.id.clone(), self.req.head.prompt.clone());
        tokio::spawn(async move {
            let (finding, round_trip) = gateway.check_server(&choice).await;
            gateway.metrics.record_crash_check(finding.label());
            if finding == Finding::None {
                log::info!(
                    id:% = id, server:% = choice.id, answer:? = stage, prompt:? = prompt,
                    waited_ms = gateway.now().saturating_sub(noticed_at).as_millis() as u64;
                    "no crash found"
                );
                return;
            }
            log::info!(
                id:% = id, server:% = choice.id, answer:? = stage, prompt:? = prompt,
                finding = finding.label(),
                ran_ms = noticed_at.saturating_sub(sent_at).as_millis() as u64,
                round_trip_us = round_trip.as_micros() as u64;
                "backend server went down"
            );
            let failed = FailedSend {
                sent_at,
                stage,
                round_trip,
            };
            gateway
                .router()
                .record_crash(noticed_at, &plan, &choice, failed);
        });
    }
}

impl Gateway {
    /// Looks whether a backend server whose connection has just ended crashed. Returns what was
    /// found, and the round-trip time.
    ///
    /// A terminated process refuses connections, while one that only closed the connection
    /// accepts them. One that is back so soon announces itself as another incarnation.
    async fn check_server(&self, choice: &Choice) -> (Finding, Duration) {
        let mut round_trip = CONNECT_TIMEOUT;
        for _ in 0..CONNECT_ATTEMPTS {
            let started = Instant::now();
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(choice.addr)).await;
            round_trip = started.elapsed();
            match connected {
                Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    return (Finding::Refused, round_trip);
                }
                Ok(Ok(_)) => break,
                Ok(Err(_)) | Err(_) => {}
            }
        }
        for _ in 0..REPLACEMENT_CHECKS {
            if self.router().is_replaced(choice) {
                return (Finding::Replaced, round_trip);
            }
            sleep(REPLACEMENT_CHECK_INTERVAL).await;
        }
        (Finding::None, round_trip)
    }
}
