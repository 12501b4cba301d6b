//! Callers' connections, readiness, and a stop that cuts nothing off.

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
    arrival, //
};
use crate::listen::{
    self,
    ListenError, //
};

/// Time after the signal to stop during which new callers may still come: the
/// balancer asks once a second and takes an entry out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2900);

/// Time before the end of the grace period at which this process ends by
/// itself.
const END_BEFORE: Duration = Duration::from_millis(400);

/// Time before the end from which no request is taken any more: what plain
/// services take, the slowest in a hundred included.
const LAST_REQUEST: Duration = Duration::from_millis(2000);

/// Pause between two looks at whether all connections have ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Room beside the headers' own bytes for the start of a body; the smallest
/// buffer that the HTTP library takes is 8 KiB.
const MIN_BUFFER: usize = 8 << 10;

/// Connections that are open, counted.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves callers until a stop was asked for and they have been answered.
pub(super) async fn run(gateway: Arc<Gateway>, halt: CancellationToken) -> Result<(), ListenError> {
    let ready = listen::bind(gateway.settings.ready).await?;
    let front = listen::bind(gateway.settings.front).await?;
    let asked = Arc::clone(&gateway);
    tokio::spawn(listen::accept(ready, halt.clone(), move |stream| {
        answer_readiness(Arc::clone(&asked), stream)
    }));
    let open = Arc::new(AtomicUsize::new(0));
    let accepting = listen::accept(front, halt, |stream| {
        let counted = Open::new(&open);
        let gateway = Arc::clone(&gateway);
        async move {
            serve(gateway, stream).await;
            drop(counted);
        }
    });
    tokio::select! {
        () = accepting => {}
        () = stop(&gateway, &open) => {}
    }
    Ok(())
}

/// Waits for the signal to stop and then until the last connection has ended.
async fn stop(gateway: &Gateway, open: &AtomicUsize) {
    gateway.stopping.cancelled().await;
    log::info!(open = open.load(Ordering::Relaxed); "stopping");
    let end = Instant::now() + gateway.settings.grace.saturating_sub(END_BEFORE);
    sleep(BALANCER_LAG.min(gateway.settings.grace / 2)).await;
    gateway.closing.cancel();
    let last = end.checked_sub(LAST_REQUEST).unwrap_or(end);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < last {
        sleep(LOOK_EVERY).await;
    }
    gateway.ending.cancel();
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(LOOK_EVERY).await;
    }
    log::info!(open = open.load(Ordering::Relaxed); "stopped");
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    let limits = gateway
        .router()
        .table()
        .map_or(Limits::default(), |t| t.config().limits);
    let service = service_fn(|req: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(arrival::handle(gateway, req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    // A connection that comes after idle ones were closed is not idle: its
    // request is on its way, and is answered.
    let came_late = gateway.closing.is_cancelled();
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = gateway.closing.cancelled(), if !came_late => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "caller's connection ended");
    }
}

/// Tells the balancer whether this entry takes callers.
async fn answer_readiness(gateway: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| {
        let ready = gateway.is_ready();
        async move { Ok::<_, Infallible>(readiness(ready)) }
    });
    // A balancer that goes away asks again.
    let _ = http1::Builder::new()
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
