//! The daemons as processes of their own on loopback, with fakes in the test.

mod caller;
mod fleet;
mod freezes;
mod kills;
mod path;
mod replicas;
mod silence;
mod stops;
mod streaming;
