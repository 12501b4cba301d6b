//! Limits of backend servers as all entries together know them.

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

/// Time in which what entries have heard before the end of a limit has arrived: they
/// report five times a second, and replicas pass it on ten times.
const CROSSES_IN: Duration = Duration::from_millis(500);

/// Time for which the end of a limit is told. An entry that misses it learns of it from
/// the answer to its own next request.
const ENDED_FOR: Duration = Duration::from_secs(5);

/// What a backend server said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitOf {
    /// Which.
    pub server: ServerKey,
    /// Requests a second; none if there is no limit any more.
    pub limit: Option<f64>,
}

/// All that were named, as a control replica knows them.
#[derive(Clone, Debug, Default)]
pub struct NamedLimits {
    of: BTreeMap<ServerKey, Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    limit: Option<f64>,
    /// When it last came, or ended.
    at: MonoTime,
}

impl NamedLimits {
    /// Takes what entries have heard.
    ///
    /// A limit ends only if no entry has heard of it for a while: the report of an answer
    /// without one may overtake that of an earlier answer with one.
    pub fn take(&mut self, now: MonoTime, heard: impl IntoIterator<Item = LimitOf>) {
        for LimitOf { server, limit } in heard {
            let known = self.of.get(&server);
            let ends = known.is_some_and(|k| k.limit.is_some() && now >= k.at + CROSSES_IN);
            if limit.is_some() || ends {
                self.of.insert(server, Named { limit, at: now });
            }
        }
    }

    /// Returns all limits, and those that have ended of late.
    pub fn tell(&mut self, now: MonoTime) -> Vec<LimitOf> {
        let stays = |named: &Named| named.limit.is_some() || now < named.at + ENDED_FOR;
        self.of.retain(|_, named| stays(named));
        let tell = |(&server, named): (&ServerKey, &Named)| LimitOf {
            server,
            limit: named.limit,
        };
        self.of.iter().map(tell).collect()
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(ServerKey) -> bool) {
        self.of.retain(|&server, _| known(server));
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }
}
