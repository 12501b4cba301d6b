//! Membership of backend servers, and messages from other entries.

use indexmap::IndexMap;

use super::{
    EntryCore,
    control_requests::ControlPurpose,
    event::{
        EntryAction,
        Notice,
        Recipients, //
    },
};
use crate::{
    ids::{
        ClassId,
        Digest,
        InstanceId,
        MonoTime,
        ServerAddr,
        VersionId, //
    },
    message::{
        control::{
            ControlRequest,
            FleetChange,
            Update, //
        },
        peer::{
            LeaseRefresh,
            PeerMessage, //
        },
        record::ServerIncarnation,
        server::Announcement, //
    },
    policy::{
        exposure::Observation,
        servers::{
            Announced,
            ServerEvent, //
        },
    },
};

impl EntryCore {
    /// Handles an announcement; `own` if the backend server sent it to this entry.
    pub(super) fn handle_announcement(
        &mut self,
        now: MonoTime,
        announcement: &Announcement,
        own: bool,
    ) {
        if announcement.leaving && self.cfg.faults.ignore_leaving {
            return;
        }
        let announced = self.servers.announce(now, announcement);
        let incarnation = ServerIncarnation {
            addr: announcement.addr,
            incarnation: announcement.incarnation,
        };
        match announced {
            Announced::Stale => return,
            Announced::Ignored(fault) => {
                let why = smol_str::format_smolstr!(
                    "announcement of {}: unknown {fault:?}",
                    announcement.addr
                );
                return self
                    .actions
                    .push(EntryAction::Notice(Notice::Ignored { why }));
            }
            Announced::Restarted { old } => {
                let old = ServerIncarnation {
                    addr: announcement.addr,
                    incarnation: old,
                };
                self.server_died(now, old);
            }
            Announced::New | Announced::Reconnected => {
                self.actions.push(EntryAction::Notice(Notice::ServerUp {
                    server: incarnation,
                    pool: announcement.pool.clone(),
                }));
            }
            Announced::Changed | Announced::Leaving | Announced::Refreshed => {}
        }
        self.use_subset(now, announcement, announced.should_propagate());
        self.set_capacities(now);
        if own && announced == Announced::Refreshed {
            self.refreshed
                .insert(announcement.addr, alive_of(announcement));
        }
        if own {
            self.unreported.insert(announcement.addr);
            self.broadcast_changes();
        } else {
            // The sender has broadcast the change to the other entries too.
            self.servers.take_deltas();
        }
        self.queue_check_due = true;
    }

    /// Uses a backend server only if it is in this entry's subset.
    ///
    /// With 10,000 backend servers, an entry that used all of them would need a
    /// connection and load state for each. The subset depends only on the
    /// membership, so it is recomputed only when that changes.
    fn use_subset(&mut self, now: MonoTime, announcement: &Announcement, changed: bool) {
        let pool = &announcement.pool;
        let most = self.cfg.policy.servers.subset;
        let known = self.servers.reachable().filter(|s| s.pool == *pool).count();
        if known <= most {
            if let Some(server) = self.servers.get(announcement.addr) {
                self.balance.upsert(now, server);
            }
            return;
        }
        if !changed {
            if self.balance.pool_of(announcement.addr).is_some()
                && let Some(server) = self.servers.get(announcement.addr)
            {
                self.balance.upsert(now, server);
            }
            return;
        }
        let subset = self.servers.subset(&self.cfg.instance, pool);
        let others: Vec<ServerAddr> = self
            .servers
            .reachable()
            .filter(|server| server.pool == *pool && !subset.contains(&server.addr))
            .map(|server| server.addr)
            .collect();
        for addr in others {
            self.balance.remove(addr);
        }
        for addr in subset {
            if let Some(server) = self.servers.get(addr) {
                self.balance.upsert(now, server);
            }
        }
    }

    /// Handles a message from another entry.
    pub(super) fn handle_peer_message(
        &mut self,
        now: MonoTime,
        from: InstanceId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Servers(list) => {
                for announcement in &list {
                    self.handle_announcement(now, announcement, false);
                }
            }
            PeerMessage::LeaseRefreshes(list) => self.handle_heartbeats(now, from, &list),
            PeerMessage::RequestServers => {
                let list: Vec<Announcement> = self.servers.reachable().cloned().collect();
                self.send_to_entries(Recipients::One(from), PeerMessage::Servers(list));
            }
            PeerMessage::RequestConfig => self.send_config(from),
            PeerMessage::Config {
                revision,
                fleet,
                live,
            } => self.apply_peer_config(now, revision, fleet, live),
            PeerMessage::Alarm { held, suspects } => {
                for version in &held {
                    self.exposure.hold(now, version);
                }
                self.suspects.add_suspects(now, suspects);
            }
            PeerMessage::Leaving { .. } => {}
        }
    }

    /// Handles a backend server that refused a connection or was unreachable.
    pub(super) fn server_unreachable(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        refused: bool,
    ) {
        self.balance.avoid(now, incarnation.addr);
        if refused {
            self.server_died(now, *incarnation);
        }
    }

    /// Removes backend servers whose lease has expired, and sends heartbeats about
    /// the others.
    pub(super) fn tick_servers(&mut self, now: MonoTime) {
        for event in self.servers.tick(now) {
            let (server, why) = match event {
                ServerEvent::Expired(addr) => (addr, "silent for a lease"),
                ServerEvent::Unreachable(addr) => (addr, "behind a cut"),
                ServerEvent::Partitioned(_) => continue,
            };
            self.balance.remove(server);
            self.actions.push(EntryAction::Notice(Notice::ServerDown {
                server,
                why: why.into(),
            }));
        }
        self.set_capacities(now);
        if !self.refreshed.is_empty() && now >= self.next_alive {
            self.next_alive = now + self.cfg.alive_every;
            let list = std::mem::take(&mut self.refreshed).into_values().collect();
            self.send_to_entries(Recipients::All, PeerMessage::LeaseRefreshes(list));
        }
    }

    /// Reports the backend servers that announced themselves here to the control
    /// group, which orders engines to load the versions that a rollout needs.
    pub(super) fn report_servers(&mut self, now: MonoTime) {
        self.next_servers = now + self.cfg.servers_every;
        let list: Vec<Announcement> = std::mem::take(&mut self.unreported)
            .iter()
            .filter_map(|addr| self.servers.get(*addr).cloned())
            .collect();
        if !list.is_empty() {
            self.send_control(
                ControlPurpose::Report,
                ControlRequest::Servers(list),
                self.cfg.claim_timeout,
            );
        }
    }

    /// Handles the end of a backend server's incarnation once. It is proved by a
    /// new incarnation or a refused connection.
    fn server_died(&mut self, now: MonoTime, incarnation: ServerIncarnation) {
        if self.dead_incarnations.contains(&incarnation) {
            return;
        }
        self.dead_incarnations.push_back(incarnation);
        super::keep_newest(&mut self.dead_incarnations, super::MAX_CRASH_RECORDS);
        let candidates = self.crash_candidates(&incarnation);
        self.count_crash(now, &incarnation);
        let Some(report) = self.suspects.record_crash(now, incarnation, &candidates) else {
            return;
        };
        let suspects = report.suspects.clone();
        self.send_control(
            ControlPurpose::Report,
            ControlRequest::Crash(report),
            self.cfg.claim_timeout,
        );
        self.send_to_entries(
            Recipients::All,
            PeerMessage::Alarm {
                held: Vec::new(),
                suspects,
            },
        );
    }

    /// Counts a crash once for each version that ran. Counting it for each request
    /// would let the requests beside the faulty one add up as evidence against
    /// their version.
    fn count_crash(&mut self, now: MonoTime, incarnation: &ServerIncarnation) {
        let mut ran: IndexMap<VersionId, ClassId> = IndexMap::new();
        for req in self.requests.values() {
            for run in req.running.iter().filter(|run| run.server == *incarnation) {
                if let Some(version) = &run.version {
                    ran.entry(version.clone()).or_insert(req.class.clone());
                }
            }
        }
        for (version, class) in ran {
            self.observe(now, &version, &class, Observation::Crashed);
        }
    }

    /// Returns the fingerprints of the requests that may have crashed a backend
    /// server: those running on it and those that broke shortly before.
    fn crash_candidates(&self, incarnation: &ServerIncarnation) -> Vec<Digest> {
        let running = self
            .requests
            .values()
            .filter(|req| req.running.iter().any(|run| run.server == *incarnation))
            .map(|req| req.arrival.digest);
        let lost = self
            .broken_attempts
            .iter()
            .filter(|(_, server, _)| server == incarnation)
            .map(|(_, _, digest)| *digest);
        running.chain(lost).collect()
    }

    /// Handles heartbeats, and requests unknown backend servers from the sender.
    ///
    /// After a network partition, no entry of this failure domain may know the
    /// backend servers of another one, so the sender itself is asked.
    fn handle_heartbeats(&mut self, now: MonoTime, from: InstanceId, list: &[LeaseRefresh]) {
        let mut unknown = false;
        for alive in list {
            match self.servers.get(alive.addr) {
                Some(known) if known.incarnation == alive.incarnation => {
                    self.servers.renew_lease(now, alive.addr);
                }
                _ => unknown = true,
            }
        }
        if unknown && now >= self.next_server_query {
            self.next_server_query = now + self.cfg.alive_every;
            self.send_to_entries(Recipients::One(from), PeerMessage::RequestServers);
        }
    }

    fn broadcast_changes(&mut self) {
        let deltas = self.servers.take_deltas();
        if !deltas.is_empty() {
            self.send_to_entries(Recipients::All, PeerMessage::Servers(deltas));
        }
    }

    fn send_config(&mut self, to: InstanceId) {
        if self.view.revision() == 0 {
            return;
        }
        let message = PeerMessage::Config {
            revision: self.view.revision(),
            fleet: FleetChange::Whole(Box::new(self.view.fleet().clone())),
            live: self.view.live().clone(),
        };
        self.send_to_entries(Recipients::One(to), message);
    }

    /// Applies a configuration from another entry if it is newer and this entry
    /// holds no lease.
    fn apply_peer_config(
        &mut self,
        now: MonoTime,
        revision: u64,
        fleet: FleetChange,
        live: crate::message::control::LiveState,
    ) {
        if self.view.lease_held(now) {
            return;
        }
        let update = Update {
            revision,
            fleet: Some(fleet),
            live: Some(live),
        };
        self.apply_update(now, update);
    }

    pub(super) fn set_capacities(&mut self, now: MonoTime) {
        for pool in &self.view.fleet().pools {
            let slots = self.balance.capacity(now, &pool.name);
            self.admission.set_capacity(&pool.name, slots);
        }
    }

    pub(super) fn send_to_entries(&mut self, to: Recipients, message: PeerMessage) {
        self.actions
            .push(EntryAction::SendToEntries { to, message });
    }
}

fn alive_of(announcement: &Announcement) -> LeaseRefresh {
    LeaseRefresh {
        addr: announcement.addr,
        incarnation: announcement.incarnation,
    }
}
