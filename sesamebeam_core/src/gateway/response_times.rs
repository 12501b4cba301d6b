//! Recent response times of routes, which tell whether a request ends before its entry does.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use super::config::{
    RouteConfig,
    RouteId, //
};

/// Number of response times kept for each route.
const KEPT_TIMES: usize = 64;

/// Times from the arrival of requests to the end of their answers, by route.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    recent: HashMap<RouteId, VecDeque<Duration>>,
}

impl ResponseTimes {
    /// Records the time that a response has taken.
    pub fn record(&mut self, route: &RouteId, took: Duration) {
        let recent = self.recent.entry(route.clone()).or_default();
        if recent.len() == KEPT_TIMES {
            recent.pop_front();
        }
        recent.push_back(took);
    }

    /// Forgets the routes that a configuration does not have.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteId) -> bool) {
        self.recent.retain(|route, _| is_kept(route));
    }

    /// Returns whether a request ends within a time: by its deadline, or by the longest recent
    /// response to its route if it may be sent again elsewhere otherwise.
    pub fn ends_within(&self, time: Duration, route: &RouteConfig, deadline: Duration) -> bool {
        if deadline <= time || route.runs_at_most_once() {
            return deadline <= time;
        }
        let recent = self.recent.get(&route.name);
        let longest = recent.and_then(|recent| recent.iter().max());
        longest.is_some_and(|longest| *longest <= time)
    }
}
