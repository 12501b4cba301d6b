//! The edges of sesamebeam: sockets, files, timers, settings, logs and keys
//! round the core that decides.

pub mod disk;
pub mod fleet_file;
pub mod keys;
pub mod limit;
pub mod link;
pub mod settings;
pub mod toml_file;
