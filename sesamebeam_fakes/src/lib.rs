//! Small fakes of what stands round the system: model engine, plain service,
//! rating service and weight store.
//!
//! Each fake is a server on the loopback interface with a typed configuration
//! and a handle. The handle brings about failures and keeps books of what the
//! fake really did, so that a test can prove that a request ran at most once.

pub mod announce;
pub mod answer;
pub mod client;
pub mod error;
pub mod rating;
pub mod runner;
pub mod service;
pub mod weights;

mod gate;
mod reply;
mod site;

pub use announce::AnnounceConfig;
pub use answer::{
    expected_answer,
    expected_answer_of, //
};
pub use error::FakeError;
pub use rating::{
    RatingConfig,
    RatingService, //
};
pub use runner::{
    Runner,
    config::RunnerConfig, //
};
pub use service::{
    Service,
    ServiceConfig, //
};
pub use weights::{
    WeightStore,
    WeightsConfig, //
};
