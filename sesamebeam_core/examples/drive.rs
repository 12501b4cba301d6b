//! Drives an entry and a control replica with a simulated clock, network and
//! disk: no socket is opened and no clock is read.
//!
//! `cargo run -p sesamebeam_core --example drive`

use std::{
    collections::VecDeque,
    time::Duration, //
};

use sesamebeam_core::{
    control::{
        ControlAction,
        ControlConfig,
        ControlCore,
        ControlEvent, //
    },
    entry::{
        EntryConfig, EntryCore,
        event::{
            EntryAction,
            EntryEvent, //
        },
    },
    fleet::Fleet,
    ids::MonoTime,
    message::{
        command::Change,
        control::ControlRequest, //
    },
    replica::{
        Members,
        ReplicaConfig,
        SavedState, //
    },
};

/// Incarnation of the data directory of the only replica.
const INCARNATION: u128 = 1;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(50);

/// Ticket of the operator's request, distinct from those of the entry.
const OPERATOR_TICKET: u64 = 1 << 32;

/// Simulated clock and disk, the cores, and the events in transit.
struct Harness {
    now: MonoTime,
    disk: SavedState,
    control: ControlCore,
    entry: EntryCore,
    to_control: VecDeque<ControlEvent>,
    to_entry: VecDeque<EntryEvent>,
}

fn main() {
    let mut harness = Harness::new();
    let change = Change {
        base: 0,
        digest: 1,
        fleet: Box::new(Fleet {
            name: "example".into(),
            domains: vec!["lima-ate".into()],
            ..Fleet::default()
        }),
        operator: "example".into(),
        at: 0,
    };
    let req = ControlRequest::Apply(change);
    while harness.entry.view().revision() == 0 && harness.now < Duration::from_secs(30) {
        // The request is refused until there is a leader, so it is repeated.
        let req = req.clone();
        harness.to_control.push_back(ControlEvent::Client {
            ticket: OPERATOR_TICKET,
            req,
        });
        harness.step();
    }
    println!(
        "after {:?} revision {} is in force at the entry",
        harness.now,
        harness.entry.view().revision()
    );
}

impl Harness {
    fn new() -> Self {
        let replica = ReplicaConfig {
            id: 1,
            group: 7,
            incarnation: INCARNATION,
            members: Members::of_voters([(1, INCARNATION)]),
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            lease: Duration::from_millis(400),
            clock_drift: 0.01,
            max_batch_bytes: 1 << 20,
            snapshot_every: 1000,
            snapshot_every_bytes: 16 << 20,
            snapshot_chunk: 64 << 10,
            fast_elections: false,
            seed: 1,
            faults: Default::default(),
        };
        let cfg = ControlConfig::new(replica);
        let (control, actions) = ControlCore::new(cfg, SavedState::default(), MonoTime::ZERO);
        let entry = EntryCore::new(EntryConfig::new("ate-1".into(), "lima-ate".into(), 1));
        let mut harness = Self {
            now: MonoTime::ZERO,
            disk: SavedState::default(),
            control,
            entry,
            to_control: VecDeque::new(),
            to_entry: VecDeque::new(),
        };
        harness.execute_control_actions(actions);
        harness
    }

    /// Advances the time by one step and delivers all events in transit.
    fn step(&mut self) {
        self.now += STEP;
        self.to_control.push_back(ControlEvent::Tick);
        self.to_entry.push_back(EntryEvent::Tick);
        loop {
            if let Some(event) = self.to_control.pop_front() {
                let actions = self.control.handle(self.now, event);
                self.execute_control_actions(actions);
            } else if let Some(event) = self.to_entry.pop_front() {
                let actions = self.entry.handle(self.now, 0, event);
                self.execute_entry_actions(actions);
            } else {
                return;
            }
        }
    }

    /// Executes the actions of the control replica.
    fn execute_control_actions(&mut self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Write { write, ops } => {
                    // The disk of the harness, which decides whether a write
                    // survives a crash.
                    self.disk.write(&ops);
                    self.to_control.push_back(ControlEvent::Synced { write });
                }
                ControlAction::Reply { ticket, reply } if ticket != OPERATOR_TICKET => {
                    self.to_entry.push_back(EntryEvent::ControlReplied {
                        ask: ticket,
                        reply: Some(reply),
                    });
                }
                // A single replica has no peers, and there are no engines for orders.
                _ => {}
            }
        }
    }

    /// Executes the actions of the entry: only its requests to the control group.
    fn execute_entry_actions(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            if let EntryAction::SendToControl { ask, req, .. } = action {
                self.to_control.push_back(ControlEvent::Client {
                    ticket: ask,
                    req: *req,
                });
            }
        }
    }
}
