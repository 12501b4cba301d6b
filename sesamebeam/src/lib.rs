//! The edges of sesamebeam and its thin daemons.

pub mod disk;
//! The edges of sesamebeam: sockets, files, timers, settings, logs and keys
//! round the core that decides.

pub mod keys;
pub mod limit;
pub mod link;
