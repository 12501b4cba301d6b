//! Bounds on what clients of all listeners may make a process hold: connections, and the bodies
//! of their requests.

mod bodies;
mod connections;

pub(crate) use self::{
    bodies::{
        Bodies,
        BodyError,
        WholeBody, //
    },
    connections::{
        Connections,
        OpenConnection, //
    },
};

/// Memory that an open connection takes while a head is read, in bytes: the buffer of the HTTP
/// library, and what it parses from it.
const CONNECTION_BYTES: usize = 24 << 10;

/// Descriptors that are not for connections.
const OTHER_DESCRIPTORS: usize = 200;

/// Connections to listeners that only the platform's own services use.
const SERVICE_CONNECTIONS: usize = 32;

/// Memory and descriptors of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory that the process may take, in bytes.
    pub memory: usize,
    /// File descriptors that it may have open.
    pub descriptors: usize,
}

impl Default for Resources {
    /// Instances of the usual size.
    fn default() -> Self {
        Self {
            memory: 256 << 20,
            descriptors: 4096,
        }
    }
}

impl Resources {
    /// Returns the most bytes of all bodies together.
    pub fn body_bytes(&self) -> usize {
        self.memory / 4
    }

    /// Returns the most connections of callers of an entry.
    pub fn caller_connections(&self) -> usize {
        (self.sockets() / 2).min(self.connections_by_memory())
    }

    /// Returns the most connections of operators and backend servers to a control replica. Those
    /// that are left by other replicas come to it as well.
    pub fn control_connections(&self) -> usize {
        (self.sockets() * 5 / 8).min(self.connections_by_memory())
    }

    /// Returns the most connections of entries and other replicas to a control replica.
    pub fn internal_connections(&self) -> usize {
        self.sockets() / 4
    }

    /// Returns how many connections there is memory for.
    pub fn connections_by_memory(&self) -> usize {
        self.memory / 4 / CONNECTION_BYTES
    }

    /// Returns the most connections of other entries.
    pub fn peer_connections(&self) -> usize {
        (self.sockets() / 8).max(1)
    }

    /// Returns the most connections to a listener that only the platform's own services use.
    pub fn service_connections(&self) -> usize {
        SERVICE_CONNECTIONS.min(self.sockets() / 8).max(1)
    }

    fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(OTHER_DESCRIPTORS).max(8)
    }
}
