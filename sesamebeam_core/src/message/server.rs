//! What backend servers and the services round the system tell it.

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

/// Load of a backend server, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Share of the KV cache in use (0 to 1).
    pub kv_used: f32,
    /// Age of these figures when they were sent, in milliseconds.
    pub age_ms: u32,
}

/// A change in a backend server's prefix cache. Late and with gaps: a hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is now held, or was dropped.
    pub held: bool,
}

/// What a backend server announces about itself, to any entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Address at which it takes requests.
    pub addr: ServerAddr,
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one life.
    pub seq: u64,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Load, with its lag.
    #[serde(default)]
    pub load: Load,
    /// Versions it has loaded.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Changes in its prefix cache since the last announcement.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
    /// Generated tokens a second of one stream when nothing else runs.
    #[serde(default)]
    pub speed: f32,
}

/// What the rating service says of one answer.
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
