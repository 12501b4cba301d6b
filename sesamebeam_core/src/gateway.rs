//! Routing by host and path to the backend servers of declared services.
//!
//! Contains the decisions of an entry that forwards requests unchanged: the choice of
//! route, model and backend server, retries, and the exposure of new versions. Also
//! contains the state that the control group replicates for these decisions.

pub mod backoff;
pub mod balance;
pub mod cascade;
pub mod cold;
pub mod config;
pub mod connections;
pub mod coordinator;
pub mod crash_watch;
pub mod crashes;
pub mod digests;
pub mod directory;
pub mod engines;
pub mod entry_count;
pub mod fatal_parts;
pub mod forwarding;
mod isolation;
pub mod leader_discovery;
pub mod limits;
pub mod loads;
pub mod messages;
pub mod outliers;
mod prefill;
mod prompt_lengths;
pub mod quarantine;
mod reachability;
pub mod request;
pub mod request_sends;
mod response_counts;
pub mod response_times;
pub mod retry_budget;
mod retry_delay;
pub mod rollout;
pub mod router;
pub mod server_leases;
pub mod sessions;
pub mod shortage;
pub mod store;
pub mod subscription;
pub mod table;
pub mod waits;
