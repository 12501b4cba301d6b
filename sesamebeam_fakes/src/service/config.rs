//! Settings of a plain service.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use sesamebeam_core::ids::Incarnation;

use crate::announce::AnnounceConfig;

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address to listen on; port 0 draws a free one.
    pub addr: SocketAddr,
    /// Incarnation of the first life; drawn from the clock by default.
    pub incarnation: Option<Incarnation>,
    /// Announcements.
    pub announce: AnnounceConfig,
    /// Time that a call takes.
    pub delay: Duration,
    /// Whether calls can be looked up by request id.
    pub lookup: bool,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            incarnation: None,
            announce: AnnounceConfig::default(),
            delay: Duration::ZERO,
            lookup: false,
        }
    }
}
