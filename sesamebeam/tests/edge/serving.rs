//! A small running fleet for the tests.

use std::time::{
    Duration,
    Instant, //
};

use sesamebeam::{
    client::Client,
    entry::Entry,
    keys::sha256_hex,
    local::{
        LocalFleet,
        LocalPlan,
        LocalServers, //
    },
};
use sesamebeam_core::{
    fleet::Fleet,
    message::{
        command::{
            Change,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest,
            Status, //
        },
    },
};
use sesamebeam_fakes::RunnerConfig;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use super::caller::Caller;

/// Timeout for events that must occur.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// API key of the organisation.
pub(crate) const ORG_KEY: &str = "obra-key";

/// A running local fleet with its fake backend servers and an operator client.
pub(crate) struct RunningFleet {
    pub(crate) local: LocalFleet,
    pub(crate) servers: LocalServers,
    pub(crate) fleet: Fleet,
    client: Client,
    _cancel: tokio_util::sync::DropGuard,
    _root: TempDir,
}

impl RunningFleet {
    /// Starts a fleet with the fleet file `file`, in which `KEY_HASH` is replaced by
    /// the hash of [`ORG_KEY`].
    pub(crate) async fn start(file: &str, plan: LocalPlan, base: RunnerConfig) -> Self {
        let fleet: Fleet =
            toml::from_str(&file.replace("KEY_HASH", &sha256_hex(ORG_KEY))).expect("a fleet file");
        let root = TempDir::new().expect("a folder");
        let cancel = CancellationToken::new();
        let local = LocalFleet::start(&plan, root.path())
            .await
            .expect("a fleet");
        let client = Client::open(&local.settings.operator).expect("a client");
        let entries = |domain: &str| local.announce_addrs(domain);
        let servers = LocalServers::start(&fleet, |_| 2, entries, &base, &cancel)
            .await
            .expect("fakes");
        let serving = Self {
            local,
            servers,
            fleet: fleet.clone(),
            client,
            _cancel: cancel.drop_guard(),
            _root: root,
        };
        serving.apply(0, &fleet).await;
        let wanted = serving.servers.runners.len() + serving.servers.services.len();
        serving.wait_until(|entry| entry.servers() >= wanted).await;
        serving
    }

    /// Applies a fleet configuration and waits until it is in force at every entry.
    pub(crate) async fn apply(&self, base: u64, fleet: &Fleet) -> u64 {
        let change = Change {
            base,
            digest: u128::from(base) + 1,
            fleet: Box::new(fleet.clone()),
            operator: "test".into(),
            at: 0,
        };
        let reply = self
            .client
            .call_control(&ControlRequest::Apply(change))
            .await;
        let Ok(ControlReply::Verdict(Verdict::Accepted(revision))) = reply else {
            panic!("not accepted: {reply:?}");
        };
        self.wait_until(|entry| entry.revision() >= revision).await;
        revision
    }

    /// Waits until a condition holds at every entry.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Entry) -> bool) {
        wait_until(&self.local, condition).await;
    }

    /// Waits until the status of the leader satisfies a condition.
    pub(crate) async fn wait_for_status(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let asked = self.client.status().await;
            if let Ok(Ok(status)) = &asked
                && wanted(status)
            {
                return (**status).clone();
            }
            assert!(
                Instant::now() < deadline,
                "timed out; last status: {asked:#?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Creates a caller with the organisation's API key.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.local.entries()[0].addrs().callers, ORG_KEY)
    }
}

/// Waits until a condition holds at every entry of a fleet.
pub(crate) async fn wait_until(local: &LocalFleet, condition: impl Fn(&Entry) -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !local.entries().iter().all(&condition) {
        assert!(Instant::now() < deadline, "timed out");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
