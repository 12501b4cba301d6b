//! Tests of the replicated state, one file a feature.

mod billing;
mod claims;
mod make;
mod pins;
