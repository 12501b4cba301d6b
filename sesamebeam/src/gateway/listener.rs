//! Listeners for callers and readiness checks, and graceful shutdown.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sesamebeam_core::gateway::config::Limits;
use tokio::{
    net::TcpStream,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use super::{
    Gateway,
    admission::{
        self,
        Origin, //
    },
    forwarding,
    response::CallerResponse, //
};
use crate::{
    intake::{
        Connections,
        OpenConnection, //
    },
    limit::LogLimit,
    listen::{
        self, ListenError,
        paced::{
            PacedListener,
            TakenConnection, //
        },
    },
};

/// Time after the termination signal during which new connections may still arrive: the
/// load balancer checks readiness once a second and removes an entry after two failed
/// checks.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2900);

/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long before the exit requests that have no answer yet get one, which has to reach
/// their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which the number of open connections is checked during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum size of the read buffer, which holds the headers and the start of the body.
/// The HTTP library accepts no less than 8 KiB.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Guard that counts an open connection until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves callers until shutdown is requested and their requests have been answered.
pub(super) async fn run(gateway: Arc<Gateway>, halt: CancellationToken) -> Result<(), ListenError> {
    let ready = listen::bind(gateway.settings.readiness_addr).await?;
    let callers =
        PacedListener::bind(gateway.settings.caller_addr, gateway.caller_load.clone()).await?;
    let open = Arc::new(AtomicUsize::new(0));
    accept_from_peers(&gateway, &open, halt.clone()).await;
    let shared = Arc::clone(&gateway);
    let checks = Connections::new(gateway.settings.resources.service_connections());
    tokio::spawn(listen::accept(
        ready,
        checks,
        halt.clone(),
        move |stream, _| serve_readiness(Arc::clone(&shared), stream),
    ));
    let accepting = accept_callers(&gateway, callers, &open, halt);
    tokio::select! {
        () = accepting => {}
        () = drain(&gateway, &open) => {}
    }
    Ok(())
}

/// Accepts callers' connections until cancelled.
async fn accept_callers(
    gateway: &Arc<Gateway>,
    mut listener: PacedListener,
    open: &Arc<AtomicUsize>,
    halt: CancellationToken,
) {
    let connections = Connections::new(gateway.settings.resources.caller_connections());
    let refused = LogLimit::default();
    let mut counted = listener.turned_away();
    while let Some(taken) = halt.run_until_cancelled(listener.accept()).await {
        let turned_away = listener.turned_away();
        gateway.metrics.record_turned_away(
            turned_away.closings - counted.closings,
            turned_away.expired - counted.expired,
        );
        counted = turned_away;
        let Some(connection) = connections.admit() else {
            listen::log_refused(&refused);
            continue;
        };
        let guard = CountGuard::new(open);
        let gateway = Arc::clone(gateway);
        let TakenConnection {
            stream,
            came_at,
            first_read,
        } = taken;
        tokio::spawn(async move {
            let attached = connection.clone();
            let answer = move |gateway: Arc<Gateway>, mut req: Request<Incoming>| {
                attached.attach(req.extensions_mut());
                if first_read.attach(req.extensions_mut()) {
                    gateway.metrics.record_connection_wait(came_at.elapsed());
                }
                admission::handle(gateway, req, Origin::Caller)
            };
            connection.run(serve(gateway, stream, answer)).await;
            drop(guard);
        });
    }
}

/// Accepts connections of other entries, if this one has an address for them. Without it,
/// the entry serves its own callers all the same.
async fn accept_from_peers(
    gateway: &Arc<Gateway>,
    open: &Arc<AtomicUsize>,
    halt: CancellationToken,
) {
    let Some(addr) = gateway.settings.forwarding_addr else {
        return;
    };
    let listener = match listen::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => {
            log::warn!(error:% = e; "requests of other entries are not accepted");
            return;
        }
    };
    // Set here alone, once.
    let _ = gateway.forwarding_addr.set(addr);
    let (gateway, open) = (Arc::clone(gateway), Arc::clone(open));
    let connections = Connections::new(gateway.settings.resources.peer_connections());
    let serve_peer = move |stream, connection: OpenConnection| {
        let guard = CountGuard::new(&open);
        let gateway = Arc::clone(&gateway);
        async move {
            let answer = move |gateway: Arc<Gateway>, mut req: Request<Incoming>| {
                connection.attach(req.extensions_mut());
                forwarding::handle(gateway, req)
            };
            serve(gateway, stream, answer).await;
            drop(guard);
        }
    };
    tokio::spawn(listen::accept(listener, connections, halt, serve_peer));
}

/// Waits for the termination signal, then until the last connection has ended or the time
/// for shutdown is over.
async fn drain(gateway: &Gateway, open: &AtomicUsize) {
    gateway.stopping.cancelled().await;
    log::info!(open = open.load(Ordering::Relaxed); "stopping");
    let exit_at = Instant::now() + gateway.settings.shutdown_grace.saturating_sub(EXIT_MARGIN);
    let answer_by = exit_at.checked_sub(ANSWER_MARGIN).unwrap_or(exit_at);
    gateway.answer_by.get_or_init(|| answer_by);
    sleep(BALANCER_DETECTION_TIME.min(gateway.settings.shutdown_grace / 2)).await;
    gateway.closing_idle.cancel();
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < answer_by {
        sleep(POLL_INTERVAL).await;
    }
    gateway.ending.cancel();
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < exit_at {
        sleep(POLL_INTERVAL).await;
    }
    log::info!(open = open.load(Ordering::Relaxed); "stopped");
}

/// Serves a connection, each of whose requests is passed to `answer`.
async fn serve<A>(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    answer: impl Fn(Arc<Gateway>, Request<Incoming>) -> A,
) where
    A: Future<Output = CallerResponse>,
{
    let limits = gateway
        .router()
        .table()
        .map_or(Limits::default(), |t| t.config().limits);
    let service = service_fn(|req: Request<Incoming>| {
        let answered = answer(Arc::clone(&gateway), req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    // A connection accepted after the idle ones were closed is not idle: its request is
    // in transit and must be answered.
    let accepted_while_closing = gateway.closing_idle.is_cancelled();
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = gateway.closing_idle.cancelled(), if !accepted_while_closing => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "caller's connection ended");
    }
}

/// Answers a readiness check of the load balancer.
async fn serve_readiness(gateway: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| {
        let ready = gateway.is_ready();
        async move { Ok::<_, Infallible>(readiness(ready)) }
    });
    // A load balancer that loses this connection checks again.
    let _ = listen::service_http()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn readiness(ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
