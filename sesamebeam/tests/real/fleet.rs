//! Processes of a small fleet, started, killed and frozen by the test.

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
        Pool, //
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

/// Longest wait for anything that must happen: generous, since a busy machine
/// must not change the verdict.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Longest wait for the state of one replica.
const ONE_REPLICA: Duration = Duration::from_secs(1);

/// Pause between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Failure domains of the fleet, with an entry and a control replica each.
pub(crate) const DOMAINS: [&str; 3] = ["lima-ate", "lima-surco", "lima-callao"];

/// Key of the organisation in [`FLEET`].
pub(crate) const ORG_KEY: &str = "obra-key";

/// Fleet file of the tests.
pub(crate) const FLEET: &str = include_str!("fleet.toml");

/// Daemons that run as processes.
pub(crate) struct Processes {
    pub(crate) settings: LocalSettings,
    root: TempDir,
    children: BTreeMap<String, Child>,
    client: sesamebeam::client::Client,
    pool: Pool,
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
            pool: Pool::new(Arc::new(link), 1),
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

    /// Starts a control replica, with `--init` or `--join` if it has no folder.
    pub(crate) fn start_control(&mut self, settings: &ControlSettings, how: Option<&str>) {
        let name = format!("control-{}", settings.node);
        let file = self.write(&name, settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sesamebeam-control"));
        command.arg("--settings").arg(file).args(how);
        self.spawn(name, command);
    }

    /// Starts an entry.
    pub(crate) fn start_entry(&mut self, settings: &EntrySettings) {
        let name = settings.instance.to_string();
        let file = self.write(&name, settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sesamebeam-entry"));
        command.arg("--settings").arg(file);
        self.spawn(name, command);
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        let pid = Pid::from_child(&self.children[name]);
        kill_process(pid, signal).expect("the process is there");
    }

    /// Kills a process and waits until it is gone.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).expect("it runs");
        child.kill().expect("kill");
        child.wait().expect("wait");
    }

    /// Waits until a process has ended by itself; returns whether well.
    pub(crate) async fn ended(&mut self, name: &str) -> bool {
        let mut child = self.children.remove(name).expect("it runs");
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = child.try_wait().expect("wait") {
                return status.success();
            }
            assert!(Instant::now() < until, "{name} does not end");
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Asks the control group.
    pub(crate) async fn ask(&self, req: &ControlRequest) -> ControlReply {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.client.ask(req).await {
                Ok(reply) => return reply,
                Err(e) => assert!(Instant::now() < until, "no answer: {e}"),
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Applies a fleet file and waits until it is in force at every entry.
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
        self.until(|status| status.in_force >= revision).await;
        revision
    }

    /// Waits until the state is as wanted, as the leader tells it.
    pub(crate) async fn until(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        self.until_any(|status| status.leader == Some(status.node) && wanted(status))
            .await
    }

    /// Waits until one of the replicas tells the state that is wanted.
    pub(crate) async fn until_any(&self, wanted: impl Fn(&Status) -> bool) -> Status {
        let until = Instant::now() + PATIENCE;
        let mut last = Vec::new();
        loop {
            last.clear();
            for replica in &self.settings.operator.control {
                let caller = self.pool.get(replica.addr, None);
                let asked = caller.call(&ControlRequest::Status, ONE_REPLICA).await;
                if let Ok(ControlReply::Status(status)) = asked {
                    if wanted(&status) {
                        return *status;
                    }
                    last.push(status);
                }
            }
            assert!(Instant::now() < until, "the state does not come: {last:#?}");
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Makes a caller at an entry, by its position.
    pub(crate) fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.settings.entries[entry].listen.callers, ORG_KEY)
    }

    /// Announcement addresses of a failure domain's entries.
    pub(crate) fn announce_addrs(&self, domain: &str) -> Vec<std::net::SocketAddr> {
        self.settings
            .entries
            .iter()
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.listen.announcements)
            .collect()
    }

    fn write(&self, name: &str, settings: &impl serde::Serialize) -> PathBuf {
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

    /// What a daemon printed.
    pub(crate) fn printed(&self, name: &str) -> String {
        fs::read_to_string(self.root.path().join(format!("{name}.out"))).unwrap_or_default()
    }

    /// Folder of the fleet.
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

/// A fleet that serves: its processes and the fakes in the test.
pub(crate) struct Served {
    pub(crate) processes: Processes,
    pub(crate) fleet: Fleet,
    /// Revision in force.
    pub(crate) base: u64,
    pub(crate) servers: LocalServers,
    /// Ends the fakes when it is dropped.
    pub(crate) cancel: DropGuard,
}

/// Starts a fleet and its fakes, with this time between two tokens, and waits
/// until every entry knows every backend server.
pub(crate) async fn served(plan: &LocalPlan, token_delay: Duration) -> Served {
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
        until("every backend server", async || {
            matches!(
                processes.client.ask_entry(entry, &EntryRequest::Status).await,
                Ok(EntryReply::Status(state)) if state.servers.len() >= wanted
            )
        })
        .await;
    }
    Served {
        processes,
        fleet,
        base,
        servers,
        cancel: cancel.drop_guard(),
    }
}

/// How often the engines started a prompt.
pub(crate) fn runs(servers: &LocalServers, prompt: &str) -> u32 {
    let started = |runner: &Runner| runner.books().prompt(prompt).started;
    servers.runners.iter().map(started).sum()
}

/// Reads the fleet file with the test's own key.
pub(crate) fn fleet() -> Fleet {
    toml::from_str(&FLEET.replace("KEY_HASH", &sha256_hex(ORG_KEY))).expect("a fleet file")
}

/// Waits until something is so.
pub(crate) async fn until(what: &str, mut so: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !so().await {
        assert!(Instant::now() < until, "{what} does not come");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
