//! HTTP pieces that the edges share.

pub mod client;
pub mod problem;
pub mod sse;
