//! Messages from backend servers and from the rating service.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    ClassId,
    DomainId,
    Incarnation,
    PoolId,
    RequestId,
    ServerAddr,
    VersionId, //
};

/// Load reported by a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the backend server.
    pub waiting: u32,
    /// Share of the KV cache in use (0 to 1).
    pub kv_used: f32,
    /// Age of the load report when it was sent, in milliseconds.
    pub age_ms: u32,
}

/// Change in the prefix cache of a backend server. Events may be late or
/// missing and are only a hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached; `false` if it was evicted.
    pub held: bool,
}

/// Announcement that a backend server sends to any entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Pool that the backend server belongs to.
    pub pool: PoolId,
    /// Failure domain that the backend server runs in.
    pub domain: DomainId,
    /// Address at which the backend server accepts requests.
    pub addr: ServerAddr,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each announcement of an incarnation.
    pub seq: u64,
    /// Whether the backend server is shutting down and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Load and its age.
    #[serde(default)]
    pub load: Load,
    /// Versions that the backend server has loaded.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Changes in the prefix cache since the last announcement.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
    /// Generated tokens per second of a single stream when no other request
    /// runs.
    #[serde(default)]
    pub speed: f32,
}

/// Rating of one answer by the rating service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Request that was answered.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Version that answered.
    pub version: VersionId,
    /// Quality from 0 (useless) to 1 (good).
    pub score: f64,
    /// Age of the answer when it was rated.
    pub age: Duration,
}
