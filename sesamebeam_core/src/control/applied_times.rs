//! Times at which log entries were applied, by this replica's own clock.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    ids::{
        LogIndex,
        MonoTime, //
    },
    state::{
        ClaimGrant,
        MAX_DISPATCH_WINDOW, //
    },
};

/// Resolution of the recorded times. A time is rounded up to the next recorded
/// one.
const RESOLUTION: Duration = Duration::from_millis(50);

/// Times at which this replica applied positions of the log.
///
/// The dispatch window of a claimant starts before it requests the claim, and
/// therefore before any replica applies the claim. The time at which a replica
/// applied it is thus never too early as the start of the window, even if the
/// replica applies the log again after a restart or restores a snapshot. A new
/// leader does not have to wait for windows that it has itself seen expire.
///
/// INVARIANT: positions and times increase from front to back.
#[derive(Clone, Debug, Default)]
pub(super) struct AppliedTimes {
    batches: VecDeque<AppliedBatch>,
}

/// Positions that were applied within [`RESOLUTION`].
#[derive(Clone, Copy, Debug)]
struct AppliedBatch {
    last_index: LogIndex,
    first_at: MonoTime,
    last_at: MonoTime,
}

impl AppliedTimes {
    /// Records that a position was applied.
    pub(super) fn record(&mut self, index: LogIndex, now: MonoTime) {
        let retention = MAX_DISPATCH_WINDOW * 4;
        while let Some(batch) = self.batches.front()
            && self.batches.len() > 1
            && batch.last_at + retention < now
        {
            self.batches.pop_front();
        }
        match self.batches.back_mut() {
            Some(batch) if now < batch.first_at + RESOLUTION => {
                batch.last_index = index;
                batch.last_at = now;
            }
            _ => self.batches.push_back(AppliedBatch {
                last_index: index,
                first_at: now,
                last_at: now,
            }),
        }
    }

    /// Returns whether a dispatch window and the network bound after it are over.
    pub(super) fn is_window_over(
        &self,
        grant: &ClaimGrant,
        network_bound: Duration,
        now: MonoTime,
    ) -> bool {
        let pos = self
            .batches
            .partition_point(|batch| batch.last_index < grant.granted_at);
        let batch = self.batches.get(pos);
        batch.is_some_and(|batch| now >= batch.last_at + grant.window + network_bound)
    }
}
