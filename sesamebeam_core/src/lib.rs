//! The decisions of sesamebeam as deterministic state machines.
//!
//! Nothing here opens a socket, reads a file, starts a timer or reads a clock.
//! Each core takes `(now, event)` and answers with a list of actions, so that
//! any harness can drive it with its own clock, network and disk.

pub mod control;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod message;
pub mod policy;
pub mod replica;
pub mod state;
