//! Shared access to the entry core, and dispatch of its actions to tasks.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use sesamebeam_core::{
    entry::{
        EntryCore,
        event::{
            Attempt,
            ControlRequestId,
            Dispatch,
            EntryAction,
            EntryEvent,
            Notice,
            Recipients,
            ResponseHeaders, //
        },
        refusal::Refusal, //
    },
    ids::{
        ClassId,
        MonoTime,
        RequestId,
        ServerAddr,
        UnixMillis,
        VersionId, //
    },
    message::{
        control::ControlRequest,
        peer::PeerMessage,
        record::Completed, //
    },
};
use tokio::sync::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded_channel, //
};

/// Command of the core to the task of one request.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Start an attempt.
    Dispatch(Box<Dispatch>),
    /// Stop reading an attempt and, if the flag is set, cancel it at the backend
    /// server.
    Drop(Attempt, bool),
    /// Answer the request with a recorded answer.
    Replay(Completed, ResponseHeaders),
    /// Refuse the request.
    Refuse(Refusal),
    /// Release the answer that is held back.
    Release,
    /// End the answer, which is complete.
    Finish,
    /// Request an immediate rating of the answer that is held back.
    RateNow(ClassId, VersionId, std::time::Duration),
    /// Send the buffered answer to the rating service as a sample.
    Sample(ClassId, VersionId),
}

/// Job of the core for the background thread.
#[derive(Debug)]
pub(crate) enum BackgroundJob {
    /// Send a request to the control group.
    CallControl(ControlRequestId, Box<ControlRequest>, std::time::Duration),
    /// Send a message to other entries.
    SendToEntries(Recipients, PeerMessage),
    /// Cancel an attempt: request, id at the backend server, backend server.
    Cancel(RequestId, RequestId, ServerAddr),
    /// Send no further requests on the connections to a backend server that are
    /// open now.
    CloseConnections(ServerAddr),
    /// Every request has ended after a planned stop.
    Drained,
}

/// The entry core behind a lock, with the channels that receive its actions.
///
/// Actions are sent to their channels while the lock is held, so that the
/// commands of two consecutive events are delivered in order. No channel blocks.
pub(crate) struct Hub {
    inner: Mutex<Inner>,
    start: Instant,
    jobs: UnboundedSender<BackgroundJob>,
}

struct Inner {
    core: EntryCore,
    requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    /// Notices to be logged and counted, collected until the next tick. Sent one
    /// by one, each request that ends would wake the background thread and, with
    /// its log line, the log thread.
    notices: Vec<Notice>,
}

impl Hub {
    /// Creates a hub for `core`. The receiver yields the background jobs.
    pub(crate) fn new(
        core: EntryCore,
        start: Instant,
    ) -> (Arc<Self>, UnboundedReceiver<BackgroundJob>) {
        let (jobs, rx) = unbounded_channel();
        let hub = Self {
            inner: Mutex::new(Inner {
                core,
                requests: HashMap::new(),
                notices: Vec::new(),
            }),
            start,
            jobs,
        };
        (Arc::new(hub), rx)
    }

    /// Returns the time on the core's clock.
    pub(crate) fn now(&self) -> MonoTime {
        self.start.elapsed()
    }

    /// Converts a time on the core's clock to an [`Instant`].
    pub(crate) fn instant(&self, at: MonoTime) -> Instant {
        self.start + at
    }

    /// Passes an event to the core and dispatches the resulting actions.
    pub(crate) fn handle_event(&self, event: EntryEvent) {
        let mut inner = self.lock();
        // The clock is read under the lock. A time read before a long wait for
        // the lock would make the core's clock go backwards.
        let actions = inner.core.handle(self.now(), unix_millis(), event);
        for action in actions {
            self.route(&mut inner, action);
        }
    }

    /// Opens the command channel of a request, before the core learns of the
    /// request.
    pub(crate) fn register(&self, request: RequestId) -> UnboundedReceiver<RequestCommand> {
        let (tx, rx) = unbounded_channel();
        self.lock().requests.insert(request, tx);
        rx
    }

    /// Closes the command channel of a request.
    pub(crate) fn unregister(&self, request: RequestId) {
        self.lock().requests.remove(&request);
    }

    /// Takes the notices collected since the last call.
    pub(crate) fn take_notices(&self) -> Vec<Notice> {
        std::mem::take(&mut self.lock().notices)
    }

    /// Calls a function with read access to the core.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&EntryCore) -> T) -> T {
        look(&self.lock().core)
    }

    fn route(&self, inner: &mut Inner, action: EntryAction) {
        let (request, command) = match action {
            EntryAction::Dispatch(dispatch) => (
                dispatch.request,
                RequestCommand::Dispatch(Box::new(dispatch)),
            ),
            EntryAction::Drop {
                request,
                attempt,
                cancel,
            } => (request, RequestCommand::Drop(attempt, cancel)),
            EntryAction::Replay {
                request,
                answer,
                headers,
            } => (request, RequestCommand::Replay(answer, headers)),
            EntryAction::Refuse { request, refusal } => (request, RequestCommand::Refuse(refusal)),
            EntryAction::Release { request } => (request, RequestCommand::Release),
            EntryAction::Finish { request } => (request, RequestCommand::Finish),
            EntryAction::RateNow {
                request,
                class,
                version,
                timeout,
            } => (request, RequestCommand::RateNow(class, version, timeout)),
            EntryAction::Sample {
                request,
                class,
                version,
            } => (request, RequestCommand::Sample(class, version)),
            EntryAction::Notice(notice) => return inner.notices.push(notice),
            other => return self.send_job(other),
        };
        if let Some(tx) = inner.requests.get(&request) {
            // A closed channel means that the caller disconnected, which the
            // core learns from a separate event.
            let _ = tx.send(command);
        }
    }

    fn send_job(&self, action: EntryAction) {
        let job = match action {
            EntryAction::SendToControl { ask, req, timeout } => {
                BackgroundJob::CallControl(ask, req, timeout)
            }
            EntryAction::SendToEntries { to, message } => BackgroundJob::SendToEntries(to, message),
            EntryAction::Cancel {
                request,
                id,
                server,
            } => BackgroundJob::Cancel(request, id, server),
            EntryAction::CloseConnections { server } => BackgroundJob::CloseConnections(server),
            EntryAction::Drained => BackgroundJob::Drained,
            _ => return,
        };
        // The receiver exists as long as the entry serves.
        let _ = self.jobs.send(job);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall-clock time, for timestamps in records.
pub fn unix_millis() -> UnixMillis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
