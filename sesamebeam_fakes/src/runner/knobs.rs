//! What a test turns on a runner while it runs.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use sesamebeam_core::ids::VersionId;

use super::config::RunnerConfig;

/// Faults and speeds that outlast a restart.
#[derive(Clone, Debug)]
pub(crate) struct Knobs {
    /// Versions whose answers are poor.
    pub(crate) bad: BTreeSet<VersionId>,
    /// Texts that crash the runner when a prompt holds one.
    pub(crate) killers: BTreeSet<String>,
    /// Events after which each answer's connection is cut.
    pub(crate) cut_after: Option<usize>,
    /// Time between two tokens when nothing else runs.
    pub(crate) token_delay: Duration,
    /// Pause that the runner asks for as it refuses all new work with 503; none while it
    /// takes it.
    pub(crate) refuses: Option<Duration>,
}

impl Knobs {
    /// Begins without faults.
    pub(crate) fn new(cfg: &RunnerConfig) -> Self {
        Self {
            bad: BTreeSet::new(),
            killers: BTreeSet::new(),
            cut_after: None,
            token_delay: cfg.token_delay,
            refuses: None,
        }
    }

    /// Whether a prompt crashes the runner.
    pub(crate) fn kills(&self, prompt: &str) -> bool {
        self.killers.iter().any(|text| prompt.contains(text))
    }
}
