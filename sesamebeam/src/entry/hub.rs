//! The meeting point of the entry's core and its edges.

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

/// What the core asks of the task that serves one request.
#[derive(Debug)]
pub(crate) enum Order {
    /// Send an attempt.
    Dispatch(Box<Dispatch>),
    /// Stop reading an attempt, and cancel it there if told so.
    Drop(Attempt, bool),
    /// End with a kept answer.
    Replay(Completed, ResponseHeaders),
    /// End by a refusal.
    Refuse(Refusal),
    /// Let the held answer go.
    Release,
    /// End the answer: it is whole.
    Finish,
    /// Have the held answer rated at once.
    RateNow(ClassId, VersionId, std::time::Duration),
    /// Send the kept answer to the rating service.
    Sample(ClassId, VersionId),
}

/// What the core asks of the process.
#[derive(Debug)]
pub(crate) enum Errand {
    /// Ask the control group.
    Ask(ControlRequestId, Box<ControlRequest>, std::time::Duration),
    /// Tell other entries.
    Tell(Recipients, PeerMessage),
    /// Cancel an id at a backend server: request, id there, backend server.
    Cancel(RequestId, RequestId, ServerAddr),
    /// Close older connections to a backend server.
    Retire(ServerAddr),
    /// Every request has ended after a stop.
    Drained,
}

/// The core behind a lock, with the channels that its actions go out by.
///
/// Actions are handed to their channels while the lock is held, so that two
/// events that follow each other give their orders in that order. No channel
/// blocks.
pub(crate) struct Hub {
    inner: Mutex<Inner>,
    start: Instant,
    errands: UnboundedSender<Errand>,
}

struct Inner {
    core: EntryCore,
    requests: HashMap<RequestId, UnboundedSender<Order>>,
    /// What is to be logged and counted, taken together with the next tick.
    /// One by one, each ended request would wake the side thread and, by its
    /// log line, the log's thread.
    notices: Vec<Notice>,
}

impl Hub {
    /// Puts a core behind a lock. The errands come out of the receiver.
    pub(crate) fn new(core: EntryCore, start: Instant) -> (Arc<Self>, UnboundedReceiver<Errand>) {
        let (errands, rx) = unbounded_channel();
        let hub = Self {
            inner: Mutex::new(Inner {
                core,
                requests: HashMap::new(),
                notices: Vec::new(),
            }),
            start,
            errands,
        };
        (Arc::new(hub), rx)
    }

    /// Time on the core's clock.
    pub(crate) fn now(&self) -> MonoTime {
        self.start.elapsed()
    }

    /// Turns a time on the core's clock into the process's own.
    pub(crate) fn instant(&self, at: MonoTime) -> Instant {
        self.start + at
    }

    /// Hands an event to the core.
    pub(crate) fn event(&self, event: EntryEvent) {
        let mut inner = self.lock();
        // The clock is read under the lock: a time from before a long wait
        // for it would go back for the core.
        let actions = inner.core.handle(self.now(), unix_millis(), event);
        for action in actions {
            self.route(&mut inner, action);
        }
    }

    /// Opens the channel of a request, before its arrival is told.
    pub(crate) fn open(&self, request: RequestId) -> UnboundedReceiver<Order> {
        let (tx, rx) = unbounded_channel();
        self.lock().requests.insert(request, tx);
        rx
    }

    /// Closes the channel of a request.
    pub(crate) fn close(&self, request: RequestId) {
        self.lock().requests.remove(&request);
    }

    /// Takes what is to be logged and counted since the last call.
    pub(crate) fn take_notices(&self) -> Vec<Notice> {
        std::mem::take(&mut self.lock().notices)
    }

    /// Looks into the core.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&EntryCore) -> T) -> T {
        look(&self.lock().core)
    }

    fn route(&self, inner: &mut Inner, action: EntryAction) {
        let (request, order) = match action {
            EntryAction::Dispatch(dispatch) => {
                (dispatch.request, Order::Dispatch(Box::new(dispatch)))
            }
            EntryAction::Drop {
                request,
                attempt,
                cancel,
            } => (request, Order::Drop(attempt, cancel)),
            EntryAction::Replay {
                request,
                answer,
                headers,
            } => (request, Order::Replay(answer, headers)),
            EntryAction::Refuse { request, refusal } => (request, Order::Refuse(refusal)),
            EntryAction::Release { request } => (request, Order::Release),
            EntryAction::Finish { request } => (request, Order::Finish),
            EntryAction::RateNow {
                request,
                class,
                version,
                timeout,
            } => (request, Order::RateNow(class, version, timeout)),
            EntryAction::Sample {
                request,
                class,
                version,
            } => (request, Order::Sample(class, version)),
            EntryAction::Notice(notice) => return inner.notices.push(notice),
            other => return self.errand(other),
        };
        if let Some(tx) = inner.requests.get(&request) {
            // A closed channel means that the caller hung up; the core hears
            // of that by its own event.
            let _ = tx.send(order);
        }
    }

    fn errand(&self, action: EntryAction) {
        let errand = match action {
            EntryAction::SendToControl { ask, req, timeout } => Errand::Ask(ask, req, timeout),
            EntryAction::SendToEntries { to, message } => Errand::Tell(to, message),
            EntryAction::Cancel {
                request,
                id,
                server,
            } => Errand::Cancel(request, id, server),
            EntryAction::CloseConnections { server } => Errand::Retire(server),
            EntryAction::Drained => Errand::Drained,
            _ => return,
        };
        // The receiver lives as long as the process serves.
        let _ = self.errands.send(errand);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall-clock time, for records that people read.
pub fn unix_millis() -> UnixMillis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
