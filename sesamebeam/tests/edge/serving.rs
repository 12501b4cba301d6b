//! A small fleet that serves, for the tests of the edges.

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
        }, //
    },
};
use sesamebeam_fakes::RunnerConfig;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use super::caller::Caller;

/// Longest wait for anything that must happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Key of the organisation.
pub(crate) const ORG_KEY: &str = "obra-key";

/// One failure domain with one entry, its fakes, and an operator.
pub(crate) struct Serving {
    pub(crate) local: LocalFleet,
    pub(crate) servers: LocalServers,
    pub(crate) fleet: Fleet,
    client: Client,
    _cancel: tokio_util::sync::DropGuard,
    _root: TempDir,
}

impl Serving {
    /// Starts a fleet with this file, in which `KEY_HASH` stands for the key.
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
        serving.until(|entry| entry.servers() >= wanted).await;
        serving
    }

    /// Applies a fleet file and waits until it is in force at the entries.
    pub(crate) async fn apply(&self, base: u64, fleet: &Fleet) -> u64 {
        let change = Change {
            base,
            digest: u128::from(base) + 1,
            fleet: Box::new(fleet.clone()),
            operator: "test".into(),
            at: 0,
        };
        let reply = self.client.ask(&ControlRequest::Apply(change)).await;
        let Ok(ControlReply::Verdict(Verdict::Accepted(revision))) = reply else {
            panic!("not accepted: {reply:?}");
        };
        self.until(|entry| entry.revision() >= revision).await;
        revision
    }

    /// Waits until it is so at every entry.
    pub(crate) async fn until(&self, so: impl Fn(&Entry) -> bool) {
        until(&self.local, so).await;
    }

    /// Waits until the leader tells the state that is wanted.
    pub(crate) async fn status(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        let until = Instant::now() + PATIENCE;
        loop {
            let asked = self.client.status().await;
            if let Ok(Ok(status)) = &asked
                && wanted(status)
            {
                return (**status).clone();
            }
            assert!(Instant::now() < until, "it does not come: {asked:#?}");
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Makes a caller of the organisation.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.local.entries()[0].addrs().callers, ORG_KEY)
    }
}

/// Waits until it is so at every entry of a fleet.
pub(crate) async fn until(local: &LocalFleet, so: impl Fn(&Entry) -> bool) {
    let until = Instant::now() + PATIENCE;
    while !local.entries().iter().all(&so) {
        assert!(Instant::now() < until, "it does not come");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
