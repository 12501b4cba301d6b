//! The fleet file: what operators declare and the system applies as a whole.
//!
//! These are plain typed structs with defaults. Unknown keys are refused by
//! serde; what one key says about another is checked by [`check`].

pub mod check;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::ids::{
    ClassId,
    DomainId,
    ModelId,
    OrgId,
    PoolId,
    VersionId, //
};

/// A whole fleet file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the fleet, for people.
    pub name: SmolStr,
    /// Failure domains in which instances and backend servers run.
    pub domains: Vec<DomainId>,
    /// Pools of backend servers, by the name that they announce.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Models with their versions.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Classes of requests.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Organisations with what they may use.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// Roll-outs under way.
    #[serde(default, rename = "rollout")]
    pub rollouts: Vec<Rollout>,
}

/// What stands behind a pool's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that answer chat completions.
    Engine,
    /// Plain services without versions.
    Service,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name that the backend servers announce.
    pub name: PoolId,
    /// What stands behind the addresses.
    pub kind: PoolKind,
    /// Whether the engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a service offers a look-up of calls by request id.
    #[serde(default)]
    pub lookup: bool,
    /// Requests that one backend server runs side by side before it queues.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// A model and its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelId,
    /// Pool whose backend servers load it.
    pub pool: PoolId,
    /// Versions of the model.
    #[serde(default, rename = "version")]
    pub versions: Vec<Version>,
}

/// Life of a version as the operator declares it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// In full use.
    #[default]
    Settled,
    /// Being rolled out: takes work only as far as its roll-out has come.
    Rolling,
    /// Takes no new work.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name within the model.
    pub name: SmolStr,
    /// Life of the version.
    #[serde(default)]
    pub state: VersionState,
    /// Cost of 1000 generated tokens, in the fleet's own unit.
    pub cost: f64,
    /// Expected share of answers that are good, before any rating (0 to 1).
    #[serde(default = "default_prior")]
    pub prior: f64,
    /// Size of the weights in bytes, for pacing loads.
    #[serde(default)]
    pub weight_bytes: u64,
}

/// How urgent a class of requests is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Goes ahead of all else, such as a confirmation.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// May wait in a queue until its deadline.
    Deferrable,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, shown by callers in the `x-class` header.
    pub name: ClassId,
    /// Pool of plain services that serves the class; none for model work.
    #[serde(default)]
    pub service: Option<PoolId>,
    /// Whether a repeat does no harm.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// How urgent the class is.
    #[serde(default)]
    pub priority: Priority,
    /// Time from arrival until the whole answer is due.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub deadline: Duration,
    /// Whether a cheap answer may be rated and redone by a stronger version.
    #[serde(default)]
    pub cascade: bool,
}

/// An organisation and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrgId,
    /// Hex SHA-256 of the key that its callers show.
    pub key_sha256: SmolStr,
    /// Versions it may use, by full name.
    pub allow: Vec<VersionId>,
    /// Weight in the fair sharing of capacity.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Objectives for classes of requests.
    #[serde(default, rename = "target")]
    pub targets: Vec<Target>,
    /// Whether versions still rolling out are used after the configuration
    /// lease has ended in a failure domain that is cut off.
    #[serde(default)]
    pub when_cut: WhenCut,
}

/// What an organisation lets a cut-off failure domain use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenCut {
    /// Only versions that were settled in the last known configuration.
    #[default]
    SettledOnly,
    /// Every version that the last known configuration allows.
    AllAllowed,
}

/// Objectives of an organisation for one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Class of requests.
    pub class: ClassId,
    /// Share of answers that must be good (0 to 1).
    #[serde(default)]
    pub quality: f64,
    /// Confidence at which the quality target must be met (0 to 1).
    #[serde(default = "default_confidence")]
    pub confidence: f64,
    /// Latency that `latency_share` of the answers must keep.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub latency: Duration,
    /// Share of answers within `latency` (0 to 1).
    #[serde(default = "default_objective")]
    pub latency_share: f64,
    /// Share of requests answered whole within their deadline (0 to 1).
    #[serde(default = "default_objective")]
    pub whole: f64,
}

/// A roll-out of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Version that is rolled out, by full name.
    pub version: VersionId,
    /// Shares of eligible requests, one a step, growing up to 1.
    pub steps: Vec<f64>,
    /// Rated answers that each step needs before the next.
    #[serde(default = "default_gate")]
    pub gate: u32,
    /// Shortest time at each step.
    #[serde(with = "humantime_serde", default = "default_dwell")]
    pub dwell: Duration,
    /// Backend servers that should have the version loaded.
    #[serde(default = "default_copies")]
    pub copies: u32,
}

impl Fleet {
    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|org| org.name == name)
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Finds a version by its full name, with its model.
    pub fn version(&self, full: &str) -> Option<(&Model, &Version)> {
        let (model, version) = crate::ids::split_version(full)?;
        let model = self.models.iter().find(|m| m.name == model)?;
        let version = model.versions.iter().find(|v| v.name == version)?;
        Some((model, version))
    }

    /// Finds the roll-out of a version.
    pub fn rollout(&self, full: &str) -> Option<&Rollout> {
        self.rollouts.iter().find(|r| r.version == full)
    }
}

fn default_true() -> bool {
    true
}

fn default_slots() -> u32 {
    32
}

fn default_prior() -> f64 {
    0.5
}

fn default_share() -> f64 {
    1.0
}

fn default_confidence() -> f64 {
    0.9
}

fn default_objective() -> f64 {
    0.99
}

fn default_gate() -> u32 {
    40
}

fn default_copies() -> u32 {
    1
}

fn default_deadline() -> Duration {
    Duration::from_secs(30)
}

fn default_dwell() -> Duration {
    Duration::from_secs(60)
}
