//! Number of requests in flight at a backend server that crashes if it has to reject too
//! many.
//!
//! A request is never rejected while fewer are in flight than the backend server has slots,
//! however few it lets wait. The window is the number of slots, and less where what the
//! backend server states or rejects shows that it runs fewer at the moment.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Time over which a backend server counts the requests that it rejects.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);

/// Window of one backend server, kept by the only process that sends to it.
#[derive(Clone, Debug, Default)]
pub struct SlotWindow {
    /// Requests that it runs at a time, if fewer than its slots; learned from its answers.
    reduced: Option<u32>,
    /// Recent rejections, oldest first.
    rejections: VecDeque<MonoTime>,
}

impl SlotWindow {
    /// Records a stated load. Waiting requests show that no more are run now, as when an
    /// engine has no memory left for them.
    pub fn record_load(&mut self, running: u32, waiting: u32, slots: u32) {
        self.reduced = match self.reduced {
            _ if waiting > 0 && running < slots => Some(running.max(1)),
            Some(reduced) if reduced + 1 < slots => Some(reduced + 1),
            _ => None,
        };
    }

    /// Records a rejection for lack of capacity, and how many other requests are in flight.
    pub fn record_rejection(&mut self, now: MonoTime, in_flight: u32) {
        self.remove_expired(now);
        self.rejections.push_back(now);
        self.reduced = Some(in_flight.max(1));
    }

    /// Records a complete answer, which shows that capacity is there.
    pub fn record_answer(&mut self, now: MonoTime, slots: u32) {
        self.remove_expired(now);
        if self.rejections.is_empty() {
            let grown = self.reduced.map(|reduced| reduced + 1);
            self.reduced = grown.filter(|grown| *grown < slots);
        }
    }

    /// Returns the number of requests that may be in flight now, given the number of slots
    /// and of rejections a second that the backend server survives.
    pub fn size(&self, now: MonoTime, slots: u32, max_rejections: u32) -> u32 {
        let is_recent = |at: &&MonoTime| now < **at + REJECTION_PERIOD;
        let recent = self.rejections.iter().filter(is_recent).count() as u32;
        match recent > 0 && recent >= max_rejections {
            true => 0,
            false => self.reduced.map_or(slots, |reduced| reduced.min(slots)),
        }
    }

    fn remove_expired(&mut self, now: MonoTime) {
        let is_expired = |at: &MonoTime| *at + REJECTION_PERIOD <= now;
        while self.rejections.front().is_some_and(is_expired) {
            self.rejections.pop_front();
        }
    }
}
