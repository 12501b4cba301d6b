//! The replicated state machine of the control group.
//!
//! Every replica applies the same commands in the same order and comes to the
//! same state, bit for bit: nothing here reads a clock or draws a number, and
//! time is the log's own, moved by [`Command::Clock`].

mod bill;
mod claim;
mod config;
mod crash;
pub mod delta;
mod pin;
mod rollout;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

pub use self::claim::{
    MAX_WINDOW,
    Opening, //
};
use self::{
    bill::Bills,
    claim::{
        Claims,
        Cx, //
    },
    config::Config,
    crash::Crashes,
    pin::Pins,
    rollout::Rollouts, //
};
use crate::{
    fleet::Fleet,
    ids::{
        BillSeq,
        Fencing,
        LogIndex,
        Revision,
        VersionId, //
    },
    message::{
        command::{
            Change,
            Command,
            Order,
            Outcome,
            Retention,
            RolloutState,
            RolloutStep,
            Verdict, //
        },
        control::{
            FleetChange,
            Live,
            RolloutView, //
        },
        record::{
            Bill,
            ClaimKey,
            ClaimView,
            PinKey,
            PinView, //
        },
    },
};

/// Layout of a snapshot that this release writes and reads.
const SNAPSHOT_VERSION: u8 = 1;

/// Bytes in front of a snapshot's body: its layout and checksum.
const SNAPSHOT_HEADER: usize = 5;

/// Why a snapshot was not restored.
#[derive(Debug, Error)]
pub enum StateError {
    /// The snapshot is shorter than its header.
    #[error("snapshot of {0} bytes is shorter than its header")]
    Short(usize),
    /// The snapshot's layout is not understood.
    #[error("snapshot layout {0} is not understood, only {SNAPSHOT_VERSION}")]
    Version(u8),
    /// The snapshot's checksum does not fit.
    #[error("snapshot checksum is {found:08x}, not {wanted:08x}")]
    Checksum {
        /// Checksum in the header.
        wanted: u32,
        /// Checksum of the body.
        found: u32,
    },
    /// The snapshot does not decode.
    #[error("snapshot does not decode: {0}")]
    Codec(#[from] postcard::Error),
}

/// Safeguards that a test switches off to see its failure come about.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A claim is retaken whichever opening the leader judged.
    pub retake_any_opening: bool,
    /// A completion that comes twice is billed twice.
    pub bill_resends: bool,
    /// Verdicts do not go into snapshots.
    pub snapshot_without_verdicts: bool,
    /// A pin may be on any version.
    pub pin_any_version: bool,
    /// Every fingerprint of two crashes is quarantined.
    pub quarantine_bystanders: bool,
    /// Roll-outs step without their gates.
    pub step_without_gate: bool,
    /// A leader counts a claimant without a lease as gone from its first moment.
    pub trust_empty_leases: bool,
    /// Dispatch windows count as over at once.
    pub ignore_windows: bool,
    /// A leader orders and answers without its lease.
    pub act_without_lease: bool,
    /// A leader gives orders before the lease of the one before it is over.
    pub order_at_once: bool,
    /// Orders ignore the weight store's rate and the size of the pool.
    pub order_unpaced: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    applied: LogIndex,
    clock: Duration,
    retention: Retention,
    config: Config,
    claims: Claims,
    bills: Bills,
    pins: Pins,
    crashes: Crashes,
    rollouts: Rollouts,
    fencing: Fencing,
    live: Live,
    /// Switches of tests.
    #[doc(hidden)]
    #[serde(skip)]
    pub faults: Faults,
}

impl State {
    /// Applies a command at its position in the log.
    ///
    /// A position that was applied before is a fault of the caller; positions
    /// may have gaps.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the position does not grow.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Outcome {
        debug_assert!(index > self.applied, "position {index} was applied before");
        self.applied = index;
        let outcome = self.outcome_of(index, command);
        if touches_live(command) {
            self.refresh_live(index);
        }
        outcome
    }

    /// Writes the whole state.
    ///
    /// # Panics
    ///
    /// Panics if the codec refuses a type of the state, which no value does.
    pub fn snapshot(&self) -> Vec<u8> {
        let buf = vec![SNAPSHOT_VERSION, 0, 0, 0, 0];
        let written = if self.faults.snapshot_without_verdicts {
            let mut state = self.clone();
            state.config.forget_verdicts();
            postcard::to_extend(&state, buf)
        } else {
            postcard::to_extend(self, buf)
        };
        let mut buf = written.expect("every type of the state can be encoded");
        let checksum = crc32fast::hash(&buf[SNAPSHOT_HEADER..]);
        buf[1..SNAPSHOT_HEADER].copy_from_slice(&checksum.to_le_bytes());
        buf
    }

    /// Reads a state that [`State::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the layout is not understood, or the bytes are not whole.
    pub fn restore(buf: &[u8]) -> Result<Self, StateError> {
        let (header, body) = buf
            .split_first_chunk::<SNAPSHOT_HEADER>()
            .ok_or(StateError::Short(buf.len()))?;
        let [version, checksum @ ..] = *header;
        if version != SNAPSHOT_VERSION {
            return Err(StateError::Version(version));
        }
        let wanted = u32::from_le_bytes(checksum);
        let found = crc32fast::hash(body);
        if wanted != found {
            return Err(StateError::Checksum { wanted, found });
        }
        Ok(postcard::from_bytes(body)?)
    }

    /// Returns the position applied last.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the time on the log's own clock.
    pub fn clock(&self) -> Duration {
        self.clock
    }

    /// Returns how long records are kept.
    pub fn retention(&self) -> &Retention {
        &self.retention
    }

    /// Returns the revision accepted last.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// Returns the highest revision found to be in force at every entry.
    pub fn in_force(&self) -> Revision {
        self.config.in_force
    }

    /// Returns the fleet file accepted last.
    pub fn fleet(&self) -> &Fleet {
        &self.config.fleet
    }

    /// Finds the verdict that a change was given.
    pub fn verdict(&self, change: &Change) -> Option<&Verdict> {
        self.config.verdict(change)
    }

    /// Computes the change that brings an entry from a revision to the newest.
    pub fn change_from(&self, revision: Revision) -> Option<FleetChange> {
        self.config.change_from(revision)
    }

    /// Returns the state beside the file. Its position moves only when something
    /// changes that an entry acts on.
    pub fn live(&self) -> &Live {
        &self.live
    }

    /// Views a claim. What only a leader's clock tells is false.
    pub fn claim(&self, key: &ClaimKey) -> Option<&ClaimView> {
        self.claims.view(key)
    }

    /// Finds when in the log a claim was granted last, and its window.
    pub fn opening(&self, key: &ClaimKey) -> Option<Opening> {
        self.claims.opening(key)
    }

    /// Finds a pin.
    pub fn pin(&self, key: &PinKey) -> Option<&PinView> {
        self.pins.view(key)
    }

    /// Lists billing entries from a position on.
    pub fn bills(&self, from: BillSeq, limit: usize) -> Vec<Bill> {
        self.bills.list(from, limit)
    }

    /// Tells where a roll-out stands.
    pub fn rollout(&self, version: &str) -> Option<RolloutState> {
        self.rollouts.state(version)
    }

    /// Lists the roll-out steps whose gates are passed.
    pub fn due_steps(&self) -> Vec<RolloutStep> {
        self.rollouts.due(&self.config.fleet, self.clock)
    }

    /// Counts the claims.
    pub fn claims_kept(&self) -> usize {
        self.claims.len()
    }

    /// Counts the pins.
    pub fn pins_kept(&self) -> usize {
        self.pins.len()
    }

    /// Counts the billing entries.
    pub fn bills_kept(&self) -> usize {
        self.bills.len()
    }

    /// Counts the bytes of kept answer bodies.
    pub fn body_bytes(&self) -> u64 {
        self.claims.body_bytes()
    }

    fn outcome_of(&mut self, index: LogIndex, command: &Command) -> Outcome {
        let clock = self.clock;
        match command {
            Command::Clock { at } => self.move_clock(index, *at),
            Command::Retention(retention) => self.retention = retention.clone(),
            Command::InForce(revision) => self.set_in_force(*revision),
            Command::Evidence(evidence) => {
                self.rollouts.observe(&self.config.fleet, evidence, clock);
            }
            Command::Rollout(step) => {
                let gates = !self.faults.step_without_gate;
                self.rollouts.step(&self.config.fleet, step, clock, gates);
            }
            Command::Cleared(fingerprints) => self.crashes.clear(clock, fingerprints),
            Command::Apply(change) => return Outcome::Verdict(self.judge(change)),
            Command::Claim(req) => {
                let (claims, mut cx) = self.claims_cx(index);
                return claims.claim(&mut cx, req);
            }
            Command::Retake(retake) => {
                let (claims, mut cx) = self.claims_cx(index);
                return claims.retake(&mut cx, retake);
            }
            Command::Complete(req) => {
                let (claims, mut cx) = self.claims_cx(index);
                return Outcome::Complete(claims.complete(&mut cx, req));
            }
            Command::Settle(req) => {
                let (claims, mut cx) = self.claims_cx(index);
                return Outcome::Settled(claims.settle(&mut cx, req));
            }
            Command::Pin(req) => {
                let any = self.faults.pin_any_version;
                return self
                    .pins
                    .pin(&self.config, clock, &self.retention, req, any);
            }
            Command::Crash(report) => {
                let bystanders = self.faults.quarantine_bystanders;
                self.crashes.report(clock, report, bystanders);
                return Outcome::Quarantined(self.crashes.quarantined());
            }
            Command::Order(order) => return Outcome::Ordered(self.order(order)),
        }
        Outcome::Done
    }

    fn claims_cx(&mut self, index: LogIndex) -> (&mut Claims, Cx<'_>) {
        let cx = Cx {
            index,
            clock: self.clock,
            retention: &self.retention,
            faults: &self.faults,
            bills: &mut self.bills,
        };
        (&mut self.claims, cx)
    }

    fn move_clock(&mut self, index: LogIndex, at: Duration) {
        self.clock = self.clock.max(at);
        let (claims, mut cx) = self.claims_cx(index);
        claims.expire(&mut cx);
        self.bills.expire(self.clock, self.retention.bills);
        self.pins.expire(self.clock, self.retention.pins);
        self.crashes.expire(self.clock, &self.retention);
        self.config.expire(self.clock, &self.retention);
    }

    fn set_in_force(&mut self, revision: Revision) {
        let known = revision.min(self.config.revision);
        self.config.in_force = self.config.in_force.max(known);
    }

    fn judge(&mut self, change: &Change) -> Verdict {
        let before = self.config.revision;
        let old = self.config.fleet.clone();
        let verdict = self.config.judge(change, self.clock);
        if self.config.revision != before {
            self.rollouts.follow(&old, &self.config.fleet, self.clock);
        }
        self.config.expire(self.clock, &self.retention);
        verdict
    }

    fn order(&mut self, order: &Order) -> Order {
        self.fencing += 1;
        Order {
            fencing: self.fencing,
            ..order.clone()
        }
    }

    /// Works out the live state anew. Its position stays if nothing changed that
    /// an entry acts on: counts of ratings come all the time, and each would
    /// otherwise be sent to every entry.
    fn refresh_live(&mut self, index: LogIndex) {
        let held = self.rollouts.held();
        let rollouts = self.rollouts.views(&self.config.fleet);
        let quarantine = self.crashes.quarantined();
        let same = self.live.held == held
            && self.live.quarantine == quarantine
            && self
                .live
                .rollouts
                .iter()
                .map(acted_on)
                .eq(rollouts.iter().map(acted_on));
        self.live = Live {
            at: if same { self.live.at } else { index },
            held,
            rollouts,
            quarantine,
        };
    }
}

/// Tells whether a command may change what entries act on beside the file.
fn touches_live(command: &Command) -> bool {
    match command {
        Command::Clock { .. }
        | Command::Apply(_)
        | Command::Crash(_)
        | Command::Cleared(_)
        | Command::Evidence(_)
        | Command::Rollout(_) => true,
        Command::Claim(_)
        | Command::Retake(_)
        | Command::Complete(_)
        | Command::Settle(_)
        | Command::Pin(_)
        | Command::Order(_)
        | Command::InForce(_)
        | Command::Retention(_) => false,
    }
}

/// Picks the part of a roll-out that an entry acts on.
fn acted_on(view: &RolloutView) -> (&VersionId, RolloutState, f64) {
    (&view.version, view.state, view.share)
}
