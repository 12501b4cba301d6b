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
const CROSSES_IN: Duration = Duration::from_millis(500);

/// Time for which the end of a limit is published. An entry that misses it learns of the
/// end from its next answer.
const ENDED_FOR: Duration = Duration::from_secs(5);

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
pub struct NamedLimits {
    of: BTreeMap<ServerKey, Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    limit: Option<f64>,
    /// When the limit was last reported, or ended.
    at: MonoTime,
}

impl NamedLimits {
    /// Applies reports of entries.
    ///
    /// A limit ends only if no entry has reported it for a while, as the report of an
    /// answer without a limit may arrive before that of an earlier answer with one.
    pub fn take(&mut self, now: MonoTime, heard: impl IntoIterator<Item = LimitOf>) {
        for LimitOf { server, limit } in heard {
            let known = self.of.get(&server);
            let ends = known.is_some_and(|k| k.limit.is_some() && now >= k.at + CROSSES_IN);
            if limit.is_some() || ends {
                self.of.insert(server, Named { limit, at: now });
            }
        }
    }

    /// Returns all limits, including recently ended ones.
    pub fn tell(&mut self, now: MonoTime) -> Vec<LimitOf> {
        let stays = |named: &Named| named.limit.is_some() || now < named.at + ENDED_FOR;
        self.of.retain(|_, named| stays(named));
        let tell = |(&server, named): (&ServerKey, &Named)| LimitOf {
            server,
            limit: named.limit,
        };
        self.of.iter().map(tell).collect()
    }

    /// Removes backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(ServerKey) -> bool) {
        self.of.retain(|&server, _| known(server));
    }

    /// Returns whether no limits are known.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }
}
