//! Processes of a small fleet, which a test can start, kill and suspend.

use std::{
    collections::BTreeMap,
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use sesamebeam::{
    keys::{
        Credentials,
        sha256_hex, //
    },
    link::{
        Link,
        PeerPool, //
    },
    local::{
        LocalPlan,
        LocalServers,
        LocalSettings, //
    },
    settings::{
        ControlSettings,
        EntrySettings, //
    },
};
use sesamebeam_core::{
    fleet::Fleet,
    message::{
        command::Change,
        control::{
            ControlReply,
            ControlRequest,
            Status, //
        },
        entry::{
            EntryReply,
            EntryRequest, //
        },
    },
};
use sesamebeam_fakes::{
    Runner,
    RunnerConfig, //
};
use tempfile::TempDir;
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};

use super::caller::Caller;

/// Timeout for events that must occur. It is long enough that a busy machine does
/// not make a test fail.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for the status of one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Failure domains of the fleet; each has an entry and a control replica.
pub(crate) const DOMAINS: [&str; 3] = ["lima-ate", "lima-surco", "lima-callao"];

/// API key of the organisation in [`FLEET`].
pub(crate) const ORG_KEY: &str = "obra-key";

/// Fleet file of the tests.
pub(crate) const FLEET: &str = include_str!("fleet.toml");

/// Daemons of a fleet that run as separate processes.
pub(crate) struct Processes {
    pub(crate) settings: LocalSettings,
    root: TempDir,
    children: BTreeMap<String, Child>,
    client: sesamebeam::client::Client,
    pool: PeerPool,
}

impl Processes {
    /// Starts three control replicas and an entry in each failure domain.
    pub(crate) fn start(plan: &LocalPlan) -> Self {
        let root = TempDir::new().expect("a folder");
        let settings = LocalSettings::make(plan, root.path()).expect("settings");
        let client = sesamebeam::client::Client::open(&settings.operator).expect("client");
        let creds = Credentials::load(&settings.operator.keys).expect("keys");
        let link = Link::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), &creds).expect("a link");
        let mut processes = Self {
            pool: PeerPool::new(Arc::new(link), 1),
            settings,
            root,
            children: BTreeMap::new(),
            client,
        };
        for control in processes.settings.controls.clone() {
            processes.start_control(&control, Some("--init"));
        }
        for entry in processes.settings.entries.clone() {
            processes.start_entry(&entry);
        }
        processes
    }

    /// Starts a control replica; `how` is `--init` or `--join` if it has no data
    /// directory.
    pub(crate) fn start_control(&mut self, settings: &ControlSettings, how: Option<&str>) {
        let name = format!("control-{}", settings.node);
        let file = self.write_settings(&name, settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sesamebeam-control"));
        command.arg("--settings").arg(file).args(how);
        self.spawn(name, command);
    }

    /// Starts an entry.
    pub(crate) fn start_entry(&mut self, settings: &EntrySettings) {
        let name = settings.instance.to_string();
        let file = self.write_settings(&name, settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sesamebeam-entry"));
        command.arg("--settings").arg(file);
        self.spawn(name, command);
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.pid(name) as i32).expect("a process");
        kill_process(pid, signal).expect("the process is there");
    }

    /// Returns the id of a process.
    pub(crate) fn pid(&self, name: &str) -> u32 {
        self.children[name].id()
    }

    /// Kills a process and waits until it has exited.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).expect("it runs");
        child.kill().expect("kill");
        child.wait().expect("wait");
    }

    /// Waits until a process exits by itself; returns whether it succeeded.
    pub(crate) async fn wait_for_exit(&mut self, name: &str) -> bool {
        let mut child = self.children.remove(name).expect("it runs");
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().expect("wait") {
                return status.success();
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {name} to exit"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request to the control group.
    pub(crate) async fn ask(&self, req: &ControlRequest) -> ControlReply {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.client.call_control(req).await {
                Ok(reply) => return reply,
                Err(e) => assert!(Instant::now() < deadline, "no answer: {e}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
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
        let reply = self.ask(&ControlRequest::Apply(change)).await;
        let ControlReply::Verdict(sesamebeam_core::message::command::Verdict::Accepted(revision)) =
            reply
        else {
            panic!("not accepted: {reply:?}");
        };
        self.wait_for_status(|status| status.in_force >= revision)
            .await;
        revision
    }

    /// Waits until the status of the leader satisfies a condition.
    pub(crate) async fn wait_for_status(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        self.wait_for_any_status(|status| status.leader == Some(status.node) && wanted(status))
            .await
    }

    /// Waits until the status of any replica satisfies a condition.
    pub(crate) async fn wait_for_any_status(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        let deadline = Instant::now() + TIMEOUT;
        let mut last = Vec::new();
        loop {
            last.clear();
            for replica in &self.settings.operator.control {
                let client = self.pool.get(replica.addr, None);
                let asked = client.call(&ControlRequest::Status, REPLICA_TIMEOUT).await;
                if let Ok(ControlReply::Status(status)) = asked {
                    if wanted(&status) {
                        return *status;
                    }
                    last.push(status);
                }
            }
            assert!(
                Instant::now() < deadline,
                "timed out; last status: {last:#?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Creates a caller for the entry at a position.
    pub(crate) fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.settings.entries[entry].listen.callers, ORG_KEY)
    }

    /// Returns the announcement addresses of the entries of a failure domain.
    pub(crate) fn announce_addrs(&self, domain: &str) -> Vec<std::net::SocketAddr> {
        self.settings
            .entries
            .iter()
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.listen.announcements)
            .collect()
    }

    fn write_settings(&self, name: &str, settings: &impl serde::Serialize) -> PathBuf {
        let file = self.root.path().join(format!("{name}.toml"));
        let text = toml::to_string(settings).expect("settings in TOML");
        fs::write(&file, text).expect("written");
        file
    }

    fn spawn(&mut self, name: String, mut command: Command) {
        let log = fs::File::create(self.root.path().join(format!("{name}.log"))).expect("log");
        let out = fs::File::create(self.root.path().join(format!("{name}.out"))).expect("out");
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.children.insert(name, child);
    }

    /// Returns the standard output of a daemon.
    pub(crate) fn stdout(&self, name: &str) -> String {
        fs::read_to_string(self.root.path().join(format!("{name}.out"))).unwrap_or_default()
    }

    /// Returns the directory of the fleet.
    pub(crate) fn root(&self) -> &Path {
        self.root.path()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A running fleet: its processes, and the fake backend servers in the test.
pub(crate) struct RunningFleet {
    pub(crate) processes: Processes,
    pub(crate) fleet: Fleet,
    /// Revision in force.
    pub(crate) base: u64,
    pub(crate) servers: LocalServers,
    /// Stops the fakes when dropped.
    pub(crate) cancel: DropGuard,
}

/// Starts a fleet and its fakes, which pause for `token_delay` between tokens, and
/// waits until every entry knows every backend server.
pub(crate) async fn start_fleet(plan: &LocalPlan, token_delay: Duration) -> RunningFleet {
    let processes = Processes::start(plan);
    let fleet = fleet();
    let base = processes.apply(0, &fleet).await;
    let cancel = CancellationToken::new();
    let runner = RunnerConfig {
        token_delay,
        ..RunnerConfig::default()
    };
    let entries = |domain: &str| processes.announce_addrs(domain);
    let servers = LocalServers::start(&fleet, |_| 3, entries, &runner, &cancel)
        .await
        .expect("fakes");
    let wanted = servers.runners.len() + servers.services.len();
    for entry in &processes.settings.operator.entries {
        wait_until("every backend server", async || {
            matches!(
                processes.client.call_entry(entry, &EntryRequest::Status).await,
                Ok(EntryReply::Status(state)) if state.servers.len() >= wanted
            )
        })
        .await;
    }
    RunningFleet {
        processes,
        fleet,
        base,
        servers,
        cancel: cancel.drop_guard(),
    }
}

/// Returns how many times the engines started to run a prompt.
pub(crate) fn started_runs(servers: &LocalServers, prompt: &str) -> u32 {
    let started = |runner: &Runner| runner.books().prompt(prompt).started;
    servers.runners.iter().map(started).sum()
}

/// Returns the fleet configuration with the hash of [`ORG_KEY`].
pub(crate) fn fleet() -> Fleet {
    toml::from_str(&FLEET.replace("KEY_HASH", &sha256_hex(ORG_KEY))).expect("a fleet file")
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
