//! Publishing changes to entries and forwarding their reports.
//!
//! Changes that occur together are sent together. Sent one by one, 168 backend servers that
//! announce themselves again cause 49,560 messages from one replica to 295 entries.

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
    EntryId,
    LogEvent,
    Recipients, //
};
use crate::{
    gateway::{
        digests::{
            BucketSet,
            Section, //
        },
        directory::{
            Announcement,
            ServerId,
            ServerState, //
        },
        entries::EntryCounter,
        feed::{
            CoordinatorMessage,
            Crash,
            SyncState,
            RetainedSessions,
            Report,
            StateSummary,
            ToEntry,
            UnreachableServer, //
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

/// Minimum interval between two batches of updates and of replies to entries that request
/// missing data. A leaving backend server stays up for at least two seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two saves of the backend servers to disk. Entries learn of a
/// leaving server within a tenth of that.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before another process is asked for the same data: a reply takes a few round
/// trips.
pub(super) const PULL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of announcements in one message to entries, about 8 KB encoded. Every
/// connection keeps a buffer as large as its largest message, and a message that takes a
/// second to send, on a slow link shared with requests, gets its connection closed.
pub const MAX_ANNOUNCEMENTS_PER_MESSAGE: usize = 256;

/// Maximum number of backend servers in a bucket that are sent without first finding out
/// which sections differ. Sending them takes as many bytes as sending the section digests.
const MAX_UNSECTIONED_SERVERS: usize = 8;

/// Pending updates for entries, and the reports collected from them.
#[derive(Debug, Default)]
pub(super) struct Publisher {
    /// Connected entries.
    entries: BTreeSet<EntryId>,
    /// Estimate of the number of entries.
    counted: EntryCounter,
    /// Entries that subscribe to all updates from this replica.
    followers: BTreeSet<EntryId>,
    /// Entries that have requested missing data, with their state.
    lacking: BTreeMap<EntryId, SyncState>,
    /// Announcements to send to followers.
    fresh: BTreeMap<ServerId, Announcement>,
    /// When the last batch was sent.
    packed_at: MonoTime,
    /// When each bucket of the directory may be requested again.
    want_at: BTreeMap<usize, MonoTime>,
    /// When to repeat the directory comparison with replicas that were skipped while others
    /// were being asked.
    pub(super) compare_at: BTreeMap<NodeId, MonoTime>,
    /// Report to forward to the other replicas.
    report: Report,
    /// Unreachable backend servers reported by followers, to be sent to the other
    /// followers. Most followers are in the same failure domain as this replica.
    unreached: BTreeSet<UnreachableServer>,
    /// Whether a change of the replicated state is to be published, and if so, whether it
    /// includes the configuration.
    news: Option<bool>,
    /// Log position of the latest change.
    changed_at: LogIndex,
    /// Whether entries have been told that the state is current.
    told_current: bool,
    /// Last published summary.
    summary: StateSummary,
    /// Last published shares.
    shares: Vec<ShareOf>,
    /// Last published limits.
    limits: Vec<LimitOf>,
    /// Digest of the backend servers that were last saved, and when.
    kept: (u32, MonoTime),
}

impl Publisher {
    /// Returns whether anything waits for the next batch.
    fn waits(&self) -> bool {
        !self.lacking.is_empty() || !self.fresh.is_empty()
    }

    /// Returns when the next batch is due, if anything waits for it.
    pub(super) fn next_wake(&self) -> Option<MonoTime> {
        self.waits().then_some(self.packed_at + BATCH_INTERVAL)
    }

    /// Resets the record that entries know the state to be current.
    pub(super) fn restart(&mut self) {
        self.told_current = false;
    }

    fn followers(&self) -> Recipients {
        Recipients::Only(self.followers.iter().copied().collect())
    }
}

impl Coordinator {
    /// Handles a newly connected entry.
    pub(super) fn subscribe(&mut self, life: EntryId) {
        self.telling.entries.insert(life);
        let entries = self.telling.entries.len() as u32;
        self.telling.counted.connected(self.now, entries);
        let fleet = self.fleet();
        self.push(Recipients::Only(vec![life]), fleet);
    }

    /// Removes an entry whose connection has closed.
    pub(super) fn unsubscribe(&mut self, life: EntryId) {
        self.telling.entries.remove(&life);
        self.telling.lacking.remove(&life);
        self.unfollow(life);
    }

    /// Subscribes an entry with the given state to updates.
    ///
    /// The entry may know of more entries than a replica that has started inside a network
    /// partition. If the replica used its own count, entries that start there would claim
    /// too large a portion of the shared budgets.
    pub(super) fn follow(&mut self, life: EntryId, held: SyncState) {
        self.telling.followers.insert(life);
        self.telling.counted.confirmed(held.entries);
        self.lacks(life, held);
        let this = Recipients::Only(vec![life]);
        let quarantined = self.crashes.quarantined();
        if !quarantined.is_empty() {
            self.push(this.clone(), ToEntry::Quarantined(quarantined));
        }
        let doubts = self.pool.doubts().to_vec();
        self.push(this.clone(), ToEntry::Doubts(doubts));
        if !self.limits.is_empty() {
            let limits = self.limits.tell(self.now);
            self.push(this.clone(), ToEntry::Limits(limits));
        }
        for (kept, all) in self.trials.kept(self.now) {
            self.push(this.clone(), ToEntry::RetainedSessions(kept, all));
        }
    }

    /// Ends an entry's subscription.
    pub(super) fn unfollow(&mut self, life: EntryId) {
        self.telling.followers.remove(&life);
    }

    /// Records that an entry requests the data that it is missing.
    pub(super) fn lacks(&mut self, life: EntryId, held: SyncState) {
        self.telling.lacking.insert(life, held);
    }

    /// Handles the report of an entry connected to this replica.
    pub(super) fn reported(&mut self, report: Report) {
        let mut report = report;
        self.take_report(&report);
        let unreached = std::mem::take(&mut report.unreached);
        self.telling.unreached.extend(unreached);
        self.telling.report.add(report);
    }

    /// Processes the observations of entries.
    pub(super) fn take_report(&mut self, report: &Report) {
        self.trials.have_run(self.now, &self.store, &report.ages);
        self.trials.take(self.now, &self.store, &report.evidence);
        self.loads.take(self.now, report.loads.iter().copied());
        self.limits.take(self.now, report.limits.iter().copied());
        self.pool.take(report.outcomes.iter().copied());
        self.waits.take(self.now, report.waits.iter().copied());
        self.shortages.take(self.now, report.work.iter().copied());
        self.count_crashes(&report.crashes);
        for kept in &report.kept {
            self.keep_sessions(kept);
        }
    }

    /// Queues announcements for the followers.
    pub(super) fn tell_servers_soon(&mut self, servers: impl IntoIterator<Item = Announcement>) {
        let fresh = &mut self.telling.fresh;
        fresh.extend(servers.into_iter().map(|said| (said.id.clone(), said)));
    }

    /// Records that the replicated state has changed.
    pub(super) fn note_news(&mut self, index: LogIndex, with_config: bool) {
        let news = &mut self.telling.news;
        *news = Some(with_config || news.unwrap_or_default());
        self.telling.changed_at = index;
    }

    /// Publishes the changes caused by an event.
    pub(super) fn tell(&mut self) {
        self.tell_state();
        if self.telling.waits() && self.now >= self.telling.packed_at + BATCH_INTERVAL {
            self.telling.packed_at = self.now;
            self.tell_lacking();
            self.tell_fresh();
        }
    }

    /// Publishes what is due in each periodic run.
    pub(super) fn tell_due(&mut self) {
        self.compare_due();
        if self.telling.counted.has_news(self.now) {
            let fleet = self.fleet();
            self.push(self.telling.followers(), fleet);
        }
        let report = self.telling.report.take();
        if !report.is_empty() {
            self.tell_peers(&CoordinatorMessage::Report(Box::new(report)));
        }
        let unreached = std::mem::take(&mut self.telling.unreached);
        if !unreached.is_empty() {
            let unreached = ToEntry::Unreachable(unreached.into_iter().collect());
            self.push(self.telling.followers(), unreached);
        }
        if let Some(loads) = self.loads.due(self.now, self.directory.count()) {
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
        if self.pool.judge(self.now, &self.directory) {
            let doubts = self.pool.doubts().to_vec();
            self.note(LogEvent::Doubts(doubts.clone()));
            self.push(self.telling.followers(), ToEntry::Doubts(doubts));
        }
        self.tell_limits();
        let summary = self.summary();
        if summary != self.telling.summary {
            self.telling.summary = summary;
            self.actions.push(Action::SetSummary(summary));
        }
        self.keep_servers(summary.servers);
    }

    /// Saves the backend servers to disk if they have changed.
    fn keep_servers(&mut self, digest: u32) {
        let (kept, at) = self.telling.kept;
        if digest == kept || self.now < at + SAVE_INTERVAL {
            return;
        }
        self.telling.kept = (digest, self.now);
        let all = self.directory.tell(self.now);
        let servers = all.filter(|said| said.state != ServerState::Gone).collect();
        self.actions.push(Action::SaveServers(servers));
    }

    /// Publishes the limits of backend servers if any was added, changed or ended.
    fn tell_limits(&mut self) {
        if self.limits.is_empty() {
            return;
        }
        let directory = &self.directory;
        self.limits
            .retain(|server| directory.with_key(server).next().is_some());
        let limits = self.limits.tell(self.now);
        if self.telling.limits != limits {
            self.telling.limits = limits.clone();
            self.note(LogEvent::Limits(limits.clone()));
            self.push(self.telling.followers(), ToEntry::Limits(limits));
        }
    }

    /// Logs the admitted shares if they have changed.
    fn note_shares(&mut self, shares: &[ShareOf]) {
        if self.telling.shares != shares {
            self.telling.shares = shares.to_vec();
            self.note(LogEvent::Shares(shares.to_vec()));
        }
    }

    /// Sends the group's membership to all entries.
    pub(super) fn tell_fleet(&mut self) {
        let fleet = self.fleet();
        self.push(Recipients::All, fleet);
    }

    /// Publishes the replicated state as it is after an event.
    ///
    /// A replica that has started applies its whole log at once. When each change was
    /// published separately, entries that had also just started activated 25 configurations
    /// one after the other within 30 ms, and rejected 23 callers whose keys were only added
    /// by one of the later ones.
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
        // Lets entries that follow another replica detect that it lags behind.
        let summary = self.summary();
        self.telling.summary = summary;
        self.actions.push(Action::SetSummary(summary));
        self.push(Recipients::All, ToEntry::Alive(summary));
    }

    /// Sends entries what they are missing, grouped by identical content.
    fn tell_lacking(&mut self) {
        let config = self.store.config().map(|c| c.version);
        let own = self.directory.digests().clone();
        let mut of_state: BTreeMap<bool, Vec<EntryId>> = BTreeMap::new();
        let mut of_servers: BTreeMap<BucketSet, Vec<EntryId>> = BTreeMap::new();
        let mut of_details: BTreeMap<BucketSet, Vec<EntryId>> = BTreeMap::new();
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
            self.push(Recipients::Only(lives), state);
        }
        for (parts, lives) in of_servers {
            let servers = self.directory.tell_parts(self.now, parts).collect();
            self.push_servers(&Recipients::Only(lives), servers);
        }
        for (parts, lives) in of_details.into_iter().filter(|(p, _)| !p.is_empty()) {
            let details = ToEntry::SectionDigests(self.directory.details(parts));
            self.push(Recipients::Only(lives), details);
        }
    }

    /// Returns which of the differing buckets are compared section by section first: those
    /// in which the entry has data and which hold many backend servers.
    fn detailed(&self, differing: BucketSet, filled: BucketSet) -> BucketSet {
        let large = |&n: &usize| self.directory.count_part(n) > MAX_UNSECTIONED_SERVERS;
        BucketSet::these(differing.and(filled).numbers().filter(large))
    }

    /// Sends an entry the backend servers in some sections of the directory.
    pub(super) fn lacks_sections(&mut self, life: EntryId, sections: &[Section]) {
        let servers = self.directory.tell_sections(self.now, sections).collect();
        self.push_servers(&Recipients::Only(vec![life]), servers);
    }

    /// Sends announcements in chunks of at most [`MAX_ANNOUNCEMENTS_PER_MESSAGE`].
    fn push_servers(&mut self, to: &Recipients, servers: Vec<Announcement>) {
        for servers in servers.chunks(MAX_ANNOUNCEMENTS_PER_MESSAGE) {
            self.push(to.clone(), ToEntry::Servers(servers.to_vec()));
        }
    }

    /// Requests differing buckets from an entry, asking one entry at a time.
    fn want(&mut self, life: EntryId, differing: BucketSet, filled: BucketSet) {
        let (parts, _) = self.claim_parts(differing, filled);
        if !parts.is_empty() {
            self.push(Recipients::Only(vec![life]), ToEntry::Wants(parts));
        }
    }

    /// Returns the buckets to request from a process now, among those that differ and that
    /// are not empty there, and whether others were left out because another process has
    /// just been asked for them.
    pub(super) fn claim_parts(&mut self, differing: BucketSet, filled: BucketSet) -> (BucketSet, bool) {
        let want_at = &mut self.telling.want_at;
        let now = self.now;
        let is_due = |n: &usize| want_at.get(n).is_none_or(|at| now >= *at);
        let of_both = differing.and(filled).numbers();
        let (wanted, later): (Vec<usize>, Vec<usize>) = of_both.partition(is_due);
        want_at.extend(wanted.iter().map(|&n| (n, now + PULL_RETRY_DELAY)));
        (BucketSet::these(wanted.into_iter()), !later.is_empty())
    }

    fn tell_fresh(&mut self) {
        let fresh = std::mem::take(&mut self.telling.fresh);
        self.push_servers(&self.telling.followers(), fresh.into_values().collect());
    }

    /// Counts crashes and publishes the requests that have caused several.
    fn count_crashes(&mut self, crashes: &[Crash]) {
        let mut found = false;
        for crash in crashes {
            found |= self.crashes.count(crash.clone());
        }
        if found {
            let push = ToEntry::Quarantined(self.crashes.quarantined());
            self.push(self.telling.followers(), push);
        }
    }

    /// Records retained sessions and forwards them to followers.
    fn keep_sessions(&mut self, kept: &RetainedSessions) {
        self.trials.keep(kept);
        self.push(self.telling.followers(), ToEntry::RetainedSessions(kept.clone(), false));
    }

    /// Builds the message with the replicated state.
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

    fn summary(&mut self) -> StateSummary {
        StateSummary {
            config: self.store.config().map(|c| c.version),
            index: self.telling.changed_at,
            servers: self.directory.digests().whole(),
            settled: self.is_member() && self.knows_leader(),
        }
    }

    /// Queues a message to entries unless there are no recipients.
    fn push(&mut self, to: Recipients, message: ToEntry) {
        if to != Recipients::Only(Vec::new()) {
            self.actions.push(Action::Push(to, message));
        }
    }
}
