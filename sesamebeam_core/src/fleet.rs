//! The fleet file, which operators write and the system applies as a whole.
//!
//! The types deserialise from TOML with defaults. Serde rejects unknown keys;
//! [`check`] validates keys that depend on each other.

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

/// Contents of a fleet file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the fleet; informational.
    pub name: SmolStr,
    /// Failure domains of instances and backend servers.
    pub domains: Vec<DomainId>,
    /// Pools of backend servers.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Models with their versions.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Classes of requests.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Organisations and the versions that they may use.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// Rollouts of versions.
    #[serde(default, rename = "rollout")]
    pub rollouts: Vec<Rollout>,
}

/// Kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that answer chat completions.
    Engine,
    /// Plain services without versions.
    Service,
}

/// A pool of backend servers of the same kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool in the announcements of its backend servers.
    pub name: PoolId,
    /// Kind of the backend servers.
    pub kind: PoolKind,
    /// Whether the engines reject an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the service supports looking up calls by request identifier.
    #[serde(default)]
    pub lookup: bool,
    /// Number of requests that one backend server runs concurrently before it
    /// queues further ones.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// A model and its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelId,
    /// Pool whose backend servers load the model.
    pub pool: PoolId,
    /// Versions of the model.
    #[serde(default, rename = "version")]
    pub versions: Vec<Version>,
}

/// State of a version as declared by the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// In full use.
    #[default]
    Settled,
    /// Being rolled out; receives only the share of work of its current
    /// rollout step.
    Rolling,
    /// Accepts no new work.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version, unique within the model.
    pub name: SmolStr,
    /// State of the version.
    #[serde(default)]
    pub state: VersionState,
    /// Cost per 1000 generated tokens, in an arbitrary unit common to the
    /// fleet.
    pub cost: f64,
    /// Expected share of good answers before any answer is rated (0 to 1).
    #[serde(default = "default_prior")]
    pub prior: f64,
    /// Size of the weights in bytes, used for pacing loads.
    #[serde(default)]
    pub weight_bytes: u64,
}

/// Priority of a class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all other work; for example, a confirmation.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// May be queued until its deadline.
    Deferrable,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, sent by callers in the `x-class` header.
    pub name: ClassId,
    /// Pool of plain services that serves the class; `None` for requests to
    /// models.
    #[serde(default)]
    pub service: Option<PoolId>,
    /// Whether requests can safely be repeated.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Priority of the class.
    #[serde(default)]
    pub priority: Priority,
    /// Time from arrival until the complete answer is due.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub deadline: Duration,
    /// Whether the answer of a cheap version may be rated and, if it is bad,
    /// replaced by that of a stronger version.
    #[serde(default)]
    pub cascade: bool,
}

/// An organisation and the versions that it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrgId,
    /// Hex SHA-256 digest of the API key of its callers.
    pub key_sha256: SmolStr,
    /// Full names of the versions that it may use.
    pub allow: Vec<VersionId>,
    /// Weight in fair sharing of capacity.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Objectives by class of requests.
    #[serde(default, rename = "target")]
    pub targets: Vec<Target>,
    /// Whether versions in a rollout are used after the configuration lease
    /// has ended in a failure domain behind a network partition.
    #[serde(default)]
    pub when_cut: WhenCut,
}

/// Versions that an organisation may use in a failure domain behind a network partition.
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
    /// Maximum latency for the share `latency_share` of the answers.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub latency: Duration,
    /// Share of answers within `latency` (0 to 1).
    #[serde(default = "default_objective")]
    pub latency_share: f64,
    /// Share of requests that must be answered completely within their deadline
    /// (0 to 1).
    #[serde(default = "default_objective")]
    pub whole: f64,
}

/// A rollout of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Full name of the version that is rolled out.
    pub version: VersionId,
    /// Share of eligible requests at each step, increasing up to 1.
    pub steps: Vec<f64>,
    /// Number of rated answers required at each step before the next one.
    #[serde(default = "default_gate")]
    pub gate: u32,
    /// Minimum time at each step.
    #[serde(with = "humantime_serde", default = "default_dwell")]
    pub dwell: Duration,
    /// Number of backend servers that should load the version.
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

    /// Finds the rollout of a version.
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
