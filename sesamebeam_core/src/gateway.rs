//! Routing by host and path to the backend servers of declared services.
//!
//! The decisions of an entry that passes requests through unchanged: which
//! route, which model, which backend server, whether to try again, and how far
//! a new version is trusted; and the state that the control group replicates
//! for it.

pub mod backoff;
pub mod balance;
pub mod budget;
pub mod cascade;
pub mod cold;
pub mod config;
pub mod connections;
pub mod coordinator;
pub mod crashes;
pub mod digests;
pub mod directory;
pub mod entry_count;
pub mod leader_discovery;
mod lengths;
pub mod limits;
pub mod loads;
pub mod messages;
mod paths;
mod pause;
pub mod pool;
mod reading;
pub mod request;
pub mod rollout;
pub mod router;
pub mod sessions;
pub mod shortage;
pub mod store;
pub mod subscription;
mod suspects;
pub mod table;
mod tallies;
pub mod waits;
