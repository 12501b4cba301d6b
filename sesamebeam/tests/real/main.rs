//! Tests with the daemons as separate processes on loopback and the fake backend
//! servers in the test process.

mod caller;
mod fleet;
mod freezes;
mod kills;
mod path;
mod replicas;
mod silence;
mod stops;
mod streaming;
