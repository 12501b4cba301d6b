//! Sends of one request, and the retries that it owes for them.
//!
//! A retry is a send that is read after another one of the same request was. Which one that
//! is only shows as they are read: if the first send is held up, the second is read before
//! it, and the first is the retry. The first send that can't be read any more is therefore
//! free, whichever it is, and each later one settles a retry.

/// Sends of one request.
#[derive(Debug)]
pub struct RequestSends {
    /// Whether the next send is paid for. The first one is free.
    is_paid: bool,
    /// Sends that may still be read.
    unsettled: u32,
    /// Retries that were charged and not settled.
    outstanding: u32,
    /// Whether a send was settled.
    has_settled: bool,
}

impl Default for RequestSends {
    fn default() -> Self {
        Self {
            is_paid: true,
            unsettled: 0,
            outstanding: 0,
            has_settled: false,
        }
    }
}

impl RequestSends {
    /// Returns whether the next send was charged to the retry budget, or is free.
    pub fn is_paid(&self) -> bool {
        self.is_paid
    }

    /// Records that the next send was charged to the retry budget.
    pub fn record_charge(&mut self) {
        self.is_paid = true;
        self.outstanding += 1;
    }

    /// Records that a send begins.
    pub fn begin(&mut self) {
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
        let is_first = !std::mem::replace(&mut self.has_settled, true);
        if is_first || self.outstanding == 0 {
            return false;
        }
        self.outstanding -= 1;
        true
    }

    /// Returns the number of retries that were charged and never sent, once no other send
    /// follows, and forgets them.
    pub fn take_unsent(&mut self) -> u32 {
        let needed = match (self.has_settled, self.unsettled) {
            (true, unsettled) => unsettled,
            (false, unsettled) => unsettled.saturating_sub(1),
        };
        let unsent = self.outstanding.saturating_sub(needed);
        self.outstanding -= unsent;
        unsent
    }
}
