//! Sends of one request, and the retries that it owes for them.
//!
//! A retry is a send that is read after another one of the same request was. Which one that
//! is only shows as they are read: if the first send is held up, the second is read before
//! it, and the first is the retry. The first send that can't be read any more is therefore
//! free, whichever it is, and each later one settles a retry.
//!
//! Several entries may send one request, and none sees what the others send. Only one of them
//! has the free send, and each charges all other sends that it makes to its own budget. The
//! free send goes to another entry with a request that was never sent, and comes back if that
//! entry declines and has sent nothing either. The request itself counts at one entry likewise.

use std::time::Duration;

/// Where a request counts for the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counted {
    Here,
    /// Here, as soon as it is sent or a retry is charged.
    OnceSent,
    Elsewhere,
}

/// Sends of one request by one entry.
#[derive(Debug)]
pub struct RequestSends {
    counted: Counted,
    /// Whether the first send that settles is free.
    has_free: bool,
    /// Whether the next send is paid for.
    is_paid: bool,
    /// Sends that may still be read.
    unsettled: u32,
    /// Retries that were charged and not settled.
    outstanding: u32,
}

/// What an entry hands to the one that it forwards a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Number of earlier sends, by all entries.
    pub sends: u32,
    /// Whether the first send is free there.
    pub has_free: bool,
    /// Time since the request was read, if it counts there as soon as it is sent.
    pub counted_age: Option<Duration>,
}

/// What an entry says of a request that it has declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// Number of sends, by all entries.
    pub sends: u32,
    /// Whether the request counts there.
    pub is_counted: bool,
}

impl Default for RequestSends {
    fn default() -> Self {
        Self::new(Counted::Here, true)
    }
}

impl RequestSends {
    fn new(counted: Counted, has_free: bool) -> Self {
        Self {
            counted,
            has_free,
            is_paid: has_free,
            unsettled: 0,
            outstanding: 0,
        }
    }

    /// Creates the sends of a request that another entry has handed over.
    pub fn handed_over(handover: &Handover) -> Self {
        let counted = match handover.counted_age {
            Some(_) => Counted::OnceSent,
            None => Counted::Elsewhere,
        };
        Self::new(counted, handover.has_free)
    }

    /// Returns whether the request counts here.
    pub fn is_counted(&self) -> bool {
        self.counted == Counted::Here
    }

    /// Records that the request is sent. Returns whether it counts here from now on.
    pub fn begin_counting(&mut self) -> bool {
        let begins = self.counted == Counted::OnceSent;
        if begins {
            self.counted = Counted::Here;
        }
        begins
    }

    /// Returns whether the next send was charged to the retry budget, or is free.
    pub fn is_paid(&self) -> bool {
        self.is_paid
    }

    /// Records that the next send was charged to the retry budget.
    pub fn record_charge(&mut self) {
        self.is_paid = true;
        self.outstanding += 1;
    }

    /// Records that a send begins, which is paid for.
    pub fn begin(&mut self) {
        debug_assert!(self.is_paid, "a send is charged before it begins");
        self.is_paid = false;
        self.unsettled += 1;
    }

    /// Records that a send that had begun was not made: it is left for the next one.
    pub fn withdraw(&mut self) {
        self.is_paid = true;
        self.unsettled = self.unsettled.saturating_sub(1);
    }

    /// Records that a send can't be read any more. Returns whether that settles a retry.
    pub fn settle(&mut self) -> bool {
        self.unsettled = self.unsettled.saturating_sub(1);
        let is_free = std::mem::take(&mut self.has_free);
        if is_free || self.outstanding == 0 {
            return false;
        }
        self.outstanding -= 1;
        true
    }

    /// Returns the number of retries that were charged and never sent, if no send follows them,
    /// and forgets them.
    pub fn take_unsent(&mut self) -> u32 {
        let needed = self.unsettled.saturating_sub(u32::from(self.has_free));
        let unsent = self.outstanding.saturating_sub(needed);
        self.outstanding -= unsent;
        self.is_paid = self.has_free && self.unsettled == 0;
        unsent
    }

    /// Returns whether a send may be read after one of another entry, so that none is free: it
    /// has to be charged before the request is handed over.
    pub fn has_unread_free(&self) -> bool {
        self.has_free && self.unsettled > 0
    }

    /// Records that a send which was free is charged to the retry budget. Returns `false` if none
    /// is free any more.
    pub fn charge_free(&mut self) -> bool {
        let is_charged = std::mem::take(&mut self.has_free);
        self.outstanding += u32::from(is_charged);
        is_charged
    }

    /// Hands the request over to another entry after a number of sends, with the free send if
    /// there is one. It counts there if an age is given, and no longer here.
    pub fn hand_over(&mut self, sends: u32, counted_age: Option<Duration>) -> Handover {
        if counted_age.is_some() {
            self.counted = Counted::Elsewhere;
        }
        self.is_paid = false;
        Handover {
            sends,
            has_free: std::mem::take(&mut self.has_free),
            counted_age,
        }
    }

    /// Takes a request back that another entry has declined. Returns whether it counts here again.
    pub fn take_back(&mut self, handover: &Handover, declined: &Declined) -> bool {
        if handover.has_free && declined.sends <= handover.sends {
            self.has_free = true;
            self.is_paid = true;
        }
        let counts_again = handover.counted_age.is_some() && !declined.is_counted;
        if counts_again {
            self.counted = Counted::Here;
        }
        counts_again
    }
}

impl Declined {
    /// Creates what an entry says that was not reached.
    pub fn unreached(handover: &Handover) -> Self {
        Self {
            sends: handover.sends,
            is_counted: false,
        }
    }
}
