//! Settings of a replica.

use std::time::Duration;

use super::member::Members;
use crate::ids::NodeId;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Number of this replica.
    pub id: NodeId,
    /// Group it belongs to.
    pub group: u128,
    /// Incarnation of its data folder.
    pub incarnation: u128,
    /// First membership. Used only by a new disk, and only if it names this
    /// replica with this incarnation; empty for a replica that is added later.
    pub members: Members,
    /// Time between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence of a leader after which a replica stands for election;
    /// the longest is twice this. Not under the lease.
    pub election: Duration,
    /// Time for which a follower votes for nobody after it heard a leader.
    pub lease: Duration,
    /// Bound on the rate error of any clock, as a share of true time.
    pub drift: f64,
    /// Most bytes of entries in one message or one write.
    pub max_batch_bytes: usize,
    /// Entries between snapshots.
    pub snapshot_every: u64,
    /// Bytes in a part of a snapshot.
    pub snapshot_chunk: usize,
    /// Whether a replica that has just started stands as soon as its promise is
    /// over, and repeats pre-votes that found no majority: for groups whose callers
    /// cannot be served without a leader.
    pub eager: bool,
    /// Seed of the election time-outs.
    pub seed: u64,
    /// Safeguards switched off, for tests alone.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Safeguards that a test switches off to see what they prevent.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Counts entries that are not synced yet.
    pub count_unsynced: bool,
    /// Votes while a live leader is heard.
    pub vote_during_lease: bool,
    /// Stands for election without asking first.
    pub no_pre_vote: bool,
    /// Counts a replica whose data folder is not the recorded one.
    pub accept_swapped_disk: bool,
    /// Answers reads after the lease has ended.
    pub serve_after_lease: bool,
    /// Does not shorten the lease for clock drift.
    pub no_drift_margin: bool,
    /// Votes right after a restart, though it may have promised not to.
    pub forget_promise: bool,
    /// Makes a learner a voter before it has caught up.
    pub promote_early: bool,
    /// Takes a second change of membership before the first is committed.
    pub overlapping_changes: bool,
    /// Commits entries of earlier terms by counting replicas.
    pub commit_old_terms: bool,
}
