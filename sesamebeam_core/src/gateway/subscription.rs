//! Selection of the control replica that an entry follows, and of the replicas that it
//! asks to resynchronise.
//!
//! An entry prefers a replica in its own failure domain: updates from there cause no
//! traffic between failure domains and don't depend on the network between them. All
//! other connected replicas send a summary of their state twice a second. If the followed
//! replica is cut off from the control group, these summaries show that the entry lags
//! behind, and the entry requests the missing state from a replica that is ahead.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    config::ConfigVersion,
    feed::Summary, //
};
use crate::{
    ids::{
        DomainId,
        LogIndex,
        MonoTime,
        ProcessAddr, //
    },
    policy::hash,
};

/// How long the followed replica may know no leader before the entry switches to a
/// replica that knows one. Longer than an election.
const UNSETTLED_FOR: Duration = Duration::from_millis(1000);

/// How long a replica in the entry's own failure domain must have been connected before
/// the entry switches back to it. A replica that has just started still has to rebuild
/// its log and directory. An entry without a followed replica takes any replica at once.
const BACK_FOR: Duration = Duration::from_secs(2);

/// How long another replica may be ahead of the entry before it is asked for its state.
/// Pushes from the followed replica arrive within a few milliseconds.
const BEHIND_FOR: Duration = Duration::from_millis(300);

/// Minimum interval between two resync requests to one replica.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Number of consecutive summaries with a different server digest before the replica is
/// asked for its state. A single mismatch is usually an update that is still in flight.
const DIFFERING: u32 = 2;

/// Upper limit of that number. It doubles after each request that does not resolve the
/// mismatch, because two directories can differ for a long time in records that one of
/// them has expired.
const MAX_DIFFERING: u32 = 64;

/// An action that the entry has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Follow this replica, which then pushes updates.
    Follow(ProcessAddr),
    /// Stop following this replica.
    Unfollow(ProcessAddr),
    /// Request the state that the entry lacks from this replica.
    Ask(ProcessAddr),
}

/// Summary of the entry's own state, for comparison with those of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Log index of its operator orders.
    pub index: LogIndex,
    /// Digest of its server directory.
    pub servers: u32,
}

/// A connected replica.
#[derive(Clone, Debug)]
struct Link {
    /// Time of the connection.
    since: MonoTime,
    /// Failure domain of the replica, once known.
    domain: Option<DomainId>,
    summary: Summary,
    /// Start of the period in which the replica has known no leader.
    unsettled_since: Option<MonoTime>,
    /// Start of the period in which the replica has been ahead of the entry.
    ahead_since: Option<MonoTime>,
    /// Earliest time of the next resync request.
    ask_at: MonoTime,
    /// Consecutive summaries with a different server digest.
    differing: u32,
    /// Value of `mismatches` from which the replica is asked.
    ask_from: u32,
}

/// The control replicas to which an entry is connected.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Name of this entry. It spreads the entries without a local replica over the
    /// others.
    name: String,
    domain: DomainId,
    links: BTreeMap<ProcessAddr, Link>,
    teller: Option<ProcessAddr>,
}

impl Subscription {
    /// Creates a subscription without any connected replica.
    pub fn new(name: &str, domain: &DomainId) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.clone(),
            links: BTreeMap::new(),
            teller: None,
        }
    }

    /// Returns the replica that this entry follows.
    pub fn teller(&self) -> Option<ProcessAddr> {
        self.teller
    }

    /// Records a new connection.
    pub fn connected(&mut self, now: MonoTime, addr: ProcessAddr) {
        let link = Link {
            since: now,
            domain: None,
            summary: Summary::default(),
            unsettled_since: Some(now),
            ahead_since: None,
            ask_at: MonoTime::ZERO,
            differing: 0,
            ask_from: DIFFERING,
        };
        self.links.insert(addr, link);
    }

    /// Records that a connection was closed.
    pub fn lost(&mut self, addr: ProcessAddr) {
        self.links.remove(&addr);
        self.teller.take_if(|teller| *teller == addr);
    }

    /// Records the failure domain of a replica.
    pub fn met(&mut self, addr: ProcessAddr, domain: DomainId) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.domain = Some(domain);
        }
    }

    /// Records the summary that a replica has sent, and compares it with the entry's own.
    pub fn told(&mut self, now: MonoTime, addr: ProcessAddr, summary: Summary, own: &Holding) {
        let Some(link) = self.links.get_mut(&addr) else {
            return;
        };
        link.summary = summary;
        if summary.settled {
            link.unsettled_since = None;
        } else {
            link.unsettled_since.get_or_insert(now);
        }
        if summary.servers == own.servers {
            link.differing = 0;
            link.ask_from = DIFFERING;
        } else {
            link.differing += 1;
        }
    }

    /// Returns the actions that are due.
    pub fn look(&mut self, now: MonoTime, own: &Holding) -> Vec<Order> {
        let mut orders = self.choose(now);
        for (&addr, link) in &mut self.links {
            if link.should_ask(now, own) {
                orders.push(Order::Ask(addr));
            }
        }
        orders
    }

    /// Chooses the replica to follow and returns the actions for a change.
    fn choose(&mut self, now: MonoTime) -> Vec<Order> {
        let Some(best) = self.best(now) else {
            return Vec::new();
        };
        let held = self.teller.and_then(|t| Some((t, self.links.get(&t)?)));
        let Some((teller, link)) = held else {
            self.teller = Some(best);
            return vec![Order::Follow(best)];
        };
        let lags = link.is_unsettled(now);
        let best_link = &self.links[&best];
        let returns = !self.is_near(link)
            && self.is_near(best_link)
            && now.saturating_sub(best_link.since) >= BACK_FOR;
        let better = best_link.summary.settled && (lags || returns);
        if best == teller || !better {
            return Vec::new();
        }
        self.teller = Some(best);
        vec![Order::Unfollow(teller), Order::Follow(best)]
    }

    /// Returns the best replica to follow.
    fn best(&self, now: MonoTime) -> Option<ProcessAddr> {
        let rank = |(addr, link): &(&ProcessAddr, &Link)| {
            let weight = hash::rendezvous(&self.name, addr.to_string().as_bytes());
            (!link.is_unsettled(now), self.is_near(link), weight)
        };
        let best = self.links.iter().max_by_key(rank);
        best.map(|(&addr, _)| addr)
    }

    fn is_near(&self, link: &Link) -> bool {
        link.domain.as_ref() == Some(&self.domain)
    }
}

impl Link {
    /// Returns whether the replica has known no leader for too long.
    fn is_unsettled(&self, now: MonoTime) -> bool {
        let since = self.unsettled_since;
        since.is_some_and(|since| now.saturating_sub(since) >= UNSETTLED_FOR)
    }

    /// Returns whether the replica should be asked to resynchronise, and schedules the
    /// next request if so.
    fn should_ask(&mut self, now: MonoTime, own: &Holding) -> bool {
        let summary = &self.summary;
        let is_ahead = summary.config > own.config || summary.index > own.index;
        let ahead_since = match is_ahead {
            true => *self.ahead_since.get_or_insert(now),
            false => {
                self.ahead_since = None;
                now
            }
        };
        let is_behind = now.saturating_sub(ahead_since) >= BEHIND_FOR;
        let differs = self.differing >= self.ask_from;
        if now < self.ask_at || !is_behind && !differs {
            return false;
        }
        self.ask_at = now + ASK_EVERY;
        if differs {
            self.differing = 0;
            self.ask_from = (self.ask_from * 2).min(MAX_DIFFERING);
        }
        true
    }
}
