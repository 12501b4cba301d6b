//! Messages between entries.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    control::{
        FleetChange,
        Live, //
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

/// A backend server that refreshed its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alive {
    /// Address at which it takes requests.
    pub addr: ServerAddr,
    /// Life of the backend server.
    pub incarnation: Incarnation,
}

/// What one entry tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Backend servers that are new or changed, within the failure domain.
    Servers(Vec<Announcement>),
    /// Backend servers that refreshed their leases, without their load: it
    /// would not fit the control budget at 10,000 backend servers.
    Alive(Vec<Alive>),
    /// Every backend server the asker should know, wanted after a start.
    WantServers,
    /// The highest configuration known, wanted by an entry that starts cut off.
    WantConfig,
    /// The highest configuration known.
    Config {
        /// Revision of the file.
        revision: Revision,
        /// The file, always whole.
        fleet: FleetChange,
        /// State beside the file.
        live: Live,
    },
    /// Versions that this entry's own test holds, and fingerprints that it
    /// suspects, before the control group has them.
    Alarm {
        /// Versions held locally.
        held: Vec<VersionId>,
        /// Fingerprints with a crash.
        suspects: Vec<Digest>,
    },
    /// The entry is stopping: it takes no new requests.
    Leaving {
        /// Name of the entry.
        instance: InstanceId,
        /// Failure domain of the entry.
        domain: DomainId,
    },
}
