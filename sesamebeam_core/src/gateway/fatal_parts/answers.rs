//! How far the answers on one prompt part have come.

use crate::{
    gateway::request::AnswerProgress,
    ids::MonoTime, //
};

/// Maximum number of answers to remember. Each came further than all later ones.
const MAX_ANSWERS: usize = 8;

/// The latest answers on a part that no later one has outdone.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    /// In order of time, the furthest first.
    answers: Vec<(MonoTime, AnswerProgress)>,
}

impl RecentAnswers {
    /// Records how far an answer had come.
    pub(super) fn record(&mut self, at: MonoTime, progress: AnswerProgress) {
        let is_outdone = |&(t, p): &(MonoTime, AnswerProgress)| t >= at && p >= progress;
        if self.answers.iter().any(is_outdone) {
            return;
        }
        self.answers.retain(|&(t, p)| t > at || p > progress);
        let index = self.answers.partition_point(|&(t, _)| t < at);
        self.answers.insert(index, (at, progress));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.remove(1);
        }
    }

    /// Returns whether any answer came clearly further, after a time, than one with this many
    /// events.
    pub(super) fn any_beyond(&self, after: MonoTime, events: u32) -> bool {
        let is_beyond = |&(t, p): &(MonoTime, AnswerProgress)| t > after && p.is_beyond(events);
        self.answers.iter().any(is_beyond)
    }
}
