//! The decisions on one request, as plain structs without I/O.
//!
//! An entry asks them in this order: the allowed set ([`exposure`]), the session
//! pin, the plan ([`plan`] on [`quality`]), admission ([`admission`]) and the
//! backend server ([`balance`] on the membership of [`servers`]). After an
//! attempt come [`retry`] and [`suspects`]; [`burn`] keeps the objectives.
//! Time is passed in as [`MonoTime`](crate::ids::MonoTime).

pub mod admission;
pub mod backoff;
pub mod balance;
pub mod burn;
pub mod exposure;
pub mod hash;
pub mod plan;
pub mod quality;
pub mod retry;
pub mod servers;
pub mod suspects;

/// Settings of every decision, each with the switch that turns it off.
///
/// The experiment turns off one at a time to show what it brings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// Posteriors of quality.
    pub quality: quality::QualityConfig,
    /// Choice among versions and cascades.
    pub plan: plan::PlanConfig,
    /// Trust in versions.
    pub exposure: exposure::ExposureConfig,
    /// Choice of a backend server.
    pub balance: balance::BalanceConfig,
    /// Queues and fair shares.
    pub admission: admission::AdmissionConfig,
    /// Budgets of retries and hedges.
    pub retry: retry::RetryConfig,
    /// Requests that crash backend servers.
    pub suspects: suspects::SuspectsConfig,
    /// Membership of backend servers.
    pub servers: servers::ServersConfig,
}
