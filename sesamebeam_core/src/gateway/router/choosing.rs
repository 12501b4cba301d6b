//! Choice of the backend server for a send: who may run it, and who bears it.

use super::{
    Choice,
    Plan,
    Router,
    Unserved, //
};
use crate::{
    gateway::{
        balance::{
            Affinity,
            Need, //
        },
        cold,
        config::ColdConfig,
        directory::{
            ServerGroup,
            ServerId,
            ServerRecord,
            Window, //
        },
        loads::ServerKey,
        rollout::Allowed,
    },
    ids::MonoTime,
    policy::hash,
};

/// Most backend servers that a choice is made among, unless none of them will do. Where
/// there are more, the prompt or the request decides which: the time that a choice takes
/// stays the same, and the least loaded of 64 is hardly more loaded than that of all.
pub const CANDIDATES: usize = 128;

/// By how much more backend servers are looked at where none of the candidates will do.
const WIDER: usize = 8;

impl Router {
    /// Chooses a backend server for the next send and counts it as sent.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn choose(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
    ) -> Result<Choice, Unserved> {
        let allowed = self.allowed(plan);
        // All entries try the same ones of a new version.
        if plan.on_trial && self.is_canary(&plan.service) {
            return self.choose_within(now, plan, model, tried, &allowed, Window::ALL);
        }
        let mut most = CANDIDATES;
        loop {
            let window = self.window(plan, model, &allowed, most);
            match self.choose_within(now, plan, model, tried, &allowed, window) {
                Err(_) if !window.is_all() => most *= WIDER,
                result => return result,
            }
        }
    }

    /// Chooses among the backend servers with a key in a window.
    fn choose_within(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
        allowed: &Allowed,
        window: Window,
    ) -> Result<Choice, Unserved> {
        let orders = &self.orders;
        let groups = self.directory.groups(&plan.service);
        let groups = groups.filter(|g| orders.admit(g.domain) && allowed.has(g.version));
        let mut fit: Vec<&ServerRecord> = groups
            .flat_map(|g| self.directory.members(&g, window))
            .collect();
        let candidates = fit.len();
        fit.retain(|k| !self.backoffs.is_leaving(&k.announcement.id));
        let staying = fit.len();
        fit.retain(|k| self.takes(now, &k.announcement.id));
        let limited = fit.len() < staying;
        if limited && fit.iter().all(|k| tried.contains(&k.announcement.id)) {
            return Err(Unserved::Limited);
        }
        if plan.on_trial && self.is_canary(&plan.service) {
            self.keep_few(&mut fit, plan, tried);
        }
        if fit.is_empty() {
            return Err(self.unserved(plan));
        }
        let cold = cold_limits(plan);
        self.keep_warm(now, &mut fit, cold, tried);
        if fit.is_empty() {
            return Err(Unserved::Cold);
        }
        let affinity = affinity(plan, model);
        let reading = self.reading.expect(&plan.service, model, plan.own_tokens);
        let need = Need {
            affinity,
            reading,
            domain: &self.cfg.domain,
            tried,
            once: plan.route.runs_once(),
            seed: plan.seed,
        };
        let chosen = self.balance.choose(now, &fit, &need);
        let chosen = chosen.ok_or(Unserved::NoneLeft)?;
        if let Some(cold) = cold.filter(|cold| self.cold.is_cold(now, chosen, Some(cold))) {
            self.cold.use_turn(now, &chosen.announcement.id, cold);
        }
        self.limits.sent(now, &chosen.announcement.id);
        let choice = Choice {
            id: chosen.announcement.id.clone(),
            born: chosen.announcement.started_at,
            addr: chosen.announcement.addr,
            version: chosen.announcement.version.clone(),
            reading,
            candidates,
        };
        self.keep_session(now, plan, &choice);
        Ok(choice)
    }

    /// Returns whether a request could go on now at another backend server than those
    /// that had their turn.
    pub fn has_another(
        &self,
        now: MonoTime,
        plan: &Plan,
        tried: &[ServerId],
        now_at: &ServerId,
    ) -> bool {
        let mut left = self.left(now, plan, tried);
        left.any(|k| &k.announcement.id != now_at)
    }

    /// Returns whether any backend server takes a request now, of those that had not
    /// their turn.
    pub fn has_room(&self, now: MonoTime, plan: &Plan, tried: &[ServerId]) -> bool {
        self.left(now, plan, tried).next().is_some()
    }

    /// Iterates over the backend servers that may run a request now, without those that
    /// had their turn.
    fn left<'a>(
        &'a self,
        now: MonoTime,
        plan: &'a Plan,
        tried: &'a [ServerId],
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let allowed = self.allowed(plan);
        let open = self.open(&plan.service);
        open.filter(move |k| {
            let id = &k.announcement.id;
            !tried.contains(id) && allowed.has(&k.announcement.version) && self.takes(now, id)
        })
    }

    /// Iterates over the backend servers of a service that take work, in failure
    /// domains that are not evacuated.
    pub(super) fn open<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let groups = self.open_groups(service);
        groups.flat_map(|g| self.directory.members(&g, Window::ALL))
    }

    /// Iterates over the same in groups.
    pub(super) fn open_groups<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = ServerGroup<'a>> + 'a {
        let groups = self.directory.groups(service);
        groups.filter(|g| self.orders.admit(g.domain))
    }

    /// Returns the share of the slots of a plan's service that are taken, at as many
    /// backend servers as a choice is made among.
    pub fn taken(&self, now: MonoTime, plan: &Plan) -> f64 {
        let window = self.window(plan, None, &self.allowed(plan), CANDIDATES);
        let groups = self.open_groups(&plan.service);
        let members = groups.flat_map(|g| self.directory.members(&g, window));
        let servers: Vec<&ServerRecord> = members.collect();
        self.balance.taken(now, &servers)
    }

    /// Returns the part of the key space that holds about `most` backend servers which
    /// may run a request. All entries have the same for what shares a prompt.
    fn window(&self, plan: &Plan, model: Option<&str>, allowed: &Allowed, most: usize) -> Window {
        let point = affinity(plan, model).map_or(plan.seed, |a| hash::name(&a.key.to_le_bytes()));
        let groups = self.open_groups(&plan.service);
        let groups = groups.filter(|g| allowed.has(g.version));
        Window::new(point as ServerKey, most, groups.map(|g| g.count()).sum())
    }

    /// Returns why no backend server may run a request.
    fn unserved(&self, plan: &Plan) -> Unserved {
        let is_known = self.directory.groups(&plan.service).next().is_some();
        let is_open = self.open_groups(&plan.service).next().is_some();
        match (is_known, is_open) {
            (false, _) => Unserved::Unknown,
            (true, false) => Unserved::Evacuated,
            (true, true) => Unserved::NoneLeft,
        }
    }

    /// Leaves the warm ones; or, where none is left that can be reached or they are
    /// pressed, the cold ones at which this entry has a turn.
    ///
    /// In a failure domain that came back, backend servers got up to 30 requests in a
    /// second of 74 entries, as they were idle, and those that got most crashed.
    fn keep_warm(
        &self,
        now: MonoTime,
        fit: &mut Vec<&ServerRecord>,
        limits: Option<&ColdConfig>,
        tried: &[ServerId],
    ) {
        let Some(limits) = limits else {
            return;
        };
        let is_cold = |k: &ServerRecord| self.cold.is_cold(now, k, Some(limits));
        let has_turn = |k: &&ServerRecord| {
            is_cold(k)
                && !tried.contains(&k.announcement.id)
                && self.cold.has_turn(now, &k.announcement.id, limits)
        };
        if !fit.iter().any(|k| is_cold(k)) {
            return;
        }
        let serves = |k: &&&ServerRecord| {
            !is_cold(k) && !tried.contains(&k.announcement.id) && self.balance.reaches(now, k)
        };
        let warm: Vec<&ServerRecord> = fit.iter().filter(serves).copied().collect();
        let is_pressed = warm.is_empty() || self.balance.taken(now, &warm) >= cold::PRESSED;
        if is_pressed && fit.iter().any(has_turn) {
            fit.retain(has_turn);
        } else {
            fit.retain(|k| !is_cold(k));
        }
    }
}

/// Returns what a plan's request shares with others that ask the same model.
fn affinity(plan: &Plan, model: Option<&str>) -> Option<Affinity> {
    plan.shared.map(|part| Affinity {
        key: part.id ^ hash::name(model.unwrap_or_default().as_bytes()),
        tokens: part.tokens,
    })
}

/// Returns what a cold backend server of a plan's service bears, if that is limited.
fn cold_limits(plan: &Plan) -> Option<&ColdConfig> {
    let service = plan.table.config().service(&plan.service);
    service.and_then(|s| s.cold.as_ref())
}
