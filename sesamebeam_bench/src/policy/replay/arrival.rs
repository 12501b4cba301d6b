//! Requests as they arrive, drawn from the traffic of the deployment.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::RngExt;
use sesamebeam_core::{
    fleet::Priority,
    ids::{
        Digest,
        MonoTime,
        OrgId,
        SessionId, //
    },
    policy::{
        hash,
        plan::Plan, //
    },
};
use smol_str::format_smolstr;

use crate::policy::{
    deployment::Traffic,
    replay::{
        Replay,
        event::Event, //
    },
    world::AttemptId,
};

/// Time after which the caller of a killer request sends it again.
const RESEND: Duration = Duration::from_secs(3);

/// Requests of one session.
const SESSION_LENGTH: u64 = 8;

pub(super) struct Request {
    pub(super) id: u128,
    pub(super) org: OrgId,
    pub(super) traffic: usize,
    pub(super) class: usize,
    pub(super) arrived: MonoTime,
    pub(super) deadline: MonoTime,
    pub(super) tokens: f64,
    pub(super) prompt: f64,
    pub(super) prefix: Option<u64>,
    pub(super) session: Option<SessionId>,
    pub(super) killer: bool,
    pub(super) fingerprint: Digest,
    pub(super) plan: Option<Plan>,
    pub(super) admitted: bool,
    pub(super) ended: bool,
    pub(super) sent_first: Option<MonoTime>,
    pub(super) attempts: u32,
    pub(super) cost: f64,
    pub(super) tried: Vec<SocketAddr>,
    pub(super) open: Vec<AttemptId>,
}

impl Replay<'_> {
    pub(super) fn arrive(&mut self) {
        if !self.going_on() {
            return;
        }
        let gap = -self.mean_gap * (1.0 - self.traffic.random::<f64>()).ln();
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let shares: Vec<f64> = self.deployment.traffic.iter().map(|t| t.share).collect();
        let traffic = self.draw(&shares);
        let demands: Vec<f64> = self.deployment.demand.iter().map(|d| d.share).collect();
        let org = self.draw(&demands);
        let request = self.make(traffic, org, false);
        self.admit(request);
    }

    pub(super) fn killer(&mut self, resends: u32) {
        if !self.going_on() || resends == 0 {
            return;
        }
        let normal = |t: &Traffic| {
            let class = self.class_of(t);
            class.service.is_none() && class.idempotent && class.priority == Priority::Normal
        };
        let traffic = self.deployment.traffic.iter().position(normal).unwrap_or(0);
        let request = self.make(traffic, 0, true);
        self.after(RESEND, Event::Killer(resends - 1));
        self.admit(request);
    }

    fn make(&mut self, traffic: usize, org: usize, killer: bool) -> usize {
        let shape = &self.deployment.traffic[traffic];
        let class = self.class_of(shape);
        let org = self.deployment.demand[org].organisation.clone();
        let id: u128 = self.traffic.random();
        let stretch = 0.5 + self.traffic.random::<f64>();
        let session = (self.traffic.random::<f64>() < shape.sessions).then(|| {
            let number = self.requests.len() as u64 / (SESSION_LENGTH * 20);
            let lane = self.traffic.random_range(0..20u32);
            format_smolstr!("{org}-{}-{number}-{lane}", shape.class)
        });
        let prefix = match &session {
            Some(session) => hash::rendezvous(session, b"prefix"),
            None => hash::rendezvous(&org, shape.class.as_bytes()),
        };
        let request = Request {
            id,
            org,
            traffic,
            class: self
                .deployment
                .fleet
                .classes
                .iter()
                .position(|c| c.name == class.name)
                .unwrap_or(0),
            arrived: self.now,
            deadline: self.now + class.deadline,
            tokens: shape.tokens * stretch,
            prompt: shape.prompt,
            prefix: class.service.is_none().then_some(prefix),
            session,
            killer,
            fingerprint: if killer { 0xdead } else { id },
            plan: None,
            admitted: false,
            ended: false,
            sent_first: None,
            attempts: 0,
            cost: 0.0,
            tried: Vec::new(),
            open: Vec::new(),
        };
        self.requests.push(request);
        let at = self.requests.len() - 1;
        self.by_id.insert(id, at);
        if self.now >= self.setting.warm_up {
            self.run.arrived(&self.requests[at].org, traffic);
        }
        at
    }

    fn draw(&mut self, shares: &[f64]) -> usize {
        let mut point = self.traffic.random::<f64>() * shares.iter().sum::<f64>();
        for (at, share) in shares.iter().enumerate() {
            point -= share;
            if point < 0.0 {
                return at;
            }
        }
        shares.len() - 1
    }
}
