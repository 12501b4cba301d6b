//! This process's place in the group, and the data folder that goes with it.

use std::time::Duration;

use sesamebeam_core::{
    gateway::coordinator::Event,
    replica::{
        Members,
        ReplicaConfig,
        Saved, //
    },
};

use super::{
    GroupError, Incarnation, Input, Runner, folder,
    join::{
        self,
        Place, //
    },
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
    exposition::Level,
};

/// Pause between two heartbeats of a leader. A sixth of the election time-out,
/// so that lost packets do not end a leadership.
const HEARTBEAT: Duration = Duration::from_millis(60);

/// Shortest election time-out. A new leader and its first entry within a second
/// of the loss; three times the pause of an instance whose share of a processor
/// is used up until the next tenth of a second.
const ELECTION: Duration = Duration::from_millis(350);

/// Leader lease: two heartbeats and a round trip. After a loss of all power nobody
/// votes until it is over, counted from its own start, since it may have promised
/// it: with 280 ms a leader stood 0.3 s after a quorum of the replicas did.
const LEASE: Duration = Duration::from_millis(150);

/// Most that clocks' rates differ from true time.
const DRIFT: f64 = 0.01;

/// Most bytes of entries in one message or write; a configuration of 4 MiB
/// still goes as one.
const MAX_BATCH: usize = 1 << 20;

/// Bytes in a part of a snapshot.
const SNAPSHOT_CHUNK: usize = 256 << 10;

/// Entries between snapshots. Configurations are some kilobytes, so that the
/// log stays within a few megabytes of a disk of 128.
const SNAPSHOT_EVERY: u64 = 200;

impl Runner {
    /// Opens the data folder, or makes it if this process is one of the first
    /// replicas.
    pub(super) fn open(&mut self) -> Result<(), GroupError> {
        if let Some(path) = folder::current(&self.settings.data_dir) {
            let (disk, saved) = Disk::open(&path)?;
            self.folder = path;
            return self.start(disk, saved, Members::default());
        }
        match join::first_group(&self.settings) {
            Some((identity, members)) => self.make_folder(&identity, members),
            None => Ok(()),
        }
    }

    /// Makes a data folder for a place in a group that others have formed.
    pub(super) fn prepare(&mut self, group: u128) -> Result<(), GroupError> {
        if self.disk.is_some() {
            return Ok(());
        }
        let identity = Identity {
            group,
            node: rand::random(),
            incarnation: rand::random(),
        };
        self.make_folder(&identity, Members::default())
    }

    fn make_folder(&mut self, identity: &Identity, members: Members) -> Result<(), GroupError> {
        let path = folder::fresh(&self.settings.data_dir);
        Disk::create(&path, identity)?;
        let (disk, saved) = Disk::open(&path)?;
        self.folder = path;
        self.start(disk, saved, members)
    }

    fn start(&mut self, disk: Disk, saved: Saved, members: Members) -> Result<(), GroupError> {
        let identity = disk.identity();
        let tx = self.tx.clone();
        let incarnation = identity.incarnation;
        let tell = move |notice| tx.send(Input::Disk(incarnation, notice)).is_ok();
        let disk = DiskThread::start(disk, tell).map_err(GroupError::Thread)?;
        self.disk = Some((incarnation, disk));
        let cfg = replica_config(&identity, members);
        let actions = self.core.start(cfg, saved, self.clock.now());
        self.carry(actions);
        self.place
            .send_modify(|place| place.identity = Some(identity));
        self.tell_place();
        Ok(())
    }

    /// Tells the joining task how this process stands in the group.
    pub(super) fn tell_place(&self) {
        let config = self.core.store().config();
        self.meters
            .set(Level::Config, config.map_or(0, |c| c.version));
        self.meters.set(Level::Leads, u64::from(self.core.leads()));
        self.meters.set(Level::Entries, self.entries.count() as u64);
        let member = self.core.is_member();
        let settled = member && self.core.knows_leader();
        let known = self.core.peers().addrs();
        self.place.send_if_modified(|place| {
            let next = Place {
                identity: place.identity,
                settled,
                had_place: place.had_place || member,
                known,
            };
            let changed = next != *place;
            *place = next;
            changed
        });
    }

    /// Takes what the disk in use tells. One of a place before may answer late;
    /// its writes have the numbers of others now.
    pub(super) fn disk_tells(
        &mut self,
        incarnation: Incarnation,
        notice: DiskNotice,
    ) -> Result<(), GroupError> {
        if self.disk.as_ref().is_none_or(|(i, _)| *i != incarnation) {
            return Ok(());
        }
        match notice {
            DiskNotice::Synced(write) => self.event(Event::Synced(write)),
            DiskNotice::Full(full) => self.event(Event::DiskFull(full)),
            DiskNotice::Failed(e) => return Err(e.into()),
        }
        Ok(())
    }

    /// Starts over, as the group has given this replica's place to another.
    pub(super) fn give_up_place(&mut self) -> Result<(), GroupError> {
        if self.disk.take().is_none() {
            return Ok(());
        }
        log::warn!(folder:% = self.folder.display(); "place in the group given up");
        folder::give_up(&self.folder)?;
        self.core.leave();
        self.place.send_replace(Place::default());
        Ok(())
    }
}

fn replica_config(identity: &Identity, members: Members) -> ReplicaConfig {
    ReplicaConfig {
        id: identity.node,
        group: identity.group,
        incarnation: identity.incarnation,
        members,
        heartbeat: HEARTBEAT,
        election: ELECTION,
        lease: LEASE,
        drift: DRIFT,
        max_batch_bytes: MAX_BATCH,
        snapshot_every: SNAPSHOT_EVERY,
        snapshot_chunk: SNAPSHOT_CHUNK,
        eager: true,
        seed: rand::random(),
        faults: Default::default(),
    }
}
