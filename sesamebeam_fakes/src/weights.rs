//! Weight store whose rate all runners share.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    pin::Pin,
    sync::{
        Arc,
        Mutex, //
    },
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::{
        Frame,
        Incoming, //
    }, //
};
use sesamebeam_core::ids::VersionId;
use tokio::time::{
    Instant,
    Sleep, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    error::{
        BodyError,
        FakeError, //
    },
    reply::{
        self,
        Body, //
    },
    site::Site, //
};

/// Path under which weights are taken.
const WEIGHTS: &str = "/weights/";

/// Bytes sent at once; downloads take turns of this size.
const CHUNK: usize = 16 << 10;

/// Content of every chunk.
static ZEROES: [u8; CHUNK] = [0; CHUNK];

/// Settings of a weight store.
#[derive(Clone, Debug)]
pub struct WeightsConfig {
    /// Address to listen on; port 0 draws a free one.
    pub addr: SocketAddr,
    /// Bytes a second for all downloads together; zero for no limit.
    pub rate: u64,
    /// Size in bytes of the weights of each version.
    pub sizes: BTreeMap<VersionId, u64>,
    /// Size of every other version; without it they are unknown.
    pub default_size: Option<u64>,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            rate: 16 << 20,
            sizes: BTreeMap::new(),
            default_size: Some(1 << 20),
        }
    }
}

/// Figures of a weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightCounts {
    /// Downloads begun.
    pub begun: u64,
    /// Downloads sent whole.
    pub whole: u64,
    /// Downloads under way.
    pub open: u64,
    /// Most downloads that were under way together.
    pub peak: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// Handle of a weight store. Clones share it; it stops with the token given to
/// `start`.
#[derive(Clone, Debug)]
pub struct WeightStore {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    cfg: WeightsConfig,
    site: Site,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    counts: WeightCounts,
    rate: u64,
    /// Time at which the next chunk of any download may be sent.
    next: Instant,
}

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn start(cfg: WeightsConfig, cancel: CancellationToken) -> Result<Self, FakeError> {
        let state = State {
            counts: WeightCounts::default(),
            rate: cfg.rate,
            next: Instant::now(),
        };
        let inner = Arc::new(Inner {
            site: Site::bind(cfg.addr, cancel)?,
            state: Mutex::new(state),
            cfg,
        });
        begin(&inner).await?;
        Ok(Self { inner })
    }

    /// Address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.inner.site.addr
    }

    /// Figures so far.
    pub fn counts(&self) -> WeightCounts {
        self.inner.lock().counts
    }

    /// Changes the rate, in bytes a second; zero for no limit.
    pub fn set_rate(&self, rate: u64) {
        self.inner.lock().rate = rate;
    }

    /// Crashes: every download breaks off.
    pub async fn die(&self) {
        self.inner.site.end().await;
    }

    /// Comes back on the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn restart(&self) -> Result<(), FakeError> {
        self.die().await;
        begin(&self.inner).await
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    fn size(&self, version: &str) -> Option<u64> {
        let size = self.cfg.sizes.get(version).copied();
        size.or(self.cfg.default_size)
    }
}

impl State {
    /// Books the next chunk and gives the time at which it may be sent. As all
    /// downloads book in one line, they share the rate whatever their number.
    fn book(&mut self, bytes: usize) -> Instant {
        let now = Instant::now();
        if self.rate == 0 {
            return now;
        }
        let time = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.next = self.next.max(now) + time;
        self.next
    }
}

/// Begins a life.
async fn begin(inner: &Arc<Inner>) -> Result<(), FakeError> {
    let (life, listener) = inner.site.begin(None).await?;
    let handler = {
        let inner = Arc::clone(inner);
        move |req| std::future::ready(route(&inner, &req))
    };
    inner.site.serve(&life, listener, handler);
    Ok(())
}

fn route(inner: &Arc<Inner>, req: &Request<Incoming>) -> Response<Body> {
    let version = req.uri().path().strip_prefix(WEIGHTS);
    let Some(version) = version.filter(|_| req.method() == Method::GET) else {
        return reply::fault(StatusCode::NOT_FOUND, "no such call");
    };
    let Some(size) = inner.size(version) else {
        return reply::fault(StatusCode::NOT_FOUND, "no weights of this version");
    };
    let body = WeightBody::new(Arc::clone(inner), size);
    reply::stream(StatusCode::OK, "application/octet-stream", body)
}

/// One download.
#[derive(Debug)]
struct WeightBody {
    inner: Arc<Inner>,
    left: u64,
    /// Turn of the next chunk, booked.
    turn: Option<Pin<Box<Sleep>>>,
}

impl WeightBody {
    fn new(inner: Arc<Inner>, size: u64) -> Self {
        let mut state = inner.lock();
        state.counts.begun += 1;
        state.counts.open += 1;
        state.counts.peak = state.counts.peak.max(state.counts.open);
        drop(state);
        Self {
            inner,
            left: size,
            turn: None,
        }
    }

    fn chunk(&self) -> usize {
        usize::try_from(self.left).map_or(CHUNK, |left| left.min(CHUNK))
    }
}

impl hyper::body::Body for WeightBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let len = self.chunk();
        if len == 0 {
            return Poll::Ready(None);
        }
        if self.turn.is_none() {
            let at = self.inner.lock().book(len);
            self.turn = Some(Box::pin(tokio::time::sleep_until(at)));
        }
        if let Some(turn) = self.turn.as_mut() {
            ready!(turn.as_mut().poll(cx));
        }
        self.turn = None;
        self.left -= len as u64;
        self.inner.lock().counts.bytes += len as u64;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&ZEROES[..len])))))
    }
}

impl Drop for WeightBody {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        state.counts.open -= 1;
        if self.left == 0 {
            state.counts.whole += 1;
        }
    }
}
