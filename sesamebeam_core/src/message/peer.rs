//! Messages between entries.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    control::{
        FleetChange,
        LiveState, //
    },
    server::Announcement, //
};
use crate::ids::{
    Digest,
    DomainId,
    Incarnation,
    InstanceId,
    Revision,
    ServerAddr,
    VersionId, //
};

/// Lease refresh of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRefresh {
    /// Address at which the backend server accepts requests.
    pub addr: ServerAddr,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
}

/// Message from one entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// New or changed backend servers; sent within the failure domain.
    Servers(Vec<Announcement>),
    /// Lease refreshes of backend servers. They do not contain load reports,
    /// which would exceed the control budget at 10,000 backend servers.
    LeaseRefreshes(Vec<LeaseRefresh>),
    /// Requests all backend servers that the sender should know. Sent after a
    /// start.
    RequestServers,
    /// Requests the newest known configuration. Sent by an entry that starts
    /// while the control group is unreachable.
    RequestConfig,
    /// Newest known configuration.
    Config {
        /// Revision of the file.
        revision: Revision,
        /// Fleet file, always whole.
        fleet: FleetChange,
        /// Live state.
        live: LiveState,
    },
    /// Versions held by this entry's own test and fingerprints that it
    /// suspects. Sent before the control group has processed them.
    Alarm {
        /// Versions held by the sender.
        held: Vec<VersionId>,
        /// Fingerprints that took part in a crash.
        suspects: Vec<Digest>,
    },
    /// The entry is stopping and accepts no new requests.
    Leaving {
        /// Name of the entry.
        instance: InstanceId,
        /// Failure domain of the entry.
        domain: DomainId,
    },
}
