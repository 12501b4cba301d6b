//! Tests of the control core with three replicas, one file per feature.

mod claims;
mod group;
mod leases;
mod orders;
mod requests;
mod rollouts;
mod schedules;
mod verdicts;
