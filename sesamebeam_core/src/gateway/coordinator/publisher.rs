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
        entry_count::EntryCounter,
        limits::LimitOf,
        messages::{
            CoordinatorMessage,
            FatalParts,
            Report,
            RetainedSessions,
            StateSummary,
            SyncState,
            ToEntry,
            UnreachableServer, //
        },
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
    entry_counter: EntryCounter,
    /// Entries that subscribe to all updates from this replica.
    followers: BTreeSet<EntryId>,
    /// Entries that have requested missing data, with their state.
    update_requests: BTreeMap<EntryId, SyncState>,
    /// Announcements to send to followers.
    pending_announcements: BTreeMap<ServerId, Announcement>,
    /// When the last batch was sent.
    last_batch_at: MonoTime,
    /// When each bucket of the directory may be requested again.
    next_pull_at: BTreeMap<usize, MonoTime>,
    /// When to repeat the directory comparison with replicas that were skipped while others
    /// were being asked.
    pub(super) next_comparison_at: BTreeMap<NodeId, MonoTime>,
    /// Report to forward to the other replicas.
    report: Report,
    /// Unreachable backend servers reported by followers, to be sent to the other
    /// followers. Most followers are in the same failure domain as this replica.
    unreachable: BTreeSet<UnreachableServer>,
    /// Whether a change of the replicated state is to be published, and if so, whether it
    /// includes the configuration.
    state_update: Option<bool>,
    /// Log position of the latest change.
    changed_at: LogIndex,
    /// Whether entries have been told that the state is current.
    published_current: bool,
    /// Last published summary.
    summary: StateSummary,
    /// Last published shares.
    shares: Vec<ShareOf>,
    /// Last published fatal prompt parts.
    pub(super) fatal_parts: Vec<FatalParts>,
    /// Last published limits.
    limits: Vec<LimitOf>,
    /// Digest of the backend servers that were last saved, and when.
    saved: (u32, MonoTime),
}

impl Publisher {
    /// Returns whether anything waits for the next batch.
    fn has_pending(&self) -> bool {
        !self.update_requests.is_empty() || !self.pending_announcements.is_empty()
    }

    /// Returns when the next batch is due, if anything waits for it.
    pub(super) fn next_wake(&self) -> Option<MonoTime> {
        self.has_pending()
            .then_some(self.last_batch_at + BATCH_INTERVAL)
    }

    /// Resets the record that entries know the state to be current.
    pub(super) fn reset_current(&mut self) {
        self.published_current = false;
    }

    /// Returns the connected entries.
    pub(super) fn entries(&self) -> Vec<EntryId> {
        self.entries.iter().copied().collect()
    }

    pub(super) fn followers(&self) -> Recipients {
        Recipients::Only(self.followers.iter().copied().collect())
    }
}

impl Coordinator {
    /// Handles a newly connected entry.
    pub(super) fn add_entry(&mut self, entry: EntryId) {
        self.publisher.entries.insert(entry);
        let entries = self.publisher.entries.len() as u32;
        self.publisher
            .entry_counter
            .record_connected(self.now, entries);
        let fleet = self.fleet_message();
        self.push(Recipients::Only(vec![entry]), fleet);
        self.send_leases(entry);
    }

    /// Removes an entry whose connection has closed.
    pub(super) fn remove_entry(&mut self, entry: EntryId) {
        self.publisher.entries.remove(&entry);
        self.publisher.update_requests.remove(&entry);
        self.forwarding.set(entry, None);
        self.unfollow(entry);
    }

    /// Subscribes an entry with the given state to updates.
    ///
    /// The entry may know of more entries than a replica that has started inside a network
    /// partition. If the replica used its own count, entries that start there would claim
    /// too large a portion of the shared budgets.
    pub(super) fn follow(&mut self, entry: EntryId, sync_state: SyncState) {
        self.publisher.followers.insert(entry);
        self.forwarding.add_follower(entry);
        self.publisher
            .entry_counter
            .record_reported(sync_state.entries);
        let this_entry = Recipients::Only(vec![entry]);
        // Changes are sent to those who follow at the time.
        if self.publisher.entry_counter.published() > sync_state.entries {
            let fleet = self.fleet_message();
            self.push(this_entry.clone(), fleet);
        }
        self.request_update(entry, sync_state);
        self.send_quarantine(entry);
        let doubts = self.outliers.doubts().to_vec();
        self.push(this_entry.clone(), ToEntry::Doubts(doubts));
        if !self.limits.is_empty() {
            let limits = self.limits.current(self.now);
            self.push(this_entry.clone(), ToEntry::Limits(limits));
        }
        for (sessions, all_reported) in self.rollout_monitors.retained_sessions(self.now) {
            self.push(
                this_entry.clone(),
                ToEntry::RetainedSessions(sessions, all_reported),
            );
        }
    }

    /// Ends an entry's subscription.
    pub(super) fn unfollow(&mut self, entry: EntryId) {
        self.publisher.followers.remove(&entry);
        self.forwarding.remove_follower(entry);
    }

    /// Records that an entry requests the data that it is missing.
    pub(super) fn request_update(&mut self, entry: EntryId, sync_state: SyncState) {
        self.publisher.update_requests.insert(entry, sync_state);
    }

    /// Handles the report of an entry connected to this replica.
    pub(super) fn handle_entry_report(&mut self, report: Report) {
        let mut report = report;
        self.process_report(&report);
        let unreachable = std::mem::take(&mut report.unreachable);
        self.publisher.unreachable.extend(unreachable);
        report.convert_ages(self.now);
        self.publisher.report.add(report);
    }

    /// Processes the observations of entries.
    pub(super) fn process_report(&mut self, report: &Report) {
        self.rollout_monitors
            .record_ages(self.now, &self.store, &report.rollout_ages);
        self.rollout_monitors
            .add_evidence(self.now, &self.store, &report.evidence);
        self.loads.merge(self.now, report.loads.iter().copied());
        self.limits.apply(self.now, report.limits.iter().copied());
        self.outliers.record(report.outcomes.iter().copied());
        self.waits.add(self.now, report.waits.iter().copied());
        self.admission.record(self.now, report.work.iter().copied());
        self.process_crashes(report);
        for sessions in &report.retained_sessions {
            self.retain_sessions(sessions);
        }
    }

    /// Queues announcements for the followers.
    pub(super) fn queue_announcements(&mut self, servers: impl IntoIterator<Item = Announcement>) {
        let pending = &mut self.publisher.pending_announcements;
        pending.extend(
            servers
                .into_iter()
                .map(|announcement| (announcement.id.clone(), announcement)),
        );
    }

    /// Records that the replicated state has changed.
    pub(super) fn mark_state_changed(&mut self, index: LogIndex, with_config: bool) {
        let state_update = &mut self.publisher.state_update;
        *state_update = Some(with_config || state_update.unwrap_or_default());
        self.publisher.changed_at = index;
    }

    /// Publishes the changes caused by an event.
    pub(super) fn publish(&mut self) {
        self.publish_state();
        if self.publisher.has_pending() && self.now >= self.publisher.last_batch_at + BATCH_INTERVAL
        {
            self.publisher.last_batch_at = self.now;
            self.send_requested_updates();
            self.publish_announcements();
        }
    }

    /// Publishes what is due in each periodic run.
    pub(super) fn publish_due(&mut self) {
        self.repeat_comparisons();
        if self.publisher.entry_counter.take_changed(self.now) {
            let fleet = self.fleet_message();
            self.push(self.publisher.followers(), fleet);
        }
        let mut report = self.publisher.report.take();
        if !report.is_empty() {
            report.convert_ages(self.now);
            self.broadcast(&CoordinatorMessage::Report(Box::new(report)));
        }
        let unreachable = std::mem::take(&mut self.publisher.unreachable);
        if !unreachable.is_empty() {
            let unreachable = ToEntry::Unreachable(unreachable.into_iter().collect());
            self.push(self.publisher.followers(), unreachable);
        }
        if let Some(loads) = self.loads.take_due(self.now, self.directory.count()) {
            let waits = self.waits.means(self.now);
            let shares = self.admission.shares(self.now);
            self.log_shares(&shares);
            let loads = ToEntry::Loads {
                loads,
                waits,
                shares,
            };
            self.push(self.publisher.followers(), loads);
        }
        if self.outliers.evaluate(self.now, &self.directory) {
            let doubts = self.outliers.doubts().to_vec();
            self.log(LogEvent::Doubts(doubts.clone()));
            self.push(self.publisher.followers(), ToEntry::Doubts(doubts));
        }
        self.publish_limits();
        self.publish_suspected_parts();
        self.publish_offers();
        let summary = self.summary();
        if summary != self.publisher.summary {
            self.publisher.summary = summary;
            self.actions.push(Action::SetSummary(summary));
        }
        self.save_servers(summary.servers);
    }

    /// Saves the backend servers to disk if they have changed.
    fn save_servers(&mut self, digest: u32) {
        let (saved, at) = self.publisher.saved;
        if digest == saved || self.now < at + SAVE_INTERVAL {
            return;
        }
        self.publisher.saved = (digest, self.now);
        let announcements = self.directory.announcements(self.now);
        let servers = announcements
            .filter(|announcement| announcement.state != ServerState::Gone)
            .collect();
        self.actions.push(Action::SaveServers(servers));
    }

    /// Publishes the limits of backend servers if any was added, changed or ended.
    fn publish_limits(&mut self) {
        if self.limits.is_empty() {
            return;
        }
        let directory = &self.directory;
        self.limits
            .retain(|server| directory.with_key(server).next().is_some());
        let limits = self.limits.current(self.now);
        if self.publisher.limits != limits {
            self.publisher.limits = limits.clone();
            self.log(LogEvent::Limits(limits.clone()));
            self.push(self.publisher.followers(), ToEntry::Limits(limits));
        }
    }

    /// Logs the admitted shares if they have changed.
    fn log_shares(&mut self, shares: &[ShareOf]) {
        if self.publisher.shares != shares {
            self.publisher.shares = shares.to_vec();
            self.log(LogEvent::Shares(shares.to_vec()));
        }
    }

    /// Sends the group's membership to all entries.
    pub(super) fn publish_fleet(&mut self) {
        let fleet = self.fleet_message();
        self.push(Recipients::All, fleet);
    }

    /// Publishes the replicated state as it is after an event.
    ///
    /// A replica that has started applies its whole log at once. When each change was
    /// published separately, entries that had also just started activated 25 configurations
    /// one after the other within 30 ms, and rejected 23 callers whose keys were only added
    /// by one of the later ones.
    fn publish_state(&mut self) {
        let current = self.replica.as_ref().is_some_and(Replica::is_current);
        if current && !self.publisher.published_current {
            self.publisher.published_current = true;
            self.mark_state_changed(self.store.index(), true);
        }
        let Some(with_config) = self.publisher.state_update.take() else {
            return;
        };
        let state = self.state_message(with_config);
        self.push(self.publisher.followers(), state);
        // Lets entries that follow another replica detect that it lags behind.
        let summary = self.summary();
        self.publisher.summary = summary;
        self.actions.push(Action::SetSummary(summary));
        self.push(Recipients::All, ToEntry::Heartbeat(summary));
    }

    /// Sends entries what they are missing, grouped by identical content.
    fn send_requested_updates(&mut self) {
        let config = self.store.config().map(|c| c.version);
        let own = self.directory.digests().clone();
        let mut by_state: BTreeMap<bool, Vec<EntryId>> = BTreeMap::new();
        let mut by_buckets: BTreeMap<BucketSet, Vec<EntryId>> = BTreeMap::new();
        let mut by_sections: BTreeMap<BucketSet, Vec<EntryId>> = BTreeMap::new();
        for (entry, sync_state) in std::mem::take(&mut self.publisher.update_requests) {
            by_state
                .entry(config > sync_state.config)
                .or_default()
                .push(entry);
            let differing = own.differing_buckets(&sync_state.servers);
            let non_empty = sync_state.servers.non_empty_buckets();
            let by_section = self.buckets_by_section(differing, non_empty);
            by_sections.entry(by_section).or_default().push(entry);
            let complete = differing.difference(by_section);
            by_buckets.entry(complete).or_default().push(entry);
            self.request_buckets(entry, differing, non_empty);
        }
        for (with_config, entries) in by_state {
            let state = self.state_message(with_config);
            self.push(Recipients::Only(entries), state);
        }
        for (buckets, entries) in by_buckets {
            let servers = self
                .directory
                .announcements_in_buckets(self.now, buckets)
                .collect();
            self.push_servers(&Recipients::Only(entries), servers);
        }
        for (buckets, entries) in by_sections.into_iter().filter(|(p, _)| !p.is_empty()) {
            let details = ToEntry::SectionDigests(self.directory.section_digests(buckets));
            self.push(Recipients::Only(entries), details);
        }
    }

    /// Returns which of the differing buckets are compared section by section first: those
    /// in which the entry has data and which hold many backend servers.
    fn buckets_by_section(&self, differing: BucketSet, non_empty: BucketSet) -> BucketSet {
        let large = |&n: &usize| self.directory.count_in_bucket(n) > MAX_UNSECTIONED_SERVERS;
        BucketSet::from_numbers(differing.intersection(non_empty).iter().filter(large))
    }

    /// Sends an entry the backend servers in some sections of the directory.
    pub(super) fn send_sections(&mut self, entry: EntryId, sections: &[Section]) {
        let servers = self
            .directory
            .announcements_in_sections(self.now, sections)
            .collect();
        self.push_servers(&Recipients::Only(vec![entry]), servers);
    }

    /// Sends announcements in chunks of at most [`MAX_ANNOUNCEMENTS_PER_MESSAGE`].
    fn push_servers(&mut self, to: &Recipients, servers: Vec<Announcement>) {
        for servers in servers.chunks(MAX_ANNOUNCEMENTS_PER_MESSAGE) {
            self.push(to.clone(), ToEntry::Servers(servers.to_vec()));
        }
    }

    /// Requests differing buckets from an entry, asking one entry at a time.
    fn request_buckets(&mut self, entry: EntryId, differing: BucketSet, non_empty: BucketSet) {
        let (buckets, _) = self.claim_buckets(differing, non_empty);
        if !buckets.is_empty() {
            self.push(
                Recipients::Only(vec![entry]),
                ToEntry::RequestBuckets(buckets),
            );
        }
    }

    /// Returns the buckets to request from a process now, among those that differ and that
    /// are not empty there, and whether others were left out because another process has
    /// just been asked for them.
    pub(super) fn claim_buckets(
        &mut self,
        differing: BucketSet,
        non_empty: BucketSet,
    ) -> (BucketSet, bool) {
        let next_pull_at = &mut self.publisher.next_pull_at;
        let now = self.now;
        let is_due = |n: &usize| next_pull_at.get(n).is_none_or(|at| now >= *at);
        let candidates = differing.intersection(non_empty).iter();
        let (requested, postponed): (Vec<usize>, Vec<usize>) = candidates.partition(is_due);
        next_pull_at.extend(requested.iter().map(|&n| (n, now + PULL_RETRY_DELAY)));
        (
            BucketSet::from_numbers(requested.into_iter()),
            !postponed.is_empty(),
        )
    }

    fn publish_announcements(&mut self) {
        let pending = std::mem::take(&mut self.publisher.pending_announcements);
        self.push_servers(&self.publisher.followers(), pending.into_values().collect());
    }

    /// Records retained sessions and forwards them to followers.
    fn retain_sessions(&mut self, sessions: &RetainedSessions) {
        self.rollout_monitors.retain_sessions(sessions);
        self.push(
            self.publisher.followers(),
            ToEntry::RetainedSessions(sessions.clone(), false),
        );
    }

    /// Builds the message with the replicated state.
    fn state_message(&self, with_config: bool) -> ToEntry {
        let config = self.store.config().filter(|_| with_config).cloned();
        ToEntry::State {
            index: self.store.index(),
            config,
            orders: self.store.orders().clone(),
            current: self.replica.as_ref().is_some_and(Replica::is_current),
        }
    }

    fn fleet_message(&self) -> ToEntry {
        ToEntry::Fleet {
            domain: self.cfg.domain.clone(),
            replicas: self.peers.addrs(),
            entries: self.publisher.entry_counter.count(self.now),
        }
    }

    fn summary(&mut self) -> StateSummary {
        StateSummary {
            config: self.store.config().map(|c| c.version),
            index: self.publisher.changed_at,
            servers: self.directory.digests().combined(),
            settled: self.is_member() && self.knows_leader(),
        }
    }

    /// Queues a message to entries unless there are no recipients.
    pub(super) fn push(&mut self, to: Recipients, message: ToEntry) {
        if to != Recipients::Only(Vec::new()) {
            self.actions.push(Action::Push(to, message));
        }
    }
}
