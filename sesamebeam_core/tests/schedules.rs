//! Randomised fault schedules for groups of three and five replicas.
//!
//! Messages are lost, duplicated and reordered; replicas crash, restart, lose their
//! disks and are replaced; links are disconnected and restored. The invariants are
//! checked after each step. At the end the group must recover and hold all
//! acknowledged entries. The seed is fixed, so that results are reproducible.

#[path = "group/net.rs"]
mod net;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use net::{
    Net,
    NetworkConditions,
    config, //
};
use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use sesamebeam_core::replica::{
    Faults,
    MemberChange,
    ReplicaEvent, //
};

/// Seed of all schedules.
const SEED: u64 = 20_26;

/// One step of a schedule. `u8` indices select a replica modulo the number of
/// replicas.
#[derive(Clone, Debug)]
enum Step {
    /// Advances the time, in milliseconds.
    Run(u16),
    /// Proposes entries at every replica that considers itself the leader.
    Propose(u8),
    /// Reads at a replica in any role.
    Read(u8),
    /// Crashes a replica.
    Crash(u8),
    /// Crashes all replicas at once.
    CrashAll,
    /// Starts all stopped replicas.
    Start,
    /// Loses the disk of a replica, which comes back with a new one, and requests
    /// its replacement.
    LoseDisk(u8),
    /// Disconnects one direction of a link.
    Cut(u8, u8),
    /// Isolates a replica.
    Isolate(u8),
    /// Heals all links.
    Heal,
    /// Reports the disk of a replica as full or free.
    Full(u8, bool),
    /// Changes message loss and duplication in percent, and jitter in milliseconds.
    NetworkConditions(u8, u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1u16..3_000).prop_map(Step::Run),
        8 => (1u8..20).prop_map(Step::Propose),
        4 => any::<u8>().prop_map(Step::Read),
        4 => any::<u8>().prop_map(Step::Crash),
        1 => Just(Step::CrashAll),
        6 => Just(Step::Start),
        1 => any::<u8>().prop_map(Step::LoseDisk),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Cut(a, b)),
        2 => any::<u8>().prop_map(Step::Isolate),
        4 => Just(Step::Heal),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(n, full)| Step::Full(n, full)),
        2 => (0u8..30, 0u8..30, 0u8..60).prop_map(|(a, b, c)| Step::NetworkConditions(a, b, c)),
    ]
}

/// Execution of a schedule.
struct Run {
    net: Net,
    faults: Faults,
    seed: u64,
    ticket: u64,
    /// Replicas whose disk was lost.
    lost_disks: BTreeSet<u64>,
    /// Replacements to request, as pairs of old and new ID.
    pending: Vec<(u64, u64)>,
    next_node: u64,
}

impl Run {
    fn new(voters: u64, seed: u64, faults: Faults) -> Self {
        let mut net = Net::with(voters, seed, faults, small_limits);
        for (&id, node) in &mut net.nodes {
            // Clock rates differ within the drift bound.
            node.rate = 1.0 + (id as f64 - 2.0) * net::DRIFT / 3.0;
        }
        Run {
            net,
            faults,
            seed,
            ticket: 0,
            lost_disks: BTreeSet::new(),
            pending: Vec::new(),
            next_node: voters + 1,
        }
    }

    fn choose(&self, n: u8) -> u64 {
        let ids: Vec<u64> = self.net.nodes.keys().copied().collect();
        ids[usize::from(n) % ids.len()]
    }

    fn execute(&mut self, step: &Step) {
        match *step {
            Step::Run(ms) => self.net.run(Duration::from_millis(ms.into())),
            Step::Propose(count) => self.propose(count),
            Step::Read(n) => {
                self.ticket += 1;
                self.net.read_at(self.choose(n), self.ticket);
            }
            Step::Crash(n) => self.net.crash(self.choose(n)),
            Step::CrashAll => {
                for id in self.net.nodes.keys().copied().collect::<Vec<_>>() {
                    self.net.crash(id);
                }
            }
            Step::Start => self.start_all(),
            Step::LoseDisk(n) => self.lose_disk(self.choose(n)),
            Step::Cut(a, b) => {
                self.net.cut_links.insert((self.choose(a), self.choose(b)));
            }
            Step::Isolate(n) => self.net.isolate(self.choose(n)),
            Step::Heal => self.net.heal(),
            Step::Full(n, full) => {
                let id = self.choose(n);
                self.net.event(id, ReplicaEvent::DiskFull(full));
            }
            Step::NetworkConditions(loss, duplicate, jitter) => {
                self.net.conditions = NetworkConditions {
                    loss: f64::from(loss) / 100.0,
                    duplicate: f64::from(duplicate) / 100.0,
                    jitter: Duration::from_millis(jitter.into()),
                    ..NetworkConditions::default()
                };
            }
        }
        self.request_pending();
    }

    fn propose(&mut self, count: u8) {
        for _ in 0..count {
            for id in self.net.leaders() {
                self.ticket += 1;
                self.net.propose(id, self.ticket);
            }
        }
    }

    fn start_all(&mut self) {
        for id in self.net.nodes.keys().copied().collect::<Vec<_>>() {
            self.net.start(id);
        }
    }

    /// Loses a disk, but only one per schedule: a group that loses a quorum of
    /// disks cannot recover.
    fn lose_disk(&mut self, id: u64) {
        if !self.lost_disks.is_empty() {
            return;
        }
        self.lost_disks.insert(id);
        self.net.lose_disk(id);
        let new = self.next_node;
        self.next_node += 1;
        let mut cfg = config(new, u128::from(new) * 100, self.seed, self.faults);
        small_limits(&mut cfg);
        self.net.add(cfg);
        self.pending.push((id, new));
    }

    /// Requests the replacements at every leader.
    fn request_pending(&mut self) {
        for (old, new) in self.pending.clone() {
            for leader in self.net.leaders() {
                self.ticket += 1;
                let change = MemberChange::Replace {
                    old,
                    new,
                    incarnation: u128::from(new) * 100,
                    addr: None,
                };
                self.net.change(leader, self.ticket, change);
            }
        }
    }

    /// Removes all faults, then checks that the group makes progress and has lost
    /// nothing.
    fn finish(mut self) {
        self.net.heal();
        self.net.conditions = NetworkConditions::default();
        for id in self.net.nodes.keys().copied().collect::<Vec<_>>() {
            self.net.event(id, ReplicaEvent::DiskFull(false));
        }
        self.start_all();
        self.net.run(Duration::from_secs(10));
        self.request_pending();
        self.net.commit(1_000_000);
        self.net.run(Duration::from_secs(10));
        self.net.assert_no_violations();
        let leader = self.net.wait_for_leader();
        let held: BTreeSet<u64> = self.net.nodes[&leader]
            .state
            .iter()
            .map(|(index, _)| *index)
            .collect();
        let lost: Vec<_> = self
            .net
            .acked
            .iter()
            .filter(|(_, i)| !held.contains(i))
            .collect();
        assert_eq!(lost, [], "acknowledged entries are lost");
    }
}

/// Sets small batches, snapshot intervals and chunks, so that short schedules reach
/// their limits.
fn small_limits(cfg: &mut sesamebeam_core::replica::ReplicaConfig) {
    cfg.max_batch_bytes = 150;
    cfg.snapshot_every = 20;
    cfg.snapshot_chunk = 64;
}

/// Reads a number from the environment, for runs longer than in CI: `SCHEDULES=5000
/// SCHEDULE_SEED=7 cargo test --release --test schedules`.
fn from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn runner(cases: u64, shrink: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: u32::try_from(cases).unwrap(),
        rng_seed: RngSeed::Fixed(from_env("SCHEDULE_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: shrink,
        ..ProptestConfig::default()
    })
}

/// Runs random schedules and returns the first failure.
fn schedules(voters: u64, mut runner: TestRunner, faults: Faults) -> Result<(), String> {
    let strategy = (any::<u64>(), prop::collection::vec(step(), 5..60));
    let result = runner.run(&strategy, |(seed, steps)| {
        execute(voters, seed, &steps, faults);
        Ok(())
    });
    result.map_err(|failure| failure.to_string())
}

/// Runs one schedule.
fn execute(voters: u64, seed: u64, steps: &[Step], faults: Faults) {
    let mut run = Run::new(voters, seed, faults);
    for step in steps {
        run.execute(step);
    }
    run.finish();
}

/// Returns whether the schedules fail with the given safeguards disabled.
fn fails(faults: Faults) -> bool {
    schedules(3, runner(300, 0), faults).is_err()
}

#[test]
fn three_replicas() {
    let runner = runner(from_env("SCHEDULES", 150), 200);
    assert_eq!(schedules(3, runner, Faults::default()), Ok(()));
}

#[test]
fn five_replicas() {
    let runner = runner(from_env("SCHEDULES", 100), 200);
    assert_eq!(schedules(5, runner, Faults::default()), Ok(()));
}

#[test]
fn unsynced_entries_acknowledged() {
    // Entries acknowledged before they are synced are lost in a power failure.
    assert!(fails(Faults {
        count_unsynced: true,
        ..Faults::default()
    }));
}

#[test]
fn snapshot_ahead_of_disk() {
    // Guards against writes that stall for good. A follower with a slow disk
    // applied entries that were not written yet, took a snapshot of them and
    // compacted them away. If the snapshot did not replace them on disk, no later
    // entry could be written, and as a leader the replica would never sync its own
    // first entry.
    let steps = [
        Step::Run(93),
        Step::Propose(1),
        Step::Run(803),
        Step::Isolate(109),
        Step::Run(546),
        Step::Propose(13),
        Step::Run(854),
        Step::Propose(17),
        Step::Crash(112),
        Step::Heal,
        Step::Run(435),
        Step::Crash(113),
        Step::Isolate(120),
        Step::Start,
        Step::Isolate(101),
        Step::Run(2_661),
    ];
    execute(5, 13_517_055_591_431_918_563, &steps, Faults::default());
}

#[test]
fn divergence_at_log_base() {
    // Guards against an endless exchange of probes. A follower's log diverges from
    // the leader's at the leader's log base, the entry just before the first in
    // memory. A leader that took this entry as matching would probe again and get
    // the same response; it has to send a snapshot.
    let steps = [
        Step::Propose(1),
        Step::LoseDisk(39),
        Step::Start,
        Step::Run(1_808),
        Step::Isolate(68),
        Step::Run(1_352),
        Step::Propose(14),
        Step::NetworkConditions(0, 20, 0),
        Step::Full(171, true),
        Step::Run(2_544),
        Step::Propose(6),
        Step::Heal,
        Step::Propose(18),
        Step::Run(644),
        Step::Isolate(71),
        Step::Run(2_351),
    ];
    execute(5, 1_037_057_527_961_535_280, &steps, Faults::default());
}
