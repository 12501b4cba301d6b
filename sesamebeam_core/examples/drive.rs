//! Drives an entry and a control replica with a clock, a network and a disk of
//! the harness's own: no socket is opened and no clock is read.
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

/// Incarnation of the data folder of the only replica.
const FOLDER: u128 = 1;

/// Time that one turn of the loop takes.
const STEP: Duration = Duration::from_millis(50);

/// Number of the operator's request, apart from those of the entry.
const OPERATOR: u64 = 1 << 32;

/// What the harness owns: the clock, the disk, and what is under way.
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
        // Until there is a leader the file is refused, and sent again.
        let req = req.clone();
        harness.to_control.push_back(ControlEvent::Client {
            ticket: OPERATOR,
            req,
        });
        harness.turn();
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
            incarnation: FOLDER,
            members: Members::of_voters([(1, FOLDER)]),
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            lease: Duration::from_millis(400),
            clock_drift: 0.01,
            max_batch_bytes: 1 << 20,
            snapshot_every: 1000,
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
        harness.carry(actions);
        harness
    }

    /// Lets a step of time pass and delivers everything that is under way.
    fn turn(&mut self) {
        self.now += STEP;
        self.to_control.push_back(ControlEvent::Tick);
        self.to_entry.push_back(EntryEvent::Tick);
        loop {
            if let Some(event) = self.to_control.pop_front() {
                let actions = self.control.handle(self.now, event);
                self.carry(actions);
            } else if let Some(event) = self.to_entry.pop_front() {
                let actions = self.entry.handle(self.now, 0, event);
                self.send(actions);
            } else {
                return;
            }
        }
    }

    /// Carries out what the control replica wants done.
    fn carry(&mut self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Write { write, ops } => {
                    // The harness's disk: what is written here survives a
                    // crash, if the harness says so.
                    self.disk.write(&ops);
                    self.to_control.push_back(ControlEvent::Synced { write });
                }
                ControlAction::Reply { ticket, reply } if ticket != OPERATOR => {
                    self.to_entry.push_back(EntryEvent::ControlReplied {
                        ask: ticket,
                        reply: Some(reply),
                    });
                }
                // The only replica sends to nobody; orders go to engines.
                _ => {}
            }
        }
    }

    /// Carries out what the entry wants done: here only its questions.
    fn send(&mut self, actions: Vec<EntryAction>) {
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
