//! Telling entries of what changes, and passing their reports on.
//!
//! What comes together is told together. Told one by one, 168 backend servers that
//! announce themselves anew are 49,560 messages from a replica to 295 entries.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Action,
    Coordinator,
    EntryLife,
    Note,
    Receivers, //
};
use crate::{
    gateway::{
        digests::{
            Parts,
            Section, //
        },
        directory::{
            Announcement,
            ServerId,
            ServerState, //
        },
        entries::Counted,
        feed::{
            Between,
            Crash,
            Held,
            Kept,
            Report,
            Summary,
            ToEntry,
            Unreached, //
        },
        limits::LimitOf,
        shortage::ShareOf,
    },
    ids::{
        LogIndex,
        MonoTime,
        NodeId, //
    },
    replica::Replica,
};

/// Least pause between two times that backend servers are told of, and that
/// entries are answered which lack something. A leaving backend server stays for
/// two seconds at least.
const PACK_EVERY: Duration = Duration::from_millis(50);

/// Pause between two times that backend servers are kept on the disk. What leaves
/// is told to entries within a tenth of that.
const KEEP_EVERY: Duration = Duration::from_millis(500);

/// Pause before another process is asked for what this replica lacks: an answer takes
/// a few round trips.
pub(super) const WANT_EVERY: Duration = Duration::from_millis(300);

/// Most announcements in one message to entries: some 8 KB packed. Each connection keeps a
/// buffer as large as its largest message, and a message that takes a second to leave, on
/// a narrow link that requests use too, ends its connection.
pub const MOST_IN_MESSAGE: usize = 256;

/// Most backend servers of a part that are told without asking first which of its sections
/// differ: as many bytes as the digests of these.
const TOLD_WHOLE: usize = 8;

/// What entries are to be told, and have said.
#[derive(Debug, Default)]
pub(super) struct Telling {
    /// Entries that are connected.
    entries: BTreeSet<EntryLife>,
    /// How many there are, as far as that is known.
    counted: Counted,
    /// Entries that are told of all that changes from here.
    followers: BTreeSet<EntryLife>,
    /// Entries that wait for what they lack, with what they hold.
    lacking: BTreeMap<EntryLife, Held>,
    /// Backend servers that followers are to be told of.
    fresh: BTreeMap<ServerId, Announcement>,
    /// When entries were last told.
    packed_at: MonoTime,
    /// When others may be asked again for each part of the directory.
    want_at: BTreeMap<usize, MonoTime>,
    /// When this replica compares its backend servers with another again, which was not
    /// asked as others were.
    pub(super) compare_at: BTreeMap<NodeId, MonoTime>,
    /// Reports that the other replicas are to have.
    report: Report,
    /// Backend servers that followers could not reach, which the others should know
    /// of. Most follow the replica of their own failure domain.
    unreached: BTreeSet<Unreached>,
    /// What entries are to be told of the replicated state, and whether the
    /// configuration is part of it.
    news: Option<bool>,
    /// Position in the log of the newest change.
    changed_at: LogIndex,
    /// Whether entries were told that the state is current.
    told_current: bool,
    /// What this replica holds, as it was last said.
    summary: Summary,
    /// Shares that entries were last told.
    shares: Vec<ShareOf>,
    /// Limits that entries were last told.
    limits: Vec<LimitOf>,
    /// Digest of the backend servers that were last kept, and when.
    kept: (u32, MonoTime),
}

impl Telling {
    /// Returns whether something waits for the next time that entries are told.
    fn waits(&self) -> bool {
        !self.lacking.is_empty() || !self.fresh.is_empty()
    }

    /// Returns when that is, if anything waits.
    pub(super) fn next_wake(&self) -> Option<MonoTime> {
        self.waits().then_some(self.packed_at + PACK_EVERY)
    }

    /// Forgets that entries were told that the state is current.
    pub(super) fn restart(&mut self) {
        self.told_current = false;
    }

    fn followers(&self) -> Receivers {
        Receivers::These(self.followers.iter().copied().collect())
    }
}

impl Coordinator {
    /// Takes an entry that has connected.
    pub(super) fn subscribe(&mut self, life: EntryLife) {
        self.telling.entries.insert(life);
        let entries = self.telling.entries.len() as u32;
        self.telling.counted.connected(self.now, entries);
        let fleet = self.fleet();
        self.push(Receivers::These(vec![life]), fleet);
    }

    /// Forgets an entry whose connection has ended.
    pub(super) fn unsubscribe(&mut self, life: EntryLife) {
        self.telling.entries.remove(&life);
        self.telling.lacking.remove(&life);
        self.unfollow(life);
    }

    /// Tells an entry, which holds something already, from now on.
    ///
    /// It may know of more entries than a replica that has started behind a cut, by whose
    /// count those that start there would take more than their part of what all share.
    pub(super) fn follow(&mut self, life: EntryLife, held: Held) {
        self.telling.followers.insert(life);
        self.telling.counted.confirmed(held.entries);
        self.lacks(life, held);
        let this = Receivers::These(vec![life]);
        let quarantined = self.crashes.quarantined();
        if !quarantined.is_empty() {
            self.push(this.clone(), ToEntry::Quarantined(quarantined));
        }
        let doubts = self.pool.doubts().to_vec();
        self.push(this.clone(), ToEntry::Doubts(doubts));
        if !self.limits.is_empty() {
            let limits = self.limits.current(self.now);
            self.push(this.clone(), ToEntry::Limits(limits));
        }
        for (kept, all) in self.trials.kept(self.now) {
            self.push(this.clone(), ToEntry::Kept(kept, all));
        }
    }

    /// Tells an entry no more.
    pub(super) fn unfollow(&mut self, life: EntryLife) {
        self.telling.followers.remove(&life);
    }

    /// Notes that an entry lacks something of what is known here.
    pub(super) fn lacks(&mut self, life: EntryLife, held: Held) {
        self.telling.lacking.insert(life, held);
    }

    /// Takes what an entry of this replica has seen.
    pub(super) fn reported(&mut self, report: Report) {
        let mut report = report;
        self.take_report(&report);
        let unreached = std::mem::take(&mut report.unreached);
        self.telling.unreached.extend(unreached);
        self.telling.report.add(report);
    }

    /// Takes what entries have seen.
    pub(super) fn take_report(&mut self, report: &Report) {
        self.trials.have_run(self.now, &self.store, &report.ages);
        self.trials.take(self.now, &self.store, &report.evidence);
        self.loads.merge(self.now, report.loads.iter().copied());
        self.limits.apply(self.now, report.limits.iter().copied());
        self.pool.record(report.outcomes.iter().copied());
        self.waits.add(self.now, report.waits.iter().copied());
        self.shortages.record(self.now, report.work.iter().copied());
        self.count_crashes(&report.crashes);
        for kept in &report.kept {
            self.keep_sessions(kept);
        }
    }

    /// Notes backend servers that followers are to be told of.
    pub(super) fn tell_servers_soon(&mut self, servers: impl IntoIterator<Item = Announcement>) {
        let fresh = &mut self.telling.fresh;
        fresh.extend(servers.into_iter().map(|said| (said.id.clone(), said)));
    }

    /// Notes that the replicated state has changed.
    pub(super) fn note_news(&mut self, index: LogIndex, with_config: bool) {
        let news = &mut self.telling.news;
        *news = Some(with_config || news.unwrap_or_default());
        self.telling.changed_at = index;
    }

    /// Tells entries what an event has changed.
    pub(super) fn tell(&mut self) {
        self.tell_state();
        if self.telling.waits() && self.now >= self.telling.packed_at + PACK_EVERY {
            self.telling.packed_at = self.now;
            self.tell_lacking();
            self.tell_fresh();
        }
    }

    /// Tells what is due at every look.
    pub(super) fn tell_due(&mut self) {
        self.compare_due();
        if self.telling.counted.has_news(self.now) {
            let fleet = self.fleet();
            self.push(self.telling.followers(), fleet);
        }
        let report = self.telling.report.take();
        if !report.is_empty() {
            self.tell_peers(&Between::Report(Box::new(report)));
        }
        let unreached = std::mem::take(&mut self.telling.unreached);
        if !unreached.is_empty() {
            let unreached = ToEntry::Unreached(unreached.into_iter().collect());
            self.push(self.telling.followers(), unreached);
        }
        if let Some(loads) = self.loads.take_due(self.now, self.directory.count()) {
            let waits = self.waits.means(self.now);
            let shares = self.shortages.shares(self.now);
            self.note_shares(&shares);
            let loads = ToEntry::Loads {
                loads,
                waits,
                shares,
            };
            self.push(self.telling.followers(), loads);
        }
        if self.pool.evaluate(self.now, &self.directory) {
            let doubts = self.pool.doubts().to_vec();
            self.note(Note::Doubts(doubts.clone()));
            self.push(self.telling.followers(), ToEntry::Doubts(doubts));
        }
        self.tell_limits();
        let summary = self.summary();
        if summary != self.telling.summary {
            self.telling.summary = summary;
            self.actions.push(Action::Holds(summary));
        }
        self.keep_servers(summary.servers);
    }

    /// Has backend servers kept on the disk if they have changed.
    fn keep_servers(&mut self, digest: u32) {
        let (kept, at) = self.telling.kept;
        if digest == kept || self.now < at + KEEP_EVERY {
            return;
        }
        self.telling.kept = (digest, self.now);
        let all = self.directory.tell(self.now);
        let servers = all.filter(|said| said.state != ServerState::Gone).collect();
        self.actions.push(Action::KeepServers(servers));
    }

    /// Tells of the limits of backend servers if any has come, changed or ended.
    fn tell_limits(&mut self) {
        if self.limits.is_empty() {
            return;
        }
        let directory = &self.directory;
        self.limits
            .retain(|server| directory.with_key(server).next().is_some());
        let limits = self.limits.current(self.now);
        if self.telling.limits != limits {
            self.telling.limits = limits.clone();
            self.note(Note::Limits(limits.clone()));
            self.push(self.telling.followers(), ToEntry::Limits(limits));
        }
    }

    /// Notes shares that have changed.
    fn note_shares(&mut self, shares: &[ShareOf]) {
        if self.telling.shares != shares {
            self.telling.shares = shares.to_vec();
            self.note(Note::Shares(shares.to_vec()));
        }
    }

    /// Tells all entries who is in the group.
    pub(super) fn tell_fleet(&mut self) {
        let fleet = self.fleet();
        self.push(Receivers::All, fleet);
    }

    /// Tells entries of the replicated state as it is after an event.
    ///
    /// A replica that has started applies its whole log at once. Told of each
    /// change by itself, entries that had started too put 25 configurations in
    /// force one after the other, for 30 ms, and answered 23 callers whose keys
    /// came with one of the later ones that there is no such key.
    fn tell_state(&mut self) {
        let current = self.replica.as_ref().is_some_and(Replica::is_current);
        if current && !self.telling.told_current {
            self.telling.told_current = true;
            self.note_news(self.store.index(), true);
        }
        let Some(with_config) = self.telling.news.take() else {
            return;
        };
        let state = self.state(with_config);
        self.push(self.telling.followers(), state);
        // Those that another replica tells notice by this if it does not.
        let summary = self.summary();
        self.telling.summary = summary;
        self.actions.push(Action::Holds(summary));
        self.push(Receivers::All, ToEntry::Alive(summary));
    }

    /// Tells entries what they lack, those that lack the same at once.
    fn tell_lacking(&mut self) {
        let config = self.store.config().map(|c| c.version);
        let own = self.directory.digests().clone();
        let mut of_state: BTreeMap<bool, Vec<EntryLife>> = BTreeMap::new();
        let mut of_servers: BTreeMap<Parts, Vec<EntryLife>> = BTreeMap::new();
        let mut of_details: BTreeMap<Parts, Vec<EntryLife>> = BTreeMap::new();
        for (life, held) in std::mem::take(&mut self.telling.lacking) {
            of_state.entry(config > held.config).or_default().push(life);
            let differing = own.differing(&held.servers);
            let filled = held.servers.filled();
            let detailed = self.detailed(differing, filled);
            of_details.entry(detailed).or_default().push(life);
            let whole = differing.without(detailed);
            of_servers.entry(whole).or_default().push(life);
            self.want(life, differing, filled);
        }
        for (with_config, lives) in of_state {
            let state = self.state(with_config);
            self.push(Receivers::These(lives), state);
        }
        for (parts, lives) in of_servers {
            let servers = self.directory.tell_parts(self.now, parts).collect();
            self.push_servers(&Receivers::These(lives), servers);
        }
        for (parts, lives) in of_details.into_iter().filter(|(p, _)| !p.is_empty()) {
            let details = ToEntry::Details(self.directory.details(parts));
            self.push(Receivers::These(lives), details);
        }
    }

    /// Returns the parts, of those that differ, of which an entry is told the digests of
    /// their sections first: it has something in them, and they hold many backend servers.
    fn detailed(&self, differing: Parts, filled: Parts) -> Parts {
        let large = |&n: &usize| self.directory.count_part(n) > TOLD_WHOLE;
        Parts::these(differing.and(filled).numbers().filter(large))
    }

    /// Tells an entry of the backend servers in some sections of the directory.
    pub(super) fn lacks_sections(&mut self, life: EntryLife, sections: &[Section]) {
        let servers = self.directory.tell_sections(self.now, sections).collect();
        self.push_servers(&Receivers::These(vec![life]), servers);
    }

    /// Pushes announcements, no more in a message than [`MOST_IN_MESSAGE`].
    fn push_servers(&mut self, to: &Receivers, servers: Vec<Announcement>) {
        for servers in servers.chunks(MOST_IN_MESSAGE) {
            self.push(to.clone(), ToEntry::Servers(servers.to_vec()));
        }
    }

    /// Asks an entry for what it knows of parts that differ, one entry at a time.
    fn want(&mut self, life: EntryLife, differing: Parts, filled: Parts) {
        let (parts, _) = self.claim_parts(differing, filled);
        if !parts.is_empty() {
            self.push(Receivers::These(vec![life]), ToEntry::Wants(parts));
        }
    }

    /// Returns the parts of the directory that a process may be asked for now, of those
    /// that differ and that it has anything in, and whether there are others, for which
    /// another process was asked just now.
    pub(super) fn claim_parts(&mut self, differing: Parts, filled: Parts) -> (Parts, bool) {
        let want_at = &mut self.telling.want_at;
        let now = self.now;
        let is_due = |n: &usize| want_at.get(n).is_none_or(|at| now >= *at);
        let of_both = differing.and(filled).numbers();
        let (wanted, later): (Vec<usize>, Vec<usize>) = of_both.partition(is_due);
        want_at.extend(wanted.iter().map(|&n| (n, now + WANT_EVERY)));
        (Parts::these(wanted.into_iter()), !later.is_empty())
    }

    fn tell_fresh(&mut self) {
        let fresh = std::mem::take(&mut self.telling.fresh);
        self.push_servers(&self.telling.followers(), fresh.into_values().collect());
    }

    /// Counts crashes and tells entries of requests that caused several.
    fn count_crashes(&mut self, crashes: &[Crash]) {
        let mut found = false;
        for crash in crashes {
            found |= self.crashes.record(crash.clone());
        }
        if found {
            let push = ToEntry::Quarantined(self.crashes.quarantined());
            self.push(self.telling.followers(), push);
        }
    }

    /// Passes on which sessions must stay.
    fn keep_sessions(&mut self, kept: &Kept) {
        self.trials.keep(kept);
        self.push(self.telling.followers(), ToEntry::Kept(kept.clone(), false));
    }

    /// Makes up what entries are told of the replicated state.
    fn state(&self, with_config: bool) -> ToEntry {
        let config = self.store.config().filter(|_| with_config).cloned();
        ToEntry::State {
            index: self.store.index(),
            config,
            orders: self.store.orders().clone(),
            current: self.replica.as_ref().is_some_and(Replica::is_current),
        }
    }

    fn fleet(&self) -> ToEntry {
        ToEntry::Fleet {
            domain: self.cfg.domain.clone(),
            replicas: self.peers.addrs(),
            entries: self.telling.counted.known(self.now),
        }
    }

    fn summary(&mut self) -> Summary {
        Summary {
            config: self.store.config().map(|c| c.version),
            index: self.telling.changed_at,
            servers: self.directory.digests().whole(),
            settled: self.is_member() && self.knows_leader(),
        }
    }

    /// Pushes a message to entries, if there are any.
    fn push(&mut self, to: Receivers, message: ToEntry) {
        if to != Receivers::These(Vec::new()) {
            self.actions.push(Action::Push(to, message));
        }
    }
}
