//! When claims were opened, by this replica's own clock.

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

/// Grain of the kept times. A time is rounded up to the next one kept.
const GRAIN: Duration = Duration::from_millis(50);

/// Times at which this replica applied positions of the log.
///
/// A claimant counts its dispatch window from before it asked for the claim, so
/// from before any replica applied it. Each replica's own time of applying is
/// therefore a start that is never too early, also on a replica that applies the
/// log anew after a restart or from a snapshot, and a new leader needs to wait
/// for no window that it has itself seen run out.
///
/// INVARIANT: positions and times grow from front to back.
#[derive(Clone, Debug, Default)]
pub(super) struct Windows {
    marks: VecDeque<Mark>,
}

/// Positions that were applied within one grain.
#[derive(Clone, Copy, Debug)]
struct Mark {
    last: LogIndex,
    begins: MonoTime,
    ends: MonoTime,
}

impl Windows {
    /// Notes that a position was applied.
    pub(super) fn note(&mut self, index: LogIndex, now: MonoTime) {
        let kept = MAX_DISPATCH_WINDOW * 4;
        while let Some(mark) = self.marks.front()
            && self.marks.len() > 1
            && mark.ends + kept < now
        {
            self.marks.pop_front();
        }
        match self.marks.back_mut() {
            Some(mark) if now < mark.begins + GRAIN => {
                mark.last = index;
                mark.ends = now;
            }
            _ => self.marks.push_back(Mark {
                last: index,
                begins: now,
                ends: now,
            }),
        }
    }

    /// Tells whether a dispatch window and `after` it are over.
    pub(super) fn over(&self, opening: &ClaimGrant, after: Duration, now: MonoTime) -> bool {
        let at = self
            .marks
            .partition_point(|mark| mark.last < opening.granted_at);
        let mark = self.marks.get(at);
        mark.is_some_and(|mark| now >= mark.ends + opening.window + after)
    }
}
