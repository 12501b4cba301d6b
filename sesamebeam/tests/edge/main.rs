//! The edges in this process: a whole fleet on loopback without the processes.

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
