//! Network of one entry, which can be cut from all backend servers.
//!
//! The entry reaches the control replicas through proxies that replace the address of each
//! backend server by one of this network. Callers and other entries reach the entry directly.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::pending,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::Bytes;
use rustix::net::sockopt;
use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam::frames::{
    self,
    FrameError,
    Receiver,
    Sender, //
};
use sesamebeam_core::gateway::{
    directory::Announcement,
    messages::{
        FromEntry,
        Hello,
        ToEntry, //
    },
};
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt,
        duplex, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::narrow_link::{
    NarrowLink,
    Way, //
};

/// Messages of a connection that are on their way at a time.
const MESSAGES: usize = 256;

/// Bytes read at a time.
const BUFFER: usize = 16 << 10;

/// How long a connection attempt waits until the queue of a listener counts as full.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(50);

/// What happens to the connections of an entry that is cut from all backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Nothing passes, and new ones are not answered.
    Hang,
    /// They are reset, and new ones refused.
    Reset,
    /// They live on, and new ones are refused.
    Live,
}

/// Network of one entry.
#[derive(Debug)]
pub struct EntryLinks {
    ip: IpAddr,
    cut: watch::Sender<Option<Cut>>,
    /// Addresses of backend servers as the entry knows them, by their own, and the reverse.
    known: Mutex<[BTreeMap<SocketAddr, SocketAddr>; 2]>,
    /// Addresses of control replicas as the entry knows them.
    replicas: BTreeSet<SocketAddr>,
    /// Link that everything passes; none if its bandwidth does not matter.
    link: Option<Arc<NarrowLink>>,
    /// Cancelled when nothing listens there any more.
    ended: CancellationToken,
}

impl EntryLinks {
    /// Starts a network on an address of its own until it ends, with a proxy for each control
    /// replica at the first address of each pair.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn start(
        ip: IpAddr,
        replicas: impl IntoIterator<Item = (SocketAddr, SocketAddr)>,
        link: Option<Arc<NarrowLink>>,
        ended: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let replicas: Vec<_> = replicas.into_iter().collect();
        let links = Arc::new(Self {
            ip,
            cut: watch::Sender::new(None),
            known: Mutex::default(),
            replicas: replicas.iter().map(|(near, _)| *near).collect(),
            link,
            ended,
        });
        for (near, far) in replicas {
            let listener = TcpListener::bind(near).await?;
            let links = Arc::clone(&links);
            let ended = links.ended.clone();
            let accepting = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let links = Arc::clone(&links);
                    // Either end closing the connection ends it on the other side too.
                    tokio::spawn(async move { links.pass_control(stream, far).await });
                }
            };
            tokio::spawn(ended.run_until_cancelled_owned(accepting));
        }
        Ok(links)
    }

    /// Cuts the entry from all backend servers, or ends the cut.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.cut.send_replace(cut);
    }

    async fn pass_control(
        self: Arc<Self>,
        near: TcpStream,
        far: SocketAddr,
    ) -> Result<(), FrameError> {
        let (to_entry, mut from_entry) = frames::split(near)?;
        let (mut to_replica, from_replica) = frames::connect(far).await?;
        let hello: Hello = from_entry.next().await?;
        to_replica.send(&hello).await?;
        tokio::select! {
            ended = self.pass_to_entry(from_replica, to_entry) => ended,
            ended = self.pass_from_entry(from_entry, to_replica) => ended,
        }
    }

    async fn pass_to_entry(
        self: &Arc<Self>,
        mut rx: Receiver,
        tx: Sender,
    ) -> Result<(), FrameError> {
        let (passing, passed) = mpsc::channel(MESSAGES);
        let reading = async {
            loop {
                let mut message: ToEntry = rx.next().await?;
                match &mut message {
                    ToEntry::Fleet { replicas, .. } => {
                        *replicas = self.replicas.iter().copied().collect();
                    }
                    ToEntry::Servers(servers) => {
                        for server in servers {
                            server.addr = self.near_addr(server.addr).await?;
                        }
                    }
                    _ => {}
                }
                self.pass_message(Way::In, &message, &passing).await?;
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = send_passed(passed, tx) => ended,
        }
    }

    async fn pass_from_entry(&self, mut rx: Receiver, tx: Sender) -> Result<(), FrameError> {
        let (passing, passed) = mpsc::channel(MESSAGES);
        let reading = async {
            loop {
                let mut message: FromEntry = rx.next().await?;
                if let FromEntry::Servers(servers) = &mut message {
                    self.restore_addrs(servers);
                }
                self.pass_message(Way::Out, &message, &passing).await?;
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = send_passed(passed, tx) => ended,
        }
    }

    /// Queues a message on the link, behind others of its connection.
    async fn pass_message(
        &self,
        way: Way,
        message: &impl Serialize,
        passing: &mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), FrameError> {
        let frame = frames::encode(message)?;
        let passed_at = match &self.link {
            Some(link) => link.enqueue(way, frame.len()),
            None => Instant::now(),
        };
        let queued = passing.send((passed_at, frame)).await;
        queued.map_err(|_| FrameError::Closed)
    }

    fn restore_addrs(&self, servers: &mut [Announcement]) {
        let [_, far_addrs] = &*self.lock();
        for server in servers {
            if let Some(far) = far_addrs.get(&server.addr) {
                server.addr = *far;
            }
        }
    }

    /// Returns the address at which the entry reaches a backend server.
    async fn near_addr(self: &Arc<Self>, far: SocketAddr) -> io::Result<SocketAddr> {
        if let Some(near) = self.lock()[0].get(&far) {
            return Ok(*near);
        }
        let listener = TcpListener::bind((self.ip, 0)).await?;
        let near = listener.local_addr()?;
        let mut known = self.lock();
        // Another connection of the entry may have been told at the same time.
        if let Some(near) = known[0].get(&far) {
            return Ok(*near);
        }
        known[0].insert(far, near);
        known[1].insert(near, far);
        drop(known);
        let passage = Passage {
            far,
            cut: self.cut.subscribe(),
            link: self.link.clone(),
        };
        let serving = serve(listener, near, passage);
        tokio::spawn(self.ended.clone().run_until_cancelled_owned(serving));
        Ok(near)
    }

    fn lock(&self) -> MutexGuard<'_, [BTreeMap<SocketAddr, SocketAddr>; 2]> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends messages as they have passed the link.
async fn send_passed(
    mut passed: mpsc::Receiver<(Instant, Bytes)>,
    mut tx: Sender,
) -> Result<(), FrameError> {
    while let Some((passed_at, frame)) = passed.recv().await {
        sleep_until(passed_at).await;
        tx.send_encoded(frame).await?;
    }
    Ok(())
}

/// Time in which a listener that is told to is closed.
const CLOSED_IN: Duration = Duration::from_millis(5);

/// Way from an entry to a backend server.
#[derive(Clone, Debug)]
struct Passage {
    far: SocketAddr,
    cut: watch::Receiver<Option<Cut>>,
    link: Option<Arc<NarrowLink>>,
}

/// Passes connections to a backend server until it is gone, except while the entry is cut.
async fn serve(listener: TcpListener, near: SocketAddr, passage: Passage) -> io::Result<()> {
    let mut listener = listener;
    let mut cut = passage.cut.clone();
    let gone = CancellationToken::new();
    loop {
        let passed = async {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass_until_gone(stream, passage.clone(), gone.clone()));
            }
        };
        let mut began = cut.clone();
        tokio::select! {
            () = gone.cancelled() => return Ok(()),
            () = passed => return Ok(()),
            began = began.wait_for(Option::is_some) => {
                if began.is_err() {
                    return Ok(());
                }
            }
        }
        drop(listener);
        let is_hanging = *cut.borrow() == Some(Cut::Hang);
        let hung = match is_hanging {
            true => Some(fill_queue(near).await?),
            false => None,
        };
        if cut.wait_for(Option::is_none).await.is_err() {
            return Ok(());
        }
        drop(hung);
        listener = TcpListener::bind(near).await?;
    }
}

/// Listens with a full queue: the system does not answer further attempts to connect.
async fn fill_queue(addr: SocketAddr) -> io::Result<(TcpListener, Vec<TcpStream>)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    let listener = socket.listen(1)?;
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(QUEUE_FULL_AFTER, TcpStream::connect(addr)).await {
        queued.push(stream?);
    }
    Ok((listener, queued))
}

/// Opens a connection from an address of this machine.
///
/// # Errors
///
/// Fails if the address cannot be used or the connection cannot be opened.
pub async fn connect_from(ip: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(ip, 0))?;
    socket.connect(to).await
}

/// Does the same as [`pass`]. If the backend server is gone after that, its address refuses
/// connections before this one is closed, as without a network in between.
async fn pass_until_gone(near: TcpStream, passage: Passage, gone: CancellationToken) {
    let far = passage.far;
    let near = pass(near, passage).await;
    let refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
    if TcpStream::connect(far).await.is_err_and(refused) {
        gone.cancel();
        sleep(CLOSED_IN).await;
    }
    drop(near);
}

/// Passes bytes until the far end closes or the connection is reset.
/// Returns the entry's end, still open.
async fn pass(mut near: TcpStream, passage: Passage) -> TcpStream {
    // The address of the network tells a backend server which entry sends.
    let Ok(from) = near.local_addr() else {
        return near;
    };
    let Ok(mut far) = connect_from(from.ip(), passage.far).await else {
        return near;
    };
    if let Some(link) = &passage.link {
        link.pass(Way::Out, 0).await;
        link.pass(Way::In, 0).await;
    }
    let mut reset = passage.cut.clone();
    let (near_rx, near_tx) = near.split();
    let (far_rx, mut far_tx) = far.split();
    let passing_out = async {
        passage.copy(Way::Out, near_rx, &mut far_tx).await;
        // The entry sends no more. As on a network, its end is closed for good only once the
        // other one is too.
        let _ = far_tx.shutdown().await;
        pending::<()>().await
    };
    let is_reset = tokio::select! {
        () = passing_out => false,
        () = passage.copy(Way::In, far_rx, near_tx) => false,
        reset = reset.wait_for(|cut| *cut == Some(Cut::Reset)) => reset.is_ok(),
    };
    if is_reset {
        // A connection without this option is closed in order.
        let _ = sockopt::set_socket_linger(&near, Some(Duration::ZERO));
    }
    near
}

impl Passage {
    async fn copy(&self, way: Way, rx: impl AsyncRead + Unpin, tx: impl AsyncWrite + Unpin) {
        let Some(link) = &self.link else {
            return hold_while_cut(rx, tx, self.cut.clone()).await;
        };
        let (held_tx, held_rx) = duplex(BUFFER);
        let holding = hold_while_cut(rx, held_tx, self.cut.clone());
        tokio::join!(holding, link.copy(way, held_rx, tx));
    }
}

/// Copies bytes, and holds them back while the entry is cut and its connections hang.
async fn hold_while_cut(
    mut rx: impl AsyncRead + Unpin,
    mut tx: impl AsyncWrite + Unpin,
    mut cut: watch::Receiver<Option<Cut>>,
) {
    let mut buf = vec![0; BUFFER];
    loop {
        let Ok(read @ 1..) = rx.read(&mut buf).await else {
            return;
        };
        let passes = cut.wait_for(|cut| *cut != Some(Cut::Hang)).await.is_ok();
        if !passes || tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
