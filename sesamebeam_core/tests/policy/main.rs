//! Tests of the decisions, one file a feature.

mod admission;
mod bad_input;
mod balance;
mod burn;
mod exposure;
mod make;
mod plan;
mod quality;
mod retries;
mod servers;
mod suspects;
