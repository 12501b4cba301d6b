//! The replicated state machine of the control group.
//!
//! Every replica applies the same commands in the same order and reaches a
//! bit-identical state. Code in this module therefore reads no clock and draws
//! no random numbers; time is the log clock, which [`Command::Clock`] advances.

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
    ClaimGrant,
    MAX_DISPATCH_WINDOW, //
};
use self::{
    bill::Bills,
    claim::{
        ApplyContext,
        Claims, //
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
            LiveState,
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

/// Version of the snapshot layout that this release writes and reads.
const SNAPSHOT_VERSION: u8 = 1;

/// Length of the header before the snapshot body: layout version and checksum.
const SNAPSHOT_HEADER: usize = 5;

/// Reason why a snapshot could not be restored.
#[derive(Debug, Error)]
pub enum StateError {
    /// The snapshot is shorter than its header.
    #[error("snapshot of {0} bytes is shorter than its header")]
    TooShort(usize),
    /// The layout version of the snapshot is not supported.
    #[error("snapshot layout version {0} is not supported, only {SNAPSHOT_VERSION}")]
    UnsupportedVersion(u8),
    /// The checksum of the snapshot does not match.
    #[error("snapshot checksum is {found:08x}, expected {expected:08x}")]
    Checksum {
        /// Checksum in the header.
        expected: u32,
        /// Checksum of the body.
        found: u32,
    },
    /// The snapshot cannot be decoded.
    #[error("cannot decode snapshot: {0}")]
    Codec(#[from] postcard::Error),
}

/// Fault injection for tests: each field disables one safeguard, so that a test
/// can reproduce the failure which it prevents.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A claim is retaken even if it was granted again after the leader
    /// evaluated it.
    pub retake_any_grant: bool,
    /// A completion that is reported twice is billed twice.
    pub bill_resends: bool,
    /// Snapshots do not contain verdicts.
    pub snapshot_without_verdicts: bool,
    /// A session may be pinned to any version.
    pub pin_any_version: bool,
    /// Every fingerprint that took part in two crashes is quarantined.
    pub quarantine_bystanders: bool,
    /// Rollouts advance before their gates are met.
    pub step_without_gate: bool,
    /// A new leader considers claimants without a known lease as gone
    /// immediately.
    pub trust_empty_leases: bool,
    /// Dispatch windows are considered over immediately.
    pub ignore_windows: bool,
    /// A leader issues orders and answers requests without holding its lease.
    pub act_without_lease: bool,
    /// A leader issues orders before the lease of its predecessor has ended.
    pub order_before_lease_end: bool,
    /// Orders ignore the transfer rate of the weight store and the size of the
    /// pool.
    pub ignore_load_pacing: bool,
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
    live: LiveState,
    /// Fault injection for tests.
    #[doc(hidden)]
    #[serde(skip)]
    pub faults: Faults,
}

impl State {
    /// Applies the command at a log index.
    ///
    /// Indexes must increase but may have gaps. Applying an index again is an
    /// error of the caller.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the index does not increase.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Outcome {
        debug_assert!(
            index > self.applied,
            "log index {index} was already applied"
        );
        self.applied = index;
        let outcome = self.execute(index, command);
        if affects_live_state(command) {
            self.refresh_live_state(index);
        }
        outcome
    }

    /// Serialises the whole state.
    ///
    /// # Panics
    ///
    /// Panics if the codec cannot encode a type of the state, which does not
    /// depend on the value.
    pub fn snapshot(&self) -> Vec<u8> {
        let buf = vec![SNAPSHOT_VERSION, 0, 0, 0, 0];
        let written = if self.faults.snapshot_without_verdicts {
            let mut state = self.clone();
            state.config.clear_verdicts();
            postcard::to_extend(&state, buf)
        } else {
            postcard::to_extend(self, buf)
        };
        let mut buf = written.expect("every type of the state can be encoded");
        let checksum = crc32fast::hash(&buf[SNAPSHOT_HEADER..]);
        buf[1..SNAPSHOT_HEADER].copy_from_slice(&checksum.to_le_bytes());
        buf
    }

    /// Restores a state from a snapshot written by [`State::snapshot`].
    ///
    /// # Errors
    ///
    /// Fails if the layout version is not supported or the bytes are truncated
    /// or corrupted.
    pub fn restore(buf: &[u8]) -> Result<Self, StateError> {
        let (header, body) = buf
            .split_first_chunk::<SNAPSHOT_HEADER>()
            .ok_or(StateError::TooShort(buf.len()))?;
        let [version, checksum @ ..] = *header;
        if version != SNAPSHOT_VERSION {
            return Err(StateError::UnsupportedVersion(version));
        }
        let expected = u32::from_le_bytes(checksum);
        let found = crc32fast::hash(body);
        if expected != found {
            return Err(StateError::Checksum { expected, found });
        }
        Ok(postcard::from_bytes(body)?)
    }

    /// Returns the last applied log index.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the time of the log clock.
    pub fn clock(&self) -> Duration {
        self.clock
    }

    /// Returns the retention limits.
    pub fn retention(&self) -> &Retention {
        &self.retention
    }

    /// Returns the last accepted revision.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// Returns the highest revision known to be in force on every entry.
    pub fn in_force(&self) -> Revision {
        self.config.in_force
    }

    /// Returns the last accepted fleet file.
    pub fn fleet(&self) -> &Fleet {
        &self.config.fleet
    }

    /// Returns the verdict on a change, if it is still kept.
    pub fn verdict(&self, change: &Change) -> Option<&Verdict> {
        self.config.verdict(change)
    }

    /// Returns the change that updates an entry from `revision` to the newest
    /// revision.
    pub fn change_from(&self, revision: Revision) -> Option<FleetChange> {
        self.config.change_from(revision)
    }

    /// Returns the live state. Its log index only changes if something changes
    /// that entries act on.
    pub fn live(&self) -> &LiveState {
        &self.live
    }

    /// Returns a claim. The fields that depend on the leader's clock are
    /// `false`.
    pub fn claim(&self, key: &ClaimKey) -> Option<&ClaimView> {
        self.claims.view(key)
    }

    /// Returns the log index and the dispatch window of the last grant of a
    /// claim.
    pub fn grant(&self, key: &ClaimKey) -> Option<ClaimGrant> {
        self.claims.grant(key)
    }

    /// Returns a pin.
    pub fn pin(&self, key: &PinKey) -> Option<&PinView> {
        self.pins.view(key)
    }

    /// Returns up to `limit` billing entries from sequence number `from`.
    pub fn bills(&self, from: BillSeq, limit: usize) -> Vec<Bill> {
        self.bills.list(from, limit)
    }

    /// Returns the state of a rollout.
    pub fn rollout(&self, version: &str) -> Option<RolloutState> {
        self.rollouts.state(version)
    }

    /// Returns the rollout steps whose gates are met.
    pub fn due_steps(&self) -> Vec<RolloutStep> {
        self.rollouts.due(&self.config.fleet, self.clock)
    }

    /// Returns the number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of pins.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    /// Returns the number of billing entries.
    pub fn bill_count(&self) -> usize {
        self.bills.len()
    }

    /// Returns the total size of the kept answer bodies in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.claims.body_bytes()
    }

    fn execute(&mut self, index: LogIndex, command: &Command) -> Outcome {
        let clock = self.clock;
        match command {
            Command::Clock { at } => self.advance_clock(index, *at),
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
            Command::Apply(change) => return Outcome::Verdict(self.apply_change(change)),
            Command::Claim(req) => {
                let (claims, mut cx) = self.claims_with_context(index);
                return claims.claim(&mut cx, req);
            }
            Command::Retake(retake) => {
                let (claims, mut cx) = self.claims_with_context(index);
                return claims.retake(&mut cx, retake);
            }
            Command::Complete(req) => {
                let (claims, mut cx) = self.claims_with_context(index);
                return Outcome::Complete(claims.complete(&mut cx, req));
            }
            Command::Settle(req) => {
                let (claims, mut cx) = self.claims_with_context(index);
                return Outcome::Settled(claims.settle(&mut cx, req));
            }
            Command::Pin(req) => {
                let any_version = self.faults.pin_any_version;
                return self
                    .pins
                    .pin(&self.config, clock, &self.retention, req, any_version);
            }
            Command::Crash(report) => {
                let bystanders = self.faults.quarantine_bystanders;
                self.crashes.report(clock, report, bystanders);
                return Outcome::Quarantined(self.crashes.quarantined());
            }
            Command::Order(order) => return Outcome::Ordered(self.assign_fencing(order)),
        }
        Outcome::Done
    }

    fn claims_with_context(&mut self, index: LogIndex) -> (&mut Claims, ApplyContext<'_>) {
        let cx = ApplyContext {
            index,
            clock: self.clock,
            retention: &self.retention,
            faults: &self.faults,
            bills: &mut self.bills,
        };
        (&mut self.claims, cx)
    }

    fn advance_clock(&mut self, index: LogIndex, at: Duration) {
        self.clock = self.clock.max(at);
        let (claims, mut cx) = self.claims_with_context(index);
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

    fn apply_change(&mut self, change: &Change) -> Verdict {
        let before = self.config.revision;
        let old = self.config.fleet.clone();
        let verdict = self.config.decide(change, self.clock);
        if self.config.revision != before {
            self.rollouts
                .update_fleet(&old, &self.config.fleet, self.clock);
        }
        self.config.expire(self.clock, &self.retention);
        verdict
    }

    fn assign_fencing(&mut self, order: &Order) -> Order {
        self.fencing += 1;
        Order {
            fencing: self.fencing,
            ..order.clone()
        }
    }

    /// Recomputes the live state. Its log index stays the same if nothing
    /// changed that entries act on: rating counts change all the time, and each
    /// change would otherwise be sent to every entry.
    fn refresh_live_state(&mut self, index: LogIndex) {
        let held = self.rollouts.held();
        let rollouts = self.rollouts.views(&self.config.fleet);
        let quarantine = self.crashes.quarantined();
        let same = self.live.held == held
            && self.live.quarantine == quarantine
            && self
                .live
                .rollouts
                .iter()
                .map(relevant_fields)
                .eq(rollouts.iter().map(relevant_fields));
        self.live = LiveState {
            at: if same { self.live.at } else { index },
            held,
            rollouts,
            quarantine,
        };
    }
}

/// Returns whether a command may change the live state.
fn affects_live_state(command: &Command) -> bool {
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

/// Returns the fields of a rollout that entries act on.
fn relevant_fields(view: &RolloutView) -> (&VersionId, RolloutState, f64) {
    (&view.version, view.state, view.share)
}
