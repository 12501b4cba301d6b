//! Which control replica tells an entry of all that changes, and when another one
//! is asked for what that one does not know.
//!
//! The one that tells is of the entry's own failure domain if there is one there:
//! what it tells costs nothing between failure domains, and what happens to the
//! ways between these does not touch it. All others say twice a second what they
//! hold. An entry whose replica is cut off from the group shows so by these, and
//! asks one that holds more.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    config::ConfigVersion,
    messages::StateSummary, //
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

/// Time for which the replica that tells may know no leader before another one
/// that knows one takes over. Longer than an election.
const UNSETTLED_FOR: Duration = Duration::from_millis(1000);

/// Time for which a replica of the own failure domain must have been connected
/// before it tells in place of another. One that has just started has its log and
/// directory to fill, and entries that have just started need any replica first.
const BACK_FOR: Duration = Duration::from_secs(2);

/// Time for which another replica may hold a newer state before it is asked: what
/// the one that tells pushes comes within some milliseconds.
const BEHIND_FOR: Duration = Duration::from_millis(300);

/// Pause between two questions for newer state.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Summaries in a row that show other backend servers before the replica is asked.
/// One is often on its way when news are.
const DIFFERING: u32 = 2;

/// Most such summaries, where asking did not help: two directories may differ for
/// long in what one of them may forget.
const MAX_DIFFERING: u32 = 64;

/// What the entry should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Has this replica tell it.
    Follow(ProcessAddr),
    /// Has this replica tell it no more.
    Unfollow(ProcessAddr),
    /// Asks this replica for what the entry lacks.
    Ask(ProcessAddr),
}

/// What the entry itself holds, in brief.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Number of its configuration.
    pub config: Option<ConfigVersion>,
    /// Position in the log of its roll-outs.
    pub index: LogIndex,
    /// Digest of its backend servers.
    pub servers: u32,
}

/// A replica that is connected.
#[derive(Clone, Debug)]
struct Link {
    /// When it was connected.
    since: MonoTime,
    /// Its failure domain, once it has said.
    domain: Option<DomainId>,
    summary: StateSummary,
    /// Since when it has known no leader.
    unsettled_since: Option<MonoTime>,
    /// Since when it has held newer state.
    ahead_since: Option<MonoTime>,
    /// When it may be asked again.
    ask_at: MonoTime,
    /// Summaries in a row that showed other backend servers.
    differing: u32,
    /// Those from which it is asked.
    ask_from: u32,
}

/// The control replicas as one entry is connected to them.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Name of this entry; spreads entries without a replica nearby.
    name: String,
    domain: DomainId,
    links: BTreeMap<ProcessAddr, Link>,
    teller: Option<ProcessAddr>,
}

impl Subscription {
    /// Starts without any replica.
    pub fn new(name: &str, domain: &DomainId) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.clone(),
            links: BTreeMap::new(),
            teller: None,
        }
    }

    /// Returns the replica that tells this entry.
    pub fn teller(&self) -> Option<ProcessAddr> {
        self.teller
    }

    /// Notes a connection.
    pub fn connected(&mut self, now: MonoTime, addr: ProcessAddr) {
        let link = Link {
            since: now,
            domain: None,
            summary: StateSummary::default(),
            unsettled_since: Some(now),
            ahead_since: None,
            ask_at: MonoTime::ZERO,
            differing: 0,
            ask_from: DIFFERING,
        };
        self.links.insert(addr, link);
    }

    /// Notes the end of a connection.
    pub fn lost(&mut self, addr: ProcessAddr) {
        self.links.remove(&addr);
        self.teller.take_if(|teller| *teller == addr);
    }

    /// Notes the failure domain of a replica.
    pub fn met(&mut self, addr: ProcessAddr, domain: DomainId) {
        if let Some(link) = self.links.get_mut(&addr) {
            link.domain = Some(domain);
        }
    }

    /// Takes what a replica says to hold, beside what this entry holds.
    pub fn told(&mut self, now: MonoTime, addr: ProcessAddr, summary: StateSummary, own: &Holding) {
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

    /// Decides what is due.
    pub fn look(&mut self, now: MonoTime, own: &Holding) -> Vec<Order> {
        let mut orders = self.choose(now);
        for (&addr, link) in &mut self.links {
            if link.should_ask(now, own) {
                orders.push(Order::Ask(addr));
            }
        }
        orders
    }

    /// Chooses who tells this entry.
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

    /// Returns the replica that would be best.
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
    /// Returns whether it has known no leader for long.
    fn is_unsettled(&self, now: MonoTime) -> bool {
        let since = self.unsettled_since;
        since.is_some_and(|since| now.saturating_sub(since) >= UNSETTLED_FOR)
    }

    /// Returns whether it should be asked, which counts as done then.
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
