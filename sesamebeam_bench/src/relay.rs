//! A UDP relay that counts what passes through it.
//!
//! The kernel does not count a process's datagrams, and the loopback
//! interface's counters include every other process on the machine. A relay
//! between one daemon and the control group counts exactly that daemon's.

use std::{
    collections::HashMap,
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
};

use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Bytes that IPv4 and UDP put in front of each datagram.
const HEADERS: u64 = 28;

/// Datagrams and bytes that passed, in both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Returns the bytes so far, with the headers of IPv4 and UDP.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the datagrams so far.
    pub fn datagrams(&self) -> u64 {
        self.datagrams.load(Ordering::Relaxed)
    }

    fn count(&self, payload: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes
            .fetch_add(payload as u64 + HEADERS, Ordering::Relaxed);
    }
}

/// Starts a relay to `target` and returns its address.
///
/// # Errors
///
/// Fails if no socket can be opened.
pub async fn start(
    target: SocketAddr,
    traffic: Arc<Traffic>,
    cancel: CancellationToken,
) -> io::Result<SocketAddr> {
    let front = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let addr = front.local_addr()?;
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            _ = forward(front, target, traffic, cancel.clone()) => {}
        }
    });
    Ok(addr)
}

/// Passes datagrams to the target, each sender's from a socket of its own so
/// that the answers find their way back.
async fn forward(
    front: Arc<UdpSocket>,
    target: SocketAddr,
    traffic: Arc<Traffic>,
    cancel: CancellationToken,
) -> io::Result<()> {
    let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = front.recv_from(&mut buf).await?;
        traffic.count(length);
        let back = match backs.get(&from) {
            Some(back) => Arc::clone(back),
            None => {
                let back = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
                back.connect(target).await?;
                backs.insert(from, Arc::clone(&back));
                let (front, traffic) = (Arc::clone(&front), Arc::clone(&traffic));
                let (answers, cancel) = (Arc::clone(&back), cancel.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = cancel.cancelled() => {}
                        _ = bring_back(answers, front, from, traffic) => {}
                    }
                });
                back
            }
        };
        // A replica that is down refuses; the sender tries again by itself.
        let _ = back.send(&buf[..length]).await;
    }
}

async fn bring_back(
    back: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    to: SocketAddr,
    traffic: Arc<Traffic>,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        if let Ok(length) = back.recv(&mut buf).await {
            traffic.count(length);
            let _ = front.send_to(&buf[..length], to).await;
        }
    }
}
