//! Tests of the policy module, one file per feature.

mod admission;
mod bad_input;
mod balance;
mod body_room;
mod burn;
mod connections;
mod exposure;
mod fixtures;
mod link_load;
mod open_connections;
mod plan;
mod quality;
mod retries;
mod servers;
mod suspects;
