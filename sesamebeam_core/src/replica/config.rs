//! Configuration of a replica.

use std::time::Duration;

use super::member::Members;
use crate::ids::NodeId;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// ID of this replica.
    pub id: NodeId,
    /// ID of the group.
    pub group: u128,
    /// Incarnation of the replica's data folder.
    pub incarnation: u128,
    /// Initial membership. Used only with a new disk, and only if it contains this
    /// replica with this incarnation; empty for a replica that is added later.
    pub members: Members,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader after which a replica starts an
    /// election; the maximum is twice this. Not less than `lease`.
    pub election_timeout: Duration,
    /// Time for which a follower grants no vote after a message from the leader.
    pub lease: Duration,
    /// Bound on the rate error of any clock, as a fraction of true time.
    pub clock_drift: f64,
    /// Maximum size of the entries in one message or one write, in bytes.
    pub max_batch_bytes: usize,
    /// Maximum number of entries between snapshots.
    pub snapshot_every: u64,
    /// Maximum size of the entries between snapshots, in bytes. Disk and memory must hold
    /// some multiple of it.
    pub snapshot_every_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub snapshot_chunk: usize,
    /// Whether a replica starts its first election as soon as it may vote after a
    /// start, and soon repeats pre-votes that found no majority. For groups whose
    /// callers cannot be served without a leader.
    pub fast_elections: bool,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Disabled safeguards, for tests only.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Safeguards that a test disables to show which failure they prevent.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Counts unsynced entries as synced.
    pub count_unsynced: bool,
    /// Votes while in contact with a live leader.
    pub vote_during_lease: bool,
    /// Starts elections without pre-votes.
    pub no_pre_vote: bool,
    /// Accepts messages from a replica whose data folder is not the recorded one.
    pub accept_swapped_disk: bool,
    /// Serves reads after the lease has expired.
    pub serve_after_lease: bool,
    /// Does not shorten the lease for clock drift.
    pub no_drift_margin: bool,
    /// Votes right after a restart, although a leader may still hold a lease.
    pub no_vote_block: bool,
    /// Promotes a learner before it has caught up.
    pub promote_early: bool,
    /// Accepts a second membership change before the first is committed.
    pub overlapping_changes: bool,
    /// Commits entries of earlier terms by counting replicas.
    pub commit_old_terms: bool,
}
