//! Membership of this process in the group, and the replica directory that belongs to it.

use std::time::Duration;

use sesamebeam_core::{
    gateway::coordinator::Event,
    replica::{
        Members,
        ReplicaConfig,
        SavedState, //
    },
};

use super::{
    GroupError,
    Incarnation,
    Input,
    Runner,
    join::{
        self,
        MembershipStatus, //
    },
    replica_dir, //
};
use crate::{
    control::disk_thread::{
        DiskNotice,
        DiskThread, //
    },
    disk::{
        Disk,
        Identity, //
    },
    exposition::GaugeKind,
};

/// Heartbeat interval of a leader: a sixth of the election timeout, so that lost packets
/// don't cause an election.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum election timeout. It lets a new leader commit its first log entry within a
/// second after the loss of the previous one, and is about three times as long as the
/// pause of an instance whose CPU quota is used up until the next 0.1 s period.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(350);

/// Leader lease: two heartbeat intervals and a round trip. After a power failure, a
/// replica doesn't vote until a full lease has passed since its start, since it may have
/// granted one before. With 280 ms, a leader was elected 0.3 s after a quorum had
/// started.
const LEADER_LEASE: Duration = Duration::from_millis(150);

/// Maximum deviation of a clock's rate from real time.
const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Maximum size of the log entries in one message or write. A single larger entry, such
/// as a configuration of 4 MiB, is still sent whole.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Size of a snapshot chunk.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Maximum number and size of log entries between snapshots. A disk of 128 MB holds several
/// times as much, and a process reads twice as much at its start.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 200;
const SNAPSHOT_INTERVAL_BYTES: usize = 16 << 20;

impl Runner {
    /// Opens the replica directory, or creates it if this process is one of the initial
    /// replicas.
    pub(super) fn open_replica_dir(&mut self) -> Result<(), GroupError> {
        if let Some(path) = replica_dir::current(&self.settings.data_dir) {
            let (disk, saved) = Disk::open(&path)?;
            self.replica_dir = path;
            return self.start_replica(disk, saved, Members::default());
        }
        match join::bootstrap_group(&self.settings) {
            Some((identity, members)) => self.create_replica_dir(&identity, members),
            None => Ok(()),
        }
    }

    /// Creates a replica directory for joining an existing group.
    pub(super) fn join_group(&mut self, group: u128) -> Result<(), GroupError> {
        if self.disk.is_some() {
            return Ok(());
        }
        let identity = Identity {
            group,
            node: rand::random(),
            incarnation: rand::random(),
        };
        self.create_replica_dir(&identity, Members::default())
    }

    fn create_replica_dir(
        &mut self,
        identity: &Identity,
        members: Members,
    ) -> Result<(), GroupError> {
        let path = replica_dir::unused(&self.settings.data_dir);
        Disk::create(&path, identity)?;
        let (disk, saved) = Disk::open(&path)?;
        self.replica_dir = path;
        self.start_replica(disk, saved, members)
    }

    fn start_replica(
        &mut self,
        disk: Disk,
        saved: SavedState,
        members: Members,
    ) -> Result<(), GroupError> {
        let identity = disk.identity();
        let tx = self.tx.clone();
        let incarnation = identity.incarnation;
        let notify = move |notice| tx.send(Input::Disk(incarnation, notice)).is_ok();
        let disk = DiskThread::start(disk, notify).map_err(GroupError::Thread)?;
        self.disk = Some((incarnation, disk));
        let cfg = replica_config(&identity, members);
        let actions = self.coordinator.start(cfg, saved, self.clock.now());
        self.perform(actions);
        self.status
            .send_modify(|status| status.identity = Some(identity));
        self.publish_status();
        Ok(())
    }

    /// Publishes the membership status to the join task, and updates the metrics.
    pub(super) fn publish_status(&self) {
        let config = self.coordinator.store().config();
        self.metrics
            .set_gauge(GaugeKind::ConfigVersion, config.map_or(0, |c| c.version));
        let spare_voters = self.coordinator.spare_voters().unwrap_or(0);
        self.metrics
            .set_gauge(GaugeKind::IsLeader, u64::from(self.coordinator.leads()));
        self.metrics
            .set_gauge(GaugeKind::SpareVoters, spare_voters as u64);
        self.metrics
            .set_gauge(GaugeKind::ConnectedEntries, self.subscribers.count() as u64);
        let is_member = self.coordinator.is_member();
        let is_settled = is_member && self.coordinator.knows_leader();
        let known_addrs = self.coordinator.peers().addrs();
        self.status.send_if_modified(|status| {
            let new = MembershipStatus {
                identity: status.identity,
                is_settled,
                was_member: status.was_member || is_member,
                known_addrs,
            };
            let changed = new != *status;
            *status = new;
            changed
        });
    }

    /// Handles a notice from the disk thread. Delayed notices from the disk of a former
    /// membership are ignored, since its write numbers are in use again.
    pub(super) fn handle_disk_notice(
        &mut self,
        incarnation: Incarnation,
        notice: DiskNotice,
    ) -> Result<(), GroupError> {
        if self
            .disk
            .as_ref()
            .is_none_or(|(current, _)| *current != incarnation)
        {
            return Ok(());
        }
        match notice {
            DiskNotice::Synced(write) => self.handle_event(Event::Synced(write)),
            DiskNotice::Full(full) => self.handle_event(Event::DiskFull(full)),
            DiskNotice::Failed(e) => return Err(e.into()),
        }
        Ok(())
    }

    /// Leaves the group, which has replaced this replica, and starts over.
    pub(super) fn leave_group(&mut self) -> Result<(), GroupError> {
        if self.disk.take().is_none() {
            return Ok(());
        }
        log::warn!(
            folder:% = self.replica_dir.display();
            "removed from the group; joining again with an empty replica directory"
        );
        replica_dir::retire(&self.replica_dir)?;
        self.coordinator.leave();
        self.status.send_replace(MembershipStatus::default());
        Ok(())
    }
}

fn replica_config(identity: &Identity, members: Members) -> ReplicaConfig {
    ReplicaConfig {
        id: identity.node,
        group: identity.group,
        incarnation: identity.incarnation,
        members,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        lease: LEADER_LEASE,
        clock_drift: MAX_CLOCK_DRIFT,
        max_batch_bytes: MAX_BATCH_BYTES,
        snapshot_every: SNAPSHOT_INTERVAL_ENTRIES,
        snapshot_every_bytes: SNAPSHOT_INTERVAL_BYTES,
        snapshot_chunk: SNAPSHOT_CHUNK_BYTES,
        fast_elections: true,
        seed: rand::random(),
        faults: Default::default(),
    }
}
