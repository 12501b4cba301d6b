//! Small fakes of what stands round the system: model engine, plain service,
//! rating service and weight store.
//!
//! Each fake is a server on the loopback interface with a typed configuration
//! and a handle. The handle brings about failures and keeps books of what the
//! fake really did, so that a test can prove that a request ran at most once.
//!
//! ```
//! use sesamebeam_fakes::{Runner, RunnerConfig, client, expected_answer_of};
//! use tokio_util::sync::CancellationToken;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let stop = CancellationToken::new();
//! let cfg = RunnerConfig {
//!     versions: vec!["beam@v7".into()],
//!     ..RunnerConfig::default()
//! };
//! let runner = Runner::start(cfg, stop.clone()).await?;
//! let req = client::Call::chat("beam@v7", "where is lock 4?", 8, true).request_id(1);
//! let reply = client::call(runner.addr(), req).await?;
//! let text = client::text_of(&reply.events());
//! assert_eq!(text, expected_answer_of("beam@v7", "where is lock 4?", 8));
//! assert_eq!(runner.books().request(1).started, 1);
//! stop.cancel();
//! # Ok(())
//! # }
//! ```

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
    config::ServiceConfig, //
};
pub use weights::{
    WeightStore,
    WeightsConfig, //
};
