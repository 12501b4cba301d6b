//! Messages between the processes, as typed enums.
//!
//! [`wire`] encodes them. A message says nothing about connections: who sent it
//! is known from the certificate of the connection it came on.

pub mod command;
pub mod control;
pub mod entry;
pub mod peer;
pub mod record;
pub mod server;
pub mod wire;
