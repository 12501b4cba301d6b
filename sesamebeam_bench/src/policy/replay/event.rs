//! What happens in a replay, as its heap keeps it.

use crate::policy::world::AttemptId;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive,
    Finish(AttemptId, u32),
    Fail(AttemptId),
    Rate(usize),
    Announce(usize),
    Tick,
    Background,
    Deadline(usize),
    Hedge(usize),
    Resume(AttemptId),
    Killer(u32),
    Die(usize),
    Restart(usize),
    Leave(usize),
    FaultStart,
    FaultEnd,
}
