//! The configuration in force at an entry: fleet file, live state and lease.

use indexmap::{
    IndexMap,
    IndexSet, //
};

use smol_str::SmolStr;

use super::Faults;
use crate::{
    fleet::{
        Class,
        Fleet,
        Organisation,
        Pool,
        PoolKind,
        Rollout,
        Version,
        VersionState,
        WhenCut, //
    },
    ids::{
        ClassId,
        Digest,
        MonoTime,
        OrgId,
        PoolId,
        Revision,
        VersionId, //
    },
    message::{
        command::RolloutState,
        control::{
            FleetChange,
            LiveState,
            Update, //
        }, //
    },
};

/// Availability of a version to an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// Fully rolled out.
    Settled,
    /// Rolling out, to this share of eligible requests.
    Rolling(f64),
    /// Held fleet-wide because of evidence: only existing sessions use it.
    Held,
    /// Rolling out, while this entry does not hold the configuration lease.
    CutOff,
    /// Withdrawn, or no longer in the fleet file.
    Withdrawn,
    /// Not on the organisation's list.
    NotAllowed,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Revision of the fleet file; 0 before the first.
    revision: Revision,
    /// The fleet file.
    fleet: Fleet,
    /// State that is not part of the fleet file.
    live: LiveState,
    /// Expiry of the configuration lease; `None` before the first.
    lease_until: Option<MonoTime>,
    /// Positions by name, for constant-time look-ups.
    index: Index,
    /// Safeguards disabled by tests.
    faults: Faults,
}

#[derive(Clone, Debug, Default)]
struct Index {
    orgs: IndexMap<OrgId, (usize, IndexSet<VersionId>)>,
    keys: IndexMap<SmolStr, usize>,
    classes: IndexMap<ClassId, usize>,
    pools: IndexMap<PoolId, usize>,
    versions: IndexMap<VersionId, (usize, usize)>,
    rollouts: IndexMap<VersionId, usize>,
    quarantine: IndexSet<Digest>,
}

impl ConfigView {
    /// Creates an empty view.
    pub(super) fn new(faults: Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the fleet file in force.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the state that is not part of the fleet file.
    pub fn live(&self) -> &LiveState {
        &self.live
    }

    /// Applies an update. Returns whether anything changed.
    ///
    /// A delayed reply may carry an older configuration than the one in force.
    /// Applying it would let a withdrawn version run again, so the revisions of
    /// the fleet file and of the live state never decrease.
    pub fn take(&mut self, update: Update) -> bool {
        let mut new = false;
        let reverts = self.faults.revert_config;
        if (update.revision > self.revision || reverts)
            && let Some(fleet) = update.fleet.and_then(|change| self.changed(change))
        {
            self.fleet = fleet;
            self.revision = update.revision;
            new = true;
        }
        if let Some(live) = update.live
            && (live.at > self.live.at || reverts)
        {
            self.live = live;
            new = true;
        }
        if new {
            self.index = Index::of(&self.fleet, &self.live);
        }
        new
    }

    /// Extends the configuration lease.
    pub fn renew(&mut self, until: MonoTime) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Returns whether the configuration lease is held.
    pub fn lease_held(&self, now: MonoTime) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        let (at, _) = self.index.orgs.get(name)?;
        self.fleet.organisations.get(*at)
    }

    /// Finds an organisation by the SHA-256 hash of its API key.
    pub fn organisation_by_key(&self, key_sha256: &str) -> Option<&Organisation> {
        let at = self.index.keys.get(key_sha256)?;
        self.fleet.organisations.get(*at)
    }

    /// Finds a class by name, or without a name the first class of a service (of
    /// models for `None`).
    pub fn class(&self, name: Option<&str>, service: Option<&str>) -> Option<&Class> {
        match name {
            Some(name) => self
                .index
                .classes
                .get(name)
                .and_then(|at| self.fleet.classes.get(*at)),
            None => self
                .fleet
                .classes
                .iter()
                .find(|class| class.service.as_deref() == service),
        }
    }

    /// Finds a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.fleet.pools.get(*self.index.pools.get(name)?)
    }

    /// Finds a pool of plain services.
    pub fn service(&self, name: &str) -> Option<&Pool> {
        self.pool(name)
            .filter(|pool| pool.kind == PoolKind::Service)
    }

    /// Finds a version and its pool.
    pub fn version(&self, full: &str) -> Option<(&Version, &PoolId)> {
        let (model, version) = *self.index.versions.get(full)?;
        let model = self.fleet.models.get(model)?;
        Some((model.versions.get(version)?, &model.pool))
    }

    /// Finds the rollout of a version.
    pub fn rollout(&self, full: &str) -> Option<&Rollout> {
        self.fleet.rollouts.get(*self.index.rollouts.get(full)?)
    }

    /// Returns whether a request fingerprint is quarantined.
    pub fn quarantined(&self, digest: Digest) -> bool {
        self.index.quarantine.contains(&digest)
    }

    /// Returns the availability of a version to an organisation.
    pub fn availability(&self, now: MonoTime, org: &str, full: &str) -> Availability {
        let Some((at, allowed)) = self.index.orgs.get(org) else {
            return Availability::NotAllowed;
        };
        if !allowed.contains(full) && !self.faults.any_version {
            return Availability::NotAllowed;
        }
        let Some((version, _)) = self.version(full) else {
            return Availability::Withdrawn;
        };
        match version.state {
            VersionState::Withdrawn => Availability::Withdrawn,
            _ if self.live.held.iter().any(|held| held == full) => Availability::Held,
            VersionState::Settled => Availability::Settled,
            VersionState::Rolling => self.rolling(now, *at, full),
        }
    }

    /// Returns the availability of a version that is rolling out.
    ///
    /// Such a version is more likely to be withdrawn, and an entry behind a
    /// network partition would not learn of it. It is therefore unavailable
    /// once the lease has expired, unless the organisation opts out.
    fn rolling(&self, now: MonoTime, org: usize, full: &str) -> Availability {
        let when_cut = self.fleet.organisations[org].when_cut;
        if !self.lease_held(now) && when_cut == WhenCut::SettledOnly {
            return Availability::CutOff;
        }
        let Some(view) = self.live.rollouts.iter().find(|r| r.version == full) else {
            return Availability::Rolling(0.0);
        };
        match view.state {
            RolloutState::Done => Availability::Settled,
            RolloutState::Held => Availability::Held,
            RolloutState::Loading => Availability::Rolling(0.0),
            RolloutState::At(_) => Availability::Rolling(view.share),
        }
    }

    /// Returns the versions that an organisation may use, in the order of its list.
    pub fn allowed(&self, org: &str) -> impl Iterator<Item = &VersionId> {
        let listed = self.index.orgs.get(org).map(|(_, set)| set.iter());
        let every = self.faults.any_version.then(|| self.index.versions.keys());
        let listed = listed.into_iter().flatten();
        listed.chain(every.into_iter().flatten())
    }

    fn changed(&self, change: FleetChange) -> Option<Fleet> {
        match change {
            FleetChange::Whole(fleet) => Some(*fleet),
            FleetChange::Delta(delta) if delta.base == self.revision => {
                crate::state::delta::apply(&self.fleet, &delta).ok()
            }
            // A delta for another base cannot be applied; the next renewal
            // names the current revision and returns a matching one.
            FleetChange::Delta(_) => None,
        }
    }
}

impl Index {
    fn of(fleet: &Fleet, live: &LiveState) -> Self {
        let mut index = Self {
            quarantine: live.quarantine.iter().copied().collect(),
            ..Self::default()
        };
        for (at, org) in fleet.organisations.iter().enumerate() {
            let allowed = org.allow.iter().cloned().collect();
            index.orgs.insert(org.name.clone(), (at, allowed));
            index.keys.insert(org.key_sha256.clone(), at);
        }
        for (at, class) in fleet.classes.iter().enumerate() {
            index.classes.insert(class.name.clone(), at);
        }
        for (at, pool) in fleet.pools.iter().enumerate() {
            index.pools.insert(pool.name.clone(), at);
        }
        for (m, model) in fleet.models.iter().enumerate() {
            for (v, version) in model.versions.iter().enumerate() {
                let full = crate::ids::join_version(&model.name, &version.name);
                index.versions.insert(full, (m, v));
            }
        }
        for (at, rollout) in fleet.rollouts.iter().enumerate() {
            index.rollouts.insert(rollout.version.clone(), at);
        }
        index
    }
}
