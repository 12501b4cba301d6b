//! Deterministic state machines that make the decisions of sesamebeam.
//!
//! This crate performs no I/O: it opens no socket, reads no file, starts no
//! timer and reads no clock. Each core maps `(now, event)` to a list of actions,
//! so that a test harness can drive it with a simulated clock, network and disk.

pub mod control;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod message;
pub mod policy;
pub mod replica;
pub mod state;
