//! Messages between processes.
//!
//! [`wire`] encodes them. Messages do not identify their sender, which is known
//! from the certificate of the connection.

pub mod command;
pub mod control;
pub mod entry;
pub mod peer;
pub mod record;
pub mod server;
pub mod wire;
