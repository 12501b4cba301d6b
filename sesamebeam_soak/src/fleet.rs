//! The daemons as child processes.

use std::{
    collections::BTreeMap,
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::Stdio,
    sync::Arc,
    time::Duration,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tempfile::TempDir;
use tokio::{
    process::{
        Child,
        Command, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    entry_links::{
        Cut,
        EntryLinks, //
    },
    narrow_link::NarrowLink,
    retry_counts::RETRY_SLACK,
    schedule::{
        ENTRIES,
        REPLICAS,
        Target, //
    },
};

/// Third part of the addresses of the first entry's network; the others follow.
const FIRST_NETWORK: u8 = 1;

/// Last part of the address of backend servers in an entry's network, and of the entry itself
/// behind a narrow link.
const SERVERS_HOST: u8 = 50;
const FRONT_HOST: u8 = 60;

/// Port at which callers connect.
const FRONT: u16 = 8227;

/// Port of the readiness question.
const READY: u16 = 8220;

/// Port of the metrics.
const METRICS: u16 = 8231;

/// Port of operators and backend servers.
const CONTROL: u16 = 8229;

/// Last part of the address of the first replica; the others follow.
const REPLICA_HOST: u8 = 11;

/// First and last port between processes.
const INTERNAL: u16 = 7340;
const LAST_INTERNAL: u16 = 7355;

/// Longest time from a start until the daemon catches SIGHUP. It takes a few
/// milliseconds; the rest is for a machine that is busy with other work.
const CATCHES_WITHIN: Duration = Duration::from_secs(2);

/// Pause between two looks at whether it does.
const CATCH_LOOK_EVERY: Duration = Duration::from_millis(1);

/// Time from the signal to stop to the kill, in seconds.
const GRACE_S: u64 = 4;

/// The daemons of one run, ended with it.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    folder: TempDir,
    /// Second part of the addresses, so that runs do not meet.
    slot: u8,
    /// Whether the settings of each entry say that callers compete for capacity.
    contention: [bool; ENTRIES],
    running: BTreeMap<Target, Child>,
    started: BTreeMap<Target, u32>,
    /// Bits a second of each entry's link in each direction; 0 if nothing bounds them.
    link_bits_per_s: u64,
    /// Network of each entry.
    links: Vec<Arc<EntryLinks>>,
    /// Cancelled when the daemons have ended.
    ended: CancellationToken,
}

impl Fleet {
    /// Starts all daemons.
    ///
    /// # Errors
    ///
    /// Fails if a folder or process cannot be made.
    pub async fn start(
        program: &Path,
        slot: u8,
        contention: [bool; ENTRIES],
        link_bits_per_s: u64,
    ) -> io::Result<Self> {
        let mut fleet = Self {
            program: program.to_path_buf(),
            folder: tempfile::tempdir()?,
            slot,
            contention,
            running: BTreeMap::new(),
            started: BTreeMap::new(),
            link_bits_per_s,
            links: Vec::new(),
            ended: CancellationToken::new(),
        };
        for entry in 0..ENTRIES {
            let links = fleet.start_links(entry).await?;
            fleet.links.push(links);
        }
        for target in targets() {
            fleet.boot(target).await?;
        }
        Ok(fleet)
    }

    async fn start_links(&self, entry: usize) -> io::Result<Arc<EntryLinks>> {
        let replicas = (0..REPLICAS).map(|n| {
            let far = self.ip(Target::Replica(n));
            let near = self.in_network(entry, REPLICA_HOST + n as u8);
            (
                SocketAddr::new(near, INTERNAL),
                SocketAddr::new(far, INTERNAL),
            )
        });
        let ip = self.in_network(entry, SERVERS_HOST);
        let bits_per_s = self.link_bits_per_s as f64;
        let link = (self.link_bits_per_s > 0).then(|| NarrowLink::new(bits_per_s, bits_per_s));
        if let Some(link) = &link {
            let (near, far) = (self.front(entry), self.entry_front(entry));
            link.pass_callers(near, far, self.ended.child_token())
                .await?;
        }
        EntryLinks::start(ip, replicas, link, self.ended.child_token()).await
    }

    /// Returns an address in an entry's network.
    fn in_network(&self, entry: usize, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.slot,
            FIRST_NETWORK + entry as u8,
            host,
        ))
    }

    /// Cuts an entry from all backend servers, or ends the cut.
    pub fn set_cut(&self, entry: usize, cut: Option<Cut>) {
        if let Some(links) = self.links.get(entry) {
            links.set_cut(cut);
        }
    }

    /// Returns where callers connect to an entry, on the other side of its link if it has one.
    pub fn front(&self, entry: usize) -> SocketAddr {
        match self.link_bits_per_s {
            0 => self.entry_front(entry),
            _ => SocketAddr::new(self.in_network(entry, FRONT_HOST), FRONT),
        }
    }

    /// Returns where an entry listens for callers.
    fn entry_front(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Target::Entry(entry)), FRONT)
    }

    /// Returns where an entry tells whether it is ready.
    pub fn ready(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Target::Entry(entry)), READY)
    }

    /// Returns where an entry serves its metrics.
    pub fn metrics(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Target::Entry(entry)), METRICS)
    }

    /// Returns where operators call a replica.
    pub fn control(&self, replica: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Target::Replica(replica)), CONTROL)
    }

    /// Starts a daemon, if it does not run, and waits until it catches SIGHUP.
    ///
    /// Before its program is loaded a process can catch nothing, and the signal
    /// ends it; this is so for every program.
    ///
    /// # Errors
    ///
    /// Fails if its settings or process cannot be made, or if it takes longer to
    /// catch the signal than a daemon may.
    pub async fn boot(&mut self, target: Target) -> io::Result<()> {
        if self.running.contains_key(&target) {
            return Ok(());
        }
        let child = self.spawn(target)?;
        let pid = child.id();
        self.running.insert(target, child);
        let caught = timeout(CATCHES_WITHIN, async {
            while pid.is_some_and(|pid| !catches_reload(pid)) {
                sleep(CATCH_LOOK_EVERY).await;
            }
        });
        let late = |_| io::Error::other(format!("it does not catch SIGHUP in {CATCHES_WITHIN:?}"));
        caught.await.map_err(late)
    }

    fn spawn(&mut self, target: Target) -> io::Result<Child> {
        let life = self.started.entry(target).or_default();
        *life += 1;
        let first = *life == 1;
        let (name, role) = match target {
            Target::Replica(n) => (format!("replica-{n}"), "control"),
            Target::Entry(n) => (format!("entry-{n}"), "entry"),
        };
        let settings = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(target, &name, first))?;
        let log = self.folder.path().join(format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        Command::new(&self.program)
            .arg(role)
            .args(["--metrics-port", &METRICS.to_string()])
            .env("SESAMEBEAM_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Sends a signal to a daemon that runs.
    pub fn signal(&self, target: Target, signal: Signal) {
        let pid = self.running.get(&target).and_then(Child::id);
        let pid = pid.and_then(|pid| Pid::from_raw(pid.cast_signed()));
        if let Some(pid) = pid {
            // It may have ended by itself; the wait for it tells.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a daemon.
    pub async fn kill(&mut self, target: Target) {
        if let Some(mut child) = self.running.remove(&target) {
            // It may have ended by itself.
            let _ = child.kill().await;
        }
    }

    /// Kills a control replica and removes its data.
    ///
    /// # Errors
    ///
    /// Fails if the data cannot be removed.
    pub async fn lose_disk(&mut self, replica: usize) -> io::Result<()> {
        self.kill(Target::Replica(replica)).await;
        let data = self.folder.path().join(format!("replica-{replica}-data"));
        match std::fs::remove_dir_all(data) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Asks a daemon to stop and waits; kills it when its time is over. Returns
    /// whether it ended by itself. One that is paused goes on: it could not end.
    pub async fn stop(&mut self, target: Target) -> bool {
        self.signal(target, Signal::TERM);
        self.signal(target, Signal::CONT);
        let Some(mut child) = self.running.remove(&target) else {
            return true;
        };
        let grace = Duration::from_secs(GRACE_S);
        let ended = timeout(grace, child.wait()).await.is_ok();
        if !ended {
            let _ = child.kill().await;
        }
        ended
    }

    /// Returns daemons that have ended by themselves, and starts them again.
    ///
    /// # Errors
    ///
    /// Fails if one cannot be started.
    pub async fn restart_ended(&mut self) -> io::Result<Vec<Target>> {
        let mut ended = Vec::new();
        for (&target, child) in &mut self.running {
            if child.try_wait()?.is_some() {
                ended.push(target);
            }
        }
        for &target in &ended {
            self.running.remove(&target);
            self.boot(target).await?;
        }
        Ok(ended)
    }

    /// Keeps the logs of a run that broke a promise.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be copied.
    pub fn keep_logs(&self, to: &Path) -> io::Result<()> {
        std::fs::create_dir_all(to)?;
        for entry in std::fs::read_dir(self.folder.path())? {
            let path = entry?.path();
            if let (true, Some(name)) = (path.is_file(), path.file_name()) {
                std::fs::copy(&path, to.join(name))?;
            }
        }
        Ok(())
    }

    /// Ends all daemons.
    pub async fn end(mut self) {
        for target in targets() {
            self.signal(target, Signal::CONT);
            self.kill(target).await;
        }
        self.ended.cancel();
        // Ports are free again once the system has seen the ends.
        sleep(Duration::from_millis(10)).await;
    }

    fn ip(&self, target: Target) -> IpAddr {
        let last = match target {
            Target::Replica(n) => REPLICA_HOST + n as u8,
            Target::Entry(n) => 31 + n as u8,
        };
        IpAddr::V4(Ipv4Addr::new(127, self.slot, 0, last))
    }

    fn settings(&self, target: Target, name: &str, first: bool) -> String {
        let ip = self.ip(target);
        let seed = |n: usize| match target {
            Target::Replica(_) => self.control(n),
            Target::Entry(entry) => {
                let host = REPLICA_HOST + n as u8;
                SocketAddr::new(self.in_network(entry, host), CONTROL)
            }
        };
        let seeds: Vec<String> = (0..REPLICAS).map(|n| format!("\"{}\"", seed(n))).collect();
        let data = self.folder.path().join(format!("{name}-data"));
        let listen = match target {
            Target::Replica(_) => format!("control = \"{ip}:{CONTROL}\""),
            Target::Entry(_) => {
                format!("front = \"{ip}:{FRONT}\"\nready_address = \"{ip}:{READY}\"")
            }
        };
        let contracts = match target {
            Target::Entry(n) if self.contention[n] => "[\"pressure\"]",
            _ => "[]",
        };
        format!(
            "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"hall-1\"\n\
             internal_ports = [{INTERNAL}, {LAST_INTERNAL}]\nseeds = [{}]\nbootstrap = {first}\n\
             contracts = {contracts}\n\
             data_dir = \"{}\"\n[listen]\n{listen}\n[fault_tolerance]\nmachines = 1\n\
             [bounds]\ngrace_s = {GRACE_S}\nretry_budget_ratio = 0.9\nbudget_window_s = 10\n\
             budget_slack = {RETRY_SLACK}\nexposure_share = 0.15\nsession_s = 5\n",
            seeds.join(", "),
            data.display()
        )
    }
}

/// Returns the entry in whose network an address is.
pub fn entry_at(addr: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = addr.ip() else {
        return None;
    };
    let [_, _, network, _] = ip.octets();
    let entry = network.checked_sub(FIRST_NETWORK).map(usize::from);
    entry.filter(|entry| *entry < ENTRIES)
}

/// Returns all daemons of a run.
pub fn targets() -> impl Iterator<Item = Target> {
    let replicas = (0..REPLICAS).map(Target::Replica);
    replicas.chain((0..ENTRIES).map(Target::Entry))
}

/// Returns whether a process catches SIGHUP, or has ended.
fn catches_reload(pid: u32) -> bool {
    let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) else {
        return true;
    };
    let field = |name: &str| {
        let mut lines = status.lines();
        lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
    };
    // The lowest bit is the first signal's, which is SIGHUP.
    let caught = field("SigCgt:").and_then(|mask| u64::from_str_radix(&mask, 16).ok());
    let ended = field("State:").is_some_and(|state| state.starts_with('Z'));
    ended || caught.is_some_and(|mask| mask & 1 == 1)
}
