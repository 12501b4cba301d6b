//! Tests of the control core: three replicas, one file a feature.

mod claims;
mod group;
mod leases;
mod orders;
mod requests;
mod rollouts;
mod schedules;
mod verdicts;
