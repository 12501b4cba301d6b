//! Tests of a complete fleet on loopback within the test process.

mod bad_input;
#[path = "../real/caller.rs"]
mod caller;
mod cascades;
mod deployments;
mod killers;
mod pauses;
mod rollouts;
mod serving;
mod sessions;
