//! Looks at backend servers whose connections ended, for the router's check whether they crashed.

use std::{
    io::ErrorKind,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::gateway::{
    crash_watch::ConnectionEnd,
    request::AnswerStage,
    router::{
        Choice,
        Ended, //
    },
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    Gateway,
    dispatch::Dispatch,
    in_flight::InFlightSend, //
};

/// Timeout of each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the second connection attempt, and the longest one; each is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Interval of looks at what else is known of a backend server while a connection to it is open.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which ended checks are logged.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// How a connection to a backend server ended on which nothing was sent.
enum Attempt {
    /// It was refused, after this time.
    Refused(Duration),
    /// It was not established, or was closed by the backend server.
    Closed,
    /// It is open as long as it was looked at.
    Open,
}

impl Dispatch {
    /// Has the router find out whether a backend server whose connection has just broken
    /// crashed. The request is a suspect if so.
    pub(super) fn check_for_crash(&self, choice: &InFlightSend, stage: AnswerStage) {
        let id = &self.req.head.id;
        log::info!(
            id:% = id, server:% = choice.id, answer:? = stage, prompt:? = self.req.head.prompt,
            ran_ms = choice.elapsed().as_millis() as u64;
            "connection to backend server broke"
        );
        if !self.record_connection_end(choice, stage, ConnectionEnd::Broken) {
            return;
        }
        let (gateway, choice) = (Arc::clone(&self.gateway), Choice::clone(choice));
        tokio::spawn(async move { gateway.look_at_server(&choice).await });
    }

    /// Records that an answer was complete when its connection ended, unless its backend server
    /// turns out to have crashed.
    pub(super) fn record_until_closed(&self, choice: &InFlightSend, stage: AnswerStage) {
        self.record_connection_end(choice, stage, ConnectionEnd::MaybeComplete);
    }

    fn record_connection_end(
        &self,
        choice: &InFlightSend,
        stage: AnswerStage,
        end: ConnectionEnd,
    ) -> bool {
        let now = self.gateway.now();
        let ended = Ended {
            sent_at: now.saturating_sub(choice.elapsed()),
            stage,
            end,
        };
        let mut router = self.gateway.router();
        router.record_connection_end(now, &self.plan, choice, ended)
    }
}

impl Gateway {
    /// Opens connections to a backend server until it refuses one, keeps one open, or the router
    /// knows enough.
    ///
    /// What is accepted for a process that has ended is closed with its listener.
    async fn look_at_server(&self, choice: &Choice) {
        let until = Instant::now() + self.silence_timeout();
        let mut pause = FIRST_PAUSE;
        while self.router().is_crash_open(choice) && Instant::now() < until {
            match self.attempt_connection(choice, until).await {
                Attempt::Refused(round_trip) => {
                    let now = self.now();
                    self.router().record_refused(now, choice, Some(round_trip));
                }
                Attempt::Open => return,
                Attempt::Closed => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    async fn attempt_connection(&self, choice: &Choice, until: Instant) -> Attempt {
        let started = Instant::now();
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(choice.addr)).await;
        let round_trip = started.elapsed();
        let mut stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return Attempt::Refused(round_trip);
            }
            Ok(Err(_)) | Err(_) => return Attempt::Closed,
        };
        self.router().record_accepted_since(choice, round_trip);
        while self.router().is_crash_open(choice) && Instant::now() < until {
            if timeout(LOOK_INTERVAL, stream.read_u8()).await.is_ok() {
                return Attempt::Closed;
            }
        }
        Attempt::Open
    }
}

/// Logs what checks of backend servers have come to, until cancelled.
pub(super) async fn run(gateway: Arc<Gateway>, halt: CancellationToken) {
    while halt
        .run_until_cancelled(sleep(LOG_INTERVAL))
        .await
        .is_some()
    {
        let checks = gateway.router().take_crash_checks(gateway.now());
        for check in checks {
            let finding = check.sign.map_or("none", |sign| sign.label());
            let message = match check.sign {
                Some(_) => "backend server went down",
                None => "no crash found",
            };
            gateway.metrics.record_crash_check(finding);
            log::info!(
                server:% = check.server.id, finding, sends = check.sends,
                age_ms = check.age.as_millis() as u64;
                "{message}"
            );
        }
    }
}
