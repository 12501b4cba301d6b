//! Tests of the replicated state, one file per feature.

mod billing;
mod claims;
mod crashes;
mod deltas;
mod fixtures;
mod pins;
mod retention;
mod rollouts;
mod verdicts;
