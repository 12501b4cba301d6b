//! Routing by host and path, and the state that the control group keeps for it.

mod backoff;
mod balance;
mod budget;
mod cascade;
mod choosing;
mod cold;
mod config;
mod connections;
mod crashes;
mod digests;
mod directory;
mod evacuations;
mod fixtures;
mod group;
mod joining;
mod limits;
mod outliers;
mod plays;
mod publisher;
mod requests;
mod rollouts;
mod router;
mod seeds;
mod shortage;
mod subscription;
mod table;
