//! I/O layer of sesamebeam around the deterministic state machines of
//! `sesamebeam_core`: sockets, files, timers, settings, logs and keys.

pub mod cli;
pub mod client;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod disk;
pub mod entry;
pub mod exposition;
pub mod fleet_file;
pub mod frames;
pub mod gateway;
pub mod group;
pub mod http;
pub mod intake;
pub mod keys;
pub mod limit;
pub mod link;
pub mod listen;
pub mod local;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod toml_file;
pub mod watchdog;
