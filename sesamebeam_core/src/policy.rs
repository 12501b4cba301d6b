//! Per-request decisions, as plain structs without I/O.
//!
//! An entry consults them in this order: the set of allowed versions
//! ([`exposure`]), the session pin, the plan ([`plan`], based on [`quality`]),
//! admission ([`admission`]) and the backend server ([`balance`], based on the
//! membership in [`servers`]). After an attempt follow [`retry`] and
//! [`suspects`]; [`burn`] tracks the service-level objectives. The current time
//! is passed in as [`MonoTime`](crate::ids::MonoTime).

pub mod admission;
pub mod backoff;
pub mod balance;
pub mod body_room;
pub mod burn;
pub mod connections;
pub mod exposure;
pub mod hash;
pub mod link_load;
pub mod link_rate;
pub mod open_connections;
pub mod plan;
pub mod quality;
pub mod queue_delay;
pub mod reads;
pub mod retry;
pub mod round_trips;
pub mod servers;
pub mod slot_window;
pub mod stalls;
pub mod suspects;
pub mod virtual_times;

/// Settings of all decisions, each with a switch that disables it.
///
/// Ablation experiments disable one decision at a time to measure its effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// Quality estimates of versions.
    pub quality: quality::QualityConfig,
    /// Selection of versions and cascades.
    pub plan: plan::PlanConfig,
    /// Staged exposure of versions during rollouts, and automatic holds.
    pub exposure: exposure::ExposureConfig,
    /// Load balancing over backend servers.
    pub balance: balance::BalanceConfig,
    /// Admission queues and fair sharing.
    pub admission: admission::AdmissionConfig,
    /// Retry and hedging budgets.
    pub retry: retry::RetryConfig,
    /// Detection of requests that crash backend servers.
    pub suspects: suspects::SuspectsConfig,
    /// Membership of backend servers.
    pub servers: servers::ServersConfig,
}
