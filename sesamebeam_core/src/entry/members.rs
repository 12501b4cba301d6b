//! Backend servers: announcements, deaths, crashes, and what other entries say.

use super::{
    EntryCore,
    ask::AskFor,
    event::{
        Audience,
        EntryAction,
        Notice, //
    }, //
};
use indexmap::IndexMap;

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
            Alive,
            PeerMessage, //
        },
        record::ServerLife,
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
    /// Takes an announcement; `own` if the backend server came here with it.
    pub(super) fn announced(&mut self, now: MonoTime, announcement: &Announcement, own: bool) {
        if announcement.leaving && self.cfg.faults.ignore_leaving {
            return;
        }
        let announced = self.servers.announce(now, announcement);
        let life = ServerLife {
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
                return self.out.push(EntryAction::Notice(Notice::Ignored { why }));
            }
            Announced::Restarted { old } => {
                let old = ServerLife {
                    addr: announcement.addr,
                    incarnation: old,
                };
                self.died(now, old);
            }
            Announced::New | Announced::Reconnected => {
                self.out.push(EntryAction::Notice(Notice::ServerUp {
                    server: life,
                    pool: announcement.pool.clone(),
                }));
            }
            Announced::Changed | Announced::Leaving | Announced::Refreshed => {}
        }
        self.use_subset(now, announcement, announced.should_propagate());
        self.set_capacities(now);
        if own && announced == Announced::Refreshed {
            self.alive.insert(announcement.addr, alive_of(announcement));
        }
        if own {
            self.unreported.insert(announcement.addr);
            self.spread();
        } else {
            // Told by a peer, who told the others too.
            self.servers.take_deltas();
        }
        self.pump_wanted = true;
    }

    /// Sends work to a backend server only if it is in this entry's subset.
    ///
    /// With 10,000 backend servers an entry that used all of them would keep a
    /// connection and a load figure for each. The subset changes only with the
    /// membership, so it is drawn anew only then.
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

    /// Takes a message of another entry.
    pub(super) fn peer(&mut self, now: MonoTime, from: InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::Servers(list) => {
                for announcement in &list {
                    self.announced(now, announcement, false);
                }
            }
            PeerMessage::Alive(list) => self.heard_alive(now, from, &list),
            PeerMessage::WantServers => {
                let list: Vec<Announcement> = self.servers.reachable().cloned().collect();
                self.tell(Audience::One(from), PeerMessage::Servers(list));
            }
            PeerMessage::WantConfig => self.give_config(from),
            PeerMessage::Config {
                revision,
                fleet,
                live,
            } => self.peer_config(now, revision, fleet, live),
            PeerMessage::Alarm { held, suspects } => {
                for version in &held {
                    self.exposure.hold(now, version);
                }
                self.suspects.add_suspects(now, suspects);
            }
            PeerMessage::Leaving { .. } => {}
        }
    }

    /// A backend server refused a connection or was not reached.
    pub(super) fn server_unreachable(&mut self, now: MonoTime, life: &ServerLife, refused: bool) {
        self.balance.avoid(now, life.addr);
        if refused {
            self.died(now, *life);
        }
    }

    /// Drops backend servers whose lease is over.
    pub(super) fn tick_servers(&mut self, now: MonoTime) {
        for event in self.servers.tick(now) {
            let (server, why) = match event {
                ServerEvent::Expired(addr) => (addr, "silent for a lease"),
                ServerEvent::Unreachable(addr) => (addr, "behind a cut"),
                ServerEvent::Partitioned(_) => continue,
            };
            self.balance.remove(server);
            self.out.push(EntryAction::Notice(Notice::ServerDown {
                server,
                why: why.into(),
            }));
        }
        self.set_capacities(now);
        if !self.alive.is_empty() && now >= self.next_alive {
            self.next_alive = now + self.cfg.alive_every;
            let list = std::mem::take(&mut self.alive).into_values().collect();
            self.tell(Audience::All, PeerMessage::Alive(list));
        }
    }

    /// Tells the control group of the backend servers that announced themselves
    /// here: it orders engines to load what a roll-out needs.
    pub(super) fn report_servers(&mut self, now: MonoTime) {
        self.next_servers = now + self.cfg.servers_every;
        let list: Vec<Announcement> = std::mem::take(&mut self.unreported)
            .iter()
            .filter_map(|addr| self.servers.get(*addr).cloned())
            .collect();
        if !list.is_empty() {
            self.ask(
                AskFor::Report,
                ControlRequest::Servers(list),
                self.cfg.claim_timeout,
            );
        }
    }

    /// Takes the death of a backend server's life, which is proved by a new
    /// life or a refused connection, once.
    fn died(&mut self, now: MonoTime, life: ServerLife) {
        if self.dead.contains(&life) {
            return;
        }
        self.dead.push_back(life);
        super::keep_newest(&mut self.dead, super::MAX_LOST);
        let on_board = self.on_board(&life);
        self.blame_versions(now, &life);
        let Some(report) = self.suspects.record_crash(now, life, &on_board) else {
            return;
        };
        let suspects = report.suspects.clone();
        self.ask(
            AskFor::Report,
            ControlRequest::Crash(report),
            self.cfg.claim_timeout,
        );
        self.tell(
            Audience::All,
            PeerMessage::Alarm {
                held: Vec::new(),
                suspects,
            },
        );
    }

    /// Counts a crash against each version that ran, once: the requests beside
    /// the one at fault must not add up to a case against the version.
    fn blame_versions(&mut self, now: MonoTime, life: &ServerLife) {
        let mut ran: IndexMap<VersionId, ClassId> = IndexMap::new();
        for req in self.requests.values() {
            for run in req.running.iter().filter(|run| run.server == *life) {
                if let Some(version) = &run.version {
                    ran.entry(version.clone()).or_insert(req.class.clone());
                }
            }
        }
        for (version, class) in ran {
            self.observe(now, &version, &class, Observation::Crashed);
        }
    }

    /// Fingerprints of the requests that a life ran when it died: those still
    /// under way and those that broke off there shortly before.
    fn on_board(&self, life: &ServerLife) -> Vec<Digest> {
        let running = self
            .requests
            .values()
            .filter(|req| req.running.iter().any(|run| run.server == *life))
            .map(|req| req.arrival.digest);
        let lost = self
            .lost
            .iter()
            .filter(|(_, server, _)| server == life)
            .map(|(_, _, digest)| *digest);
        running.chain(lost).collect()
    }

    /// Takes signs of life, and asks their sender for what is not known here.
    ///
    /// After a cut nobody in the own failure domain knows the backend servers of
    /// another one; only entries there can tell.
    fn heard_alive(&mut self, now: MonoTime, from: InstanceId, list: &[Alive]) {
        let mut unknown = false;
        for alive in list {
            match self.servers.get(alive.addr) {
                Some(known) if known.incarnation == alive.incarnation => {
                    self.servers.renew_lease(now, alive.addr);
                }
                _ => unknown = true,
            }
        }
        if unknown && now >= self.next_want {
            self.next_want = now + self.cfg.alive_every;
            self.tell(Audience::One(from), PeerMessage::WantServers);
        }
    }

    fn spread(&mut self) {
        let deltas = self.servers.take_deltas();
        if !deltas.is_empty() {
            self.tell(Audience::All, PeerMessage::Servers(deltas));
        }
    }

    fn give_config(&mut self, to: InstanceId) {
        if self.view.revision() == 0 {
            return;
        }
        let message = PeerMessage::Config {
            revision: self.view.revision(),
            fleet: FleetChange::Whole(Box::new(self.view.fleet().clone())),
            live: self.view.live().clone(),
        };
        self.tell(Audience::One(to), message);
    }

    /// A configuration from another entry counts only while this one is cut
    /// off from the control group, and only if it is newer.
    fn peer_config(
        &mut self,
        now: MonoTime,
        revision: u64,
        fleet: FleetChange,
        live: crate::message::control::Live,
    ) {
        if self.view.lease_held(now) {
            return;
        }
        let update = Update {
            revision,
            fleet: Some(fleet),
            live: Some(live),
        };
        self.take_update(now, update);
    }

    pub(super) fn set_capacities(&mut self, now: MonoTime) {
        for pool in &self.view.fleet().pools {
            let slots = self.balance.capacity(now, &pool.name);
            self.admission.set_capacity(&pool.name, slots);
        }
    }

    pub(super) fn tell(&mut self, to: Audience, message: PeerMessage) {
        self.out.push(EntryAction::Tell { to, message });
    }
}

fn alive_of(announcement: &Announcement) -> Alive {
    Alive {
        addr: announcement.addr,
        incarnation: announcement.incarnation,
    }
}
