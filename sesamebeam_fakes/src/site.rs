//! Where a fake listens, over several lives.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use hyper::{
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use sesamebeam_core::ids::Incarnation;
use tokio::net::{
    TcpListener,
    TcpSocket, //
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};

use crate::{
    error::{
        BodyError,
        FakeError, //
    },
    gate::{
        Gate,
        GatedStream, //
    },
    reply::{
        Body,
        is_broken, //
    }, //
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// One life of a fake, from a start to a crash or stop.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    /// Number of this life, never zero and growing.
    pub(crate) incarnation: Incarnation,
    /// Cancelled when the life ends.
    pub(crate) token: CancellationToken,
    /// Tasks of this life.
    pub(crate) tasks: TaskTracker,
}

/// Address of a fake, held over its lives.
#[derive(Debug)]
pub(crate) struct Site {
    /// Address at which the fake answers.
    pub(crate) addr: SocketAddr,
    /// Silences connections.
    pub(crate) gate: Arc<Gate>,
    /// Bound and never listening. Without it another program could be given the
    /// port between two lives, and a restart on the same address would fail.
    _reserve: TcpSocket,
    root: CancellationToken,
    life: Mutex<Life>,
    /// Held while a life begins. Two restarts at once would both find the last
    /// life ended, and both listen, as the address may be shared.
    beginning: tokio::sync::Mutex<()>,
}

impl Site {
    /// Binds the address; port 0 draws a free one.
    pub(crate) fn bind(addr: SocketAddr, root: CancellationToken) -> Result<Self, FakeError> {
        let listen = |source| FakeError::Listen { addr, source };
        let reserve = socket(addr).map_err(listen)?;
        let addr = reserve.local_addr().map_err(listen)?;
        let token = root.child_token();
        // Ended before the first life begins, so that `begin` has one rule.
        token.cancel();
        let life = Life {
            incarnation: 0,
            token,
            tasks: TaskTracker::new(),
        };
        life.tasks.close();
        Ok(Self {
            addr,
            gate: Arc::default(),
            _reserve: reserve,
            root,
            life: Mutex::new(life),
            beginning: tokio::sync::Mutex::default(),
        })
    }

    /// Begins a life and listens; the last one must have ended.
    pub(crate) async fn begin(
        &self,
        first: Option<Incarnation>,
    ) -> Result<(Life, TcpListener), FakeError> {
        let _beginning = self.beginning.lock().await;
        if self.root.is_cancelled() {
            return Err(FakeError::Stopped(self.addr));
        }
        let last = self.life();
        if !last.token.is_cancelled() {
            return Err(FakeError::StillRunning(self.addr));
        }
        // After a crash from within nobody has closed it yet.
        last.tasks.close();
        last.tasks.wait().await;
        let source = |source| FakeError::Listen {
            addr: self.addr,
            source,
        };
        let listener = socket(self.addr)
            .and_then(|socket| socket.listen(BACKLOG))
            .map_err(source)?;
        let life = Life {
            incarnation: first.unwrap_or_else(|| (last.incarnation + 1).max(clock_number())),
            token: self.root.child_token(),
            tasks: TaskTracker::new(),
        };
        *self.life.lock().expect("no panic under the lock") = life.clone();
        Ok((life, listener))
    }

    /// The life of now, or the last one.
    pub(crate) fn life(&self) -> Life {
        self.life.lock().expect("no panic under the lock").clone()
    }

    /// Token that stops the fake for good.
    pub(crate) fn root(&self) -> &CancellationToken {
        &self.root
    }

    /// Ends the life: drops the listener and every connection, and waits for it.
    pub(crate) async fn end(&self) {
        let life = self.life();
        life.token.cancel();
        life.tasks.close();
        life.tasks.wait().await;
    }

    /// Whether the last life has ended.
    pub(crate) fn is_down(&self) -> bool {
        self.life().token.is_cancelled()
    }

    /// Serves connections until the life ends.
    pub(crate) fn serve<F>(
        &self,
        life: &Life,
        listener: TcpListener,
        handler: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    ) where
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let accept = accept(listener, Arc::clone(&self.gate), life.clone(), handler);
        life.tasks.spawn(accept);
    }
}

impl Life {
    /// Runs a task that ends with the life.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                biased;
                () = token.cancelled() => {}
                () = task => {}
            }
        });
    }
}

async fn accept<F>(
    listener: TcpListener,
    gate: Arc<Gate>,
    life: Life,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            () = life.token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without it the kernel holds small events back and the figures of a
        // load run show its timer instead of the system under test.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(GatedStream::new(stream, Arc::clone(&gate)));
        let handler = handler.clone();
        life.spawn(async move {
            let service = service_fn(move |req| {
                let answer = handler(req);
                async move {
                    let answer = answer.await;
                    // An error makes hyper drop the connection unanswered.
                    if is_broken(&answer) {
                        return Err(BodyError::Cut);
                    }
                    Ok(answer)
                }
            });
            // A peer that goes away is ordinary here.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Makes a socket that may share its address with the reserving one.
fn socket(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Microseconds since the Unix epoch: grows over restarts of the whole program.
fn clock_number() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
