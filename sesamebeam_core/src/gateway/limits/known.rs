//! Rate limits of backend servers as reported by all entries.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    gateway::loads::ServerKey,
    ids::MonoTime, //
};

/// Time after which reports about a limit that has ended no longer arrive: entries report
/// five times a second, and replicas forward ten times a second.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time for which the end of a limit is published. An entry that misses it learns of the
/// end from its next answer.
const ENDED_RETENTION: Duration = Duration::from_secs(5);

/// Limit stated by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitOf {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Requests per second; none if the limit ended.
    pub limit: Option<f64>,
}

/// Limits known to a control replica.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    limits: BTreeMap<ServerKey, KnownLimit>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: Option<f64>,
    /// When the limit was last reported, or ended.
    at: MonoTime,
}

impl KnownLimits {
    /// Applies reports of entries.
    ///
    /// A limit ends only if no entry has reported it for a while, as the report of an
    /// answer without a limit may arrive before that of an earlier answer with one.
    pub fn apply(&mut self, now: MonoTime, reports: impl IntoIterator<Item = LimitOf>) {
        for LimitOf { server, limit } in reports {
            let known = self.limits.get(&server);
            let ends = known.is_some_and(|k| k.limit.is_some() && now >= k.at + REPORT_DELAY);
            if limit.is_some() || ends {
                self.limits.insert(server, KnownLimit { limit, at: now });
            }
        }
    }

    /// Returns all limits, including recently ended ones.
    pub fn current(&mut self, now: MonoTime) -> Vec<LimitOf> {
        let is_retained =
            |known: &KnownLimit| known.limit.is_some() || now < known.at + ENDED_RETENTION;
        self.limits.retain(|_, known| is_retained(known));
        let to_limit = |(&server, known): (&ServerKey, &KnownLimit)| LimitOf {
            server,
            limit: known.limit,
        };
        self.limits.iter().map(to_limit).collect()
    }

    /// Removes backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(ServerKey) -> bool) {
        self.limits.retain(|&server, _| known(server));
    }

    /// Returns whether no limits are known.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
