//! Bounds on open connections.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant,
};

use hyper::http::Extensions;
use sesamebeam_core::{
    ids::MonoTime,
    policy::open_connections::{
        Admission,
        ConnectionId,
        OpenConnections, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::limit::LogLimit;

/// The bound on the open connections of a listener.
#[derive(Clone, Debug)]
pub(crate) struct Connections(Arc<SharedConnections>);

#[derive(Debug)]
struct SharedConnections {
    start: Instant,
    /// Of lines about connections that were closed for others.
    closed: LogLimit,
    state: Mutex<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    open: OpenConnections,
    /// Cancelled when their connections have to be closed.
    tokens: HashMap<ConnectionId, CancellationToken>,
}

/// An open connection, which counts until all copies are dropped. It is an extension of its
/// requests.
#[derive(Clone, Debug)]
pub(crate) struct OpenConnection(Arc<CountedConnection>);

#[derive(Debug)]
struct CountedConnection {
    id: ConnectionId,
    connections: Connections,
    closing: CancellationToken,
}

/// A request that was read whole and has not ended. Its connection is not closed for others.
#[derive(Debug)]
pub(crate) struct InProgress(OpenConnection);

impl Connections {
    /// Allows this many open connections, one at least.
    pub(crate) fn new(limit: usize) -> Self {
        Self(Arc::new(SharedConnections {
            start: Instant::now(),
            closed: LogLimit::default(),
            state: Mutex::new(ConnectionState {
                open: OpenConnections::new(limit),
                tokens: HashMap::new(),
            }),
        }))
    }

    /// Counts a connection that was accepted. There is no room for it if none is returned.
    pub(crate) fn admit(&self) -> Option<OpenConnection> {
        let now = self.now();
        let mut state = self.lock();
        let Admission::Open { id, closes } = state.open.add(now) else {
            return None;
        };
        if let Some(token) = closes.and_then(|id| state.tokens.remove(&id)) {
            token.cancel();
            if let Some(suppressed) = self.0.closed.allow() {
                log::info!(open = state.open.count(), suppressed; "waiting connection closed for another");
            }
        }
        let closing = CancellationToken::new();
        state.tokens.insert(id, closing.clone());
        drop(state);
        Some(OpenConnection(Arc::new(CountedConnection {
            id,
            connections: self.clone(),
            closing,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonoTime {
        self.0.start.elapsed()
    }
}

impl OpenConnection {
    /// Serves the connection until it ends or has to make room for another.
    pub(crate) async fn run(&self, serving: impl Future<Output = ()>) {
        let _ = self.0.closing.run_until_cancelled(serving).await;
    }

    /// Returns a guard that keeps the connection from being closed for others.
    pub(crate) fn begin_request(&self) -> InProgress {
        InProgress::new(self)
    }

    /// Makes it an extension of a request.
    pub(crate) fn attach(&self, extensions: &mut Extensions) {
        extensions.insert(self.clone());
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.open.remove(self.id);
        state.tokens.remove(&self.id);
    }
}

impl InProgress {
    fn new(connection: &OpenConnection) -> Self {
        let CountedConnection {
            id, connections, ..
        } = &*connection.0;
        connections.lock().open.begin_request(*id);
        Self(connection.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let CountedConnection {
            id, connections, ..
        } = &*self.0.0;
        let now = connections.now();
        connections.lock().open.end_request(now, *id);
    }
}
