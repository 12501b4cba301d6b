//! The deployments that the replay runs: fleet file, traffic, true qualities.

use serde::Deserialize;
use sesamebeam_core::{
    fleet::Fleet,
    ids::{
        ClassId,
        OrgId,
        VersionId, //
    },
};
use smol_str::SmolStr;
use thiserror::Error;

const HUALLAGA: &str = include_str!("../../deployments/huallaga.toml");
const VAZNA: &str = include_str!("../../deployments/vazna.toml");

/// Why a deployment cannot be replayed.
#[derive(Debug, Error)]
pub(crate) enum DeploymentError {
    /// There is none of that name.
    #[error("unknown deployment `{0}`; known are huallaga and vazna")]
    Unknown(SmolStr),
    /// Its file does not parse.
    #[error("deployment file: {0}")]
    File(#[from] toml::de::Error),
}

/// A deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Deployment {
    /// Its fleet file.
    pub(crate) fleet: Fleet,
    /// Share of the traffic of each organisation.
    pub(crate) demand: Vec<Demand>,
    /// Traffic of each class.
    pub(crate) traffic: Vec<Traffic>,
    /// True quality of each version.
    pub(crate) truth: Vec<Truth>,
}

/// Share of the traffic that one organisation makes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Demand {
    pub(crate) organisation: OrgId,
    pub(crate) share: f64,
}

/// Traffic of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Traffic {
    pub(crate) class: ClassId,
    /// Share of the requests.
    pub(crate) share: f64,
    /// Mean tokens of an answer; milliseconds of work for a plain service are
    /// ten times as many.
    pub(crate) tokens: f64,
    /// Mean tokens of a prompt.
    pub(crate) prompt: f64,
    /// Share of the requests that belong to a session.
    pub(crate) sessions: f64,
}

/// True quality of one version in one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Truth {
    pub(crate) class: ClassId,
    pub(crate) version: VersionId,
    pub(crate) quality: f64,
}

impl Deployment {
    /// Finds a deployment by name.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name or its file does not parse.
    pub(crate) fn load(name: &str) -> Result<Self, DeploymentError> {
        let text = match name {
            "huallaga" => HUALLAGA,
            "vazna" => VAZNA,
            other => return Err(DeploymentError::Unknown(other.into())),
        };
        Ok(toml::from_str(text)?)
    }

    /// Gives the true quality of a version in a class.
    pub(crate) fn quality(&self, class: &str, version: &str) -> f64 {
        self.truth
            .iter()
            .find(|truth| truth.class == class && truth.version == version)
            .map_or(1.0, |truth| truth.quality)
    }

    /// Gives the full names of all versions, cheapest first, with their costs.
    pub(crate) fn versions(&self) -> Vec<(VersionId, f64)> {
        let mut versions: Vec<(VersionId, f64)> = self
            .fleet
            .models
            .iter()
            .flat_map(|m| m.versions.iter().map(move |v| (m, v)))
            .map(|(m, v)| (sesamebeam_core::ids::join_version(&m.name, &v.name), v.cost))
            .collect();
        versions.sort_by(|a, b| a.1.total_cmp(&b.1));
        versions
    }

    /// Gives the engines in one failure domain.
    pub(crate) fn engines_near(&self) -> usize {
        if self.fleet.name == "vazna" { 6 } else { 3 }
    }

    /// Gives the quality target of a class; none for plain services.
    pub(crate) fn target(&self, class: &str) -> Option<f64> {
        let targets = &self.fleet.organisations[0].targets;
        let target = targets.iter().find(|target| target.class == class)?;
        (target.quality > 0.0).then_some(target.quality)
    }
}
