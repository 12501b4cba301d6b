//! Tests of the replicated state, one file a feature.

mod billing;
mod claims;
mod crashes;
mod deltas;
mod make;
mod pins;
mod retention;
mod rollouts;
mod verdicts;
