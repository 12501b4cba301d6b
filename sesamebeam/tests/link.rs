//! Links between our own processes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam::{
    limit::LogLimit,
    link::{
        BackOff,
        Caller,
        Credentials,
        Incoming,
        Link,
        LinkError,
        LinkTimings,
        Peer,
        Pool,
        Role, //
    },
};
use sesamebeam_core::message::wire::{
    self,
    MAX_MESSAGE_BYTES,
    WireError, //
};
use tokio::{
    net::UdpSocket,
    time::timeout, //
};

/// Bound on waits for events that are certain to come.
const PATIENCE: Duration = Duration::from_secs(30);

fn fleet() -> sesamebeam::keys::FleetCa {
    sesamebeam::keys::FleetCa::generate("test").unwrap()
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn link(ca: &sesamebeam::keys::FleetCa, role: Role) -> Arc<Link> {
    let creds = Credentials::from_ca(ca, &role).unwrap();
    Arc::new(Link::bind(loopback(), &creds).unwrap())
}

fn entry(name: &str) -> Role {
    Role::Entry(name.into())
}

async fn soon<T>(event: impl Future<Output = T>) -> T {
    timeout(PATIENCE, event).await.expect("the event comes")
}

/// Answers every call with the number plus one, on every connection.
fn serve(link: Arc<Link>) {
    tokio::spawn(async move {
        while let Some(peer) = link.accept().await {
            tokio::spawn(answer_all(peer));
        }
    });
}

async fn answer_all(peer: Peer) {
    while let Ok(incoming) = peer.next().await {
        if let Incoming::Call { bytes, reply } = incoming
            && let Ok(number) = wire::decode::<u64>(&bytes)
        {
            let _ = reply.reply(&(number + 1)).await;
        }
    }
}

#[tokio::test]
async fn call_answered() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, entry("lima-ate-1"));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        soon(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let peer = peer.unwrap();
    let accepted = accepted.unwrap();
    assert_eq!(*peer.role(), Role::Control(1));
    assert_eq!(*accepted.role(), entry("lima-ate-1"));

    tokio::spawn(answer_all(accepted));
    assert_eq!(soon(peer.call::<u64, u64>(&41)).await.unwrap(), 42);
}

#[tokio::test]
async fn messages_in_order() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        soon(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    let count = 1000_u64;
    let sender = async {
        for n in 0..count {
            peer.send(&n).await.unwrap();
        }
    };
    let receiver = async {
        for expected in 0..count {
            let Incoming::Message(bytes) = accepted.next().await.unwrap() else {
                panic!("a message, not a call");
            };
            assert_eq!(wire::decode::<u64>(&bytes).unwrap(), expected);
        }
    };
    soon(async { tokio::join!(sender, receiver) }).await;
}

#[tokio::test]
async fn dropped_send() {
    // The caller sends a message that is larger than the connection's window
    // and gives up halfway. What arrives next must be the following message,
    // not the torn rest of the first: a receiver that took the rest as a
    // length would lose every later message of the peer.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        soon(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    let large = vec![7_u8; MAX_MESSAGE_BYTES - 16];
    let torn = futures::poll!(Box::pin(peer.send(&large)));
    assert!(torn.is_pending(), "the message is larger than one write");

    let receive = async {
        let Incoming::Message(bytes) = accepted.next().await.unwrap() else {
            panic!("a message, not a call");
        };
        wire::decode::<u64>(&bytes).unwrap()
    };
    let (sent, received) = soon(async { tokio::join!(peer.send(&5_u64), receive) }).await;
    sent.unwrap();
    assert_eq!(received, 5);
}

#[tokio::test]
async fn other_fleet_refused() {
    // An instance of another fleet reaches the port. Each side refuses the
    // other's certificate, the refusal is counted on both, and peers of the
    // fleet go on being served.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let addr = server.local_addr().unwrap();

    let stranger = link(&fleet(), entry("lima-ate-1"));
    let refused = soon(stranger.connect(addr, None)).await;
    assert!(matches!(refused, Err(LinkError::Connection(_))));
    assert_eq!(stranger.counts().certificates_refused, 1);
    soon(refusals(&server, 1)).await;

    let own = link(&ca, entry("lima-ate-1"));
    let peer = soon(own.connect(addr, None)).await.unwrap();
    assert_eq!(soon(peer.call::<u64, u64>(&1)).await.unwrap(), 2);
}

#[tokio::test]
async fn forged_certificate() {
    // An intruder knows the fleet's public CA certificate and so accepts the
    // server, but its own certificate is signed by somebody else. The server
    // refuses it; no request of the intruder is ever seen.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let addr = server.local_addr().unwrap();
    let other = fleet();
    let folder = tempfile::tempdir().unwrap();
    let forged = other.issue(&entry("lima-ate-1")).unwrap();
    std::fs::write(folder.path().join("ca.pem"), ca.cert_pem()).unwrap();
    std::fs::write(folder.path().join("cert.pem"), &forged.cert_pem).unwrap();
    std::fs::write(folder.path().join("key.pem"), &forged.key_pem).unwrap();
    let creds = Credentials::load(folder.path()).unwrap();
    let intruder = Link::bind(loopback(), &creds).unwrap();

    // The client's side of the handshake may end before the server's refusal.
    let refused = match soon(intruder.connect(addr, None)).await {
        Ok(peer) => soon(peer.call::<u64, u64>(&1)).await.err(),
        Err(e) => Some(e),
    };
    assert!(refused.is_some());
    soon(refusals(&server, 1)).await;
    assert!(futures::poll!(Box::pin(server.accept())).is_pending());
}

#[tokio::test]
async fn operator_cannot_serve() {
    // Somebody with an operator's certificate listens where a replica should.
    // The certificate is of the fleet but serves for clients only, so nobody
    // hands it requests.
    let ca = fleet();
    let impostor = link(&ca, Role::Operator("rosa".into()));
    let client = link(&ca, entry("lima-ate-1"));
    let refused = soon(client.connect(impostor.local_addr().unwrap(), None)).await;
    assert!(matches!(refused, Err(LinkError::Connection(_))));
    assert_eq!(client.counts().certificates_refused, 1);
}

#[tokio::test]
async fn wrong_replica() {
    let ca = fleet();
    let server = link(&ca, Role::Control(2));
    serve(Arc::clone(&server));
    let client = link(&ca, entry("lima-ate-1"));
    let refused = soon(client.connect(server.local_addr().unwrap(), Some(Role::Control(1)))).await;
    assert!(matches!(
        refused,
        Err(LinkError::WrongRole {
            expected: Role::Control(1),
            found: Role::Control(2)
        })
    ));
}

#[tokio::test]
async fn garbage_harmless() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let addr = server.local_addr().unwrap();
    let socket = UdpSocket::bind(loopback()).await.unwrap();
    for n in 0..2000_usize {
        // The first byte runs through every kind of packet header.
        let garbage: Vec<u8> = (0..n % 1400).map(|i| (i * 31 + n) as u8).collect();
        socket.send_to(&garbage, addr).await.unwrap();
    }
    let client = link(&ca, entry("lima-ate-1"));
    let peer = soon(client.connect(addr, None)).await.unwrap();
    assert_eq!(soon(peer.call::<u64, u64>(&1)).await.unwrap(), 2);
}

#[tokio::test]
async fn long_message_refused() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let client = link(&ca, entry("lima-ate-1"));
    let peer = soon(client.connect(server.local_addr().unwrap(), None))
        .await
        .unwrap();
    let refused = soon(peer.call::<Vec<u8>, u64>(&vec![0; MAX_MESSAGE_BYTES])).await;
    assert!(matches!(
        refused,
        Err(LinkError::Wire(WireError::TooLong(_)))
    ));
}

#[tokio::test]
async fn dropped_call() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, entry("lima-ate-1"));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        soon(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    let refuse = async { drop(accepted.next().await.unwrap()) };
    let (answer, ()) = soon(async { tokio::join!(peer.call::<u64, u64>(&1), refuse) }).await;
    assert!(matches!(answer, Err(LinkError::NoAnswer)), "{answer:?}");
}

#[tokio::test]
async fn restart_reconnected() {
    // A replica restarts under the same address. The caller's connection is
    // gone; calls fail until the replica is back, then succeed on a new
    // connection without anything being set up anew.
    let ca = fleet();
    let first = link(&ca, Role::Control(1));
    serve(Arc::clone(&first));
    let addr = first.local_addr().unwrap();
    let caller = Caller::new(link(&ca, entry("a")), addr, Some(Role::Control(1)), 7);
    assert_eq!(caller.call::<u64, u64>(&1, PATIENCE).await.unwrap(), 2);

    first.close();
    soon(first.wait_closed()).await;
    let failed = caller.call::<u64, u64>(&2, PATIENCE).await;
    assert!(failed.is_err());
    drop(first);

    let creds = Credentials::from_ca(&ca, &Role::Control(1)).unwrap();
    let second = soon(async {
        loop {
            match Link::bind(addr, &creds) {
                Ok(link) => break Arc::new(link),
                Err(_) => tokio::task::yield_now().await,
            }
        }
    })
    .await;
    serve(second);
    let answer = soon(async {
        loop {
            match caller.call::<u64, u64>(&3, PATIENCE).await {
                Ok(answer) => break answer,
                Err(LinkError::BackOff(left)) => tokio::time::sleep(left).await,
                Err(_) => {}
            }
        }
    })
    .await;
    assert_eq!(answer, 4);
}

#[tokio::test]
async fn silent_path_left() {
    // A device between the two ends loses track of a flow: datagrams vanish
    // without a word while the connection looks open. The call in progress
    // misses its deadline; the next one goes out from a new port and is
    // answered, without waiting for the idle timeout.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let relay = Relay::start(server.local_addr().unwrap()).await;
    let timings = LinkTimings {
        idle: Duration::from_secs(600),
        keep_alive: Duration::from_secs(300),
    };
    let creds = Credentials::from_ca(&ca, &entry("a")).unwrap();
    let client = Arc::new(Link::bind_with(loopback(), &creds, timings).unwrap());
    let caller = Caller::new(Arc::clone(&client), relay.addr, None, 7);
    assert_eq!(caller.call::<u64, u64>(&1, PATIENCE).await.unwrap(), 2);

    relay.lose(client.local_addr().unwrap());
    // A datagram that had arrived before may hide the silence from the first
    // call, so more than one may be lost; all would be without the new port.
    let deadline = Duration::from_secs(2);
    let lost = caller.call::<u64, u64>(&2, deadline).await;
    assert!(matches!(lost, Err(LinkError::Deadline(_))), "{lost:?}");
    let answer = soon(async {
        loop {
            if let Ok(answer) = caller.call::<u64, u64>(&3, deadline).await {
                break answer;
            }
        }
    })
    .await;
    assert_eq!(answer, 4);
}

#[tokio::test]
async fn silent_heartbeats() {
    // The same, with one-way messages alone: they have no answer that could be
    // missed. Messages that go out without anything coming back end the
    // connection, and the next ones arrive over a new port.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let relay = Relay::start(server.local_addr().unwrap()).await;
    let timings = LinkTimings {
        idle: Duration::from_secs(600),
        keep_alive: Duration::from_secs(300),
    };
    let creds = Credentials::from_ca(&ca, &Role::Control(2)).unwrap();
    let client = Arc::new(Link::bind_with(loopback(), &creds, timings).unwrap());
    let caller = Caller::new(Arc::clone(&client), relay.addr, None, 7);
    let (sent, first) =
        soon(async { tokio::join!(caller.send(&1_u64, PATIENCE), server.accept()) }).await;
    sent.unwrap();
    let first = first.unwrap();
    assert!(matches!(soon(first.next()).await, Ok(Incoming::Message(_))));

    relay.lose(client.local_addr().unwrap());
    let heartbeats = async {
        loop {
            let _ = caller.send(&2_u64, PATIENCE).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let second = soon(async {
        tokio::select! {
            () = heartbeats => unreachable!("it sends for ever"),
            peer = server.accept() => peer,
        }
    })
    .await;
    assert_ne!(second.unwrap().remote(), first.remote());
}

#[tokio::test]
async fn idle_then_send() {
    // Messages far apart on a working path: each is acknowledged, so that the
    // pause between them is not taken for silence.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let caller = Caller::new(client, server.local_addr().unwrap(), None, 7);
    let (peer, accepted) =
        soon(async { tokio::join!(caller.peer(PATIENCE), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    for n in 0..3_u64 {
        caller.send(&n, PATIENCE).await.unwrap();
        assert!(matches!(
            soon(accepted.next()).await,
            Ok(Incoming::Message(_))
        ));
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    assert!(Arc::ptr_eq(&peer, &caller.peer(PATIENCE).await.unwrap()));
}

#[tokio::test]
async fn slow_peer_kept() {
    // The peer takes a call and answers too late. Its acknowledgements show
    // that the path works, so the connection stays.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, entry("a"));
    let addr = server.local_addr().unwrap();
    let caller = Caller::new(client, addr, None, 7);
    let (peer, accepted) =
        soon(async { tokio::join!(caller.peer(PATIENCE), server.accept()) }).await;
    let (peer, _accepted) = (peer.unwrap(), accepted.unwrap());
    let late = caller.call::<u64, u64>(&1, Duration::from_secs(2)).await;
    assert!(matches!(late, Err(LinkError::Deadline(_))), "{late:?}");
    let after = caller.peer(PATIENCE).await.unwrap();
    assert!(Arc::ptr_eq(&peer, &after));
}

#[tokio::test]
async fn back_off_refuses() {
    let ca = fleet();
    let gone = UdpSocket::bind(loopback()).await.unwrap();
    let addr = gone.local_addr().unwrap();
    let caller = Caller::new(link(&ca, entry("a")), addr, None, 7);
    let first = caller.call::<u64, u64>(&1, Duration::from_millis(50)).await;
    assert!(
        matches!(first, Err(LinkError::NotConnected(_))),
        "{first:?}"
    );
    let second = caller.call::<u64, u64>(&1, PATIENCE).await;
    assert!(matches!(second, Err(LinkError::BackOff(_))), "{second:?}");
}

#[test]
fn back_off_grows() {
    let mut back_off = BackOff::new(1);
    let waits: Vec<_> = (0..12).map(|_| back_off.fail()).collect();
    assert!(waits[0] <= Duration::from_millis(50));
    assert!(waits[11] >= Duration::from_millis(2500) && waits[11] <= Duration::from_secs(5));
    back_off.reset();
    assert!(back_off.fail() <= Duration::from_millis(50));
    let mut same = BackOff::new(1);
    assert_eq!((0..12).map(|_| same.fail()).collect::<Vec<_>>(), waits);
}

#[tokio::test]
async fn pool_keeps_one() {
    let ca = fleet();
    let pool = Pool::new(link(&ca, entry("a")), 7);
    let first = pool.get(loopback(), None);
    assert!(Arc::ptr_eq(&first, &pool.get(loopback(), None)));
    pool.forget(loopback());
    assert!(!Arc::ptr_eq(&first, &pool.get(loopback(), None)));
}

#[test]
fn log_limit() {
    let limit = LogLimit::default();
    let start = Instant::now();
    assert_eq!(limit.pass_at(start), Some(0));
    assert_eq!(limit.pass_at(start + Duration::from_secs(1)), None);
    assert_eq!(limit.pass_at(start + Duration::from_secs(59)), None);
    assert_eq!(limit.pass_at(start + Duration::from_secs(60)), Some(2));
}

/// Waits until a link has refused so many certificates.
async fn refusals(link: &Link, count: u64) {
    while link.counts().certificates_refused < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Passes datagrams on and can lose those of one sender.
struct Relay {
    addr: SocketAddr,
    lost: Arc<std::sync::Mutex<Option<SocketAddr>>>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind(loopback()).await.unwrap());
        let addr = front.local_addr().unwrap();
        let lost = Arc::new(std::sync::Mutex::new(None));
        let losing = Arc::clone(&lost);
        tokio::spawn(async move {
            let mut backs = std::collections::BTreeMap::new();
            let mut buf = vec![0; 65536];
            while let Ok((len, from)) = front.recv_from(&mut buf).await {
                if *losing.lock().unwrap() == Some(from) {
                    continue;
                }
                let back = match backs.get(&from) {
                    Some(back) => Arc::clone(back),
                    None => {
                        let back = Arc::new(UdpSocket::bind(loopback()).await.unwrap());
                        back.connect(to).await.unwrap();
                        backs.insert(from, Arc::clone(&back));
                        tokio::spawn(pass_back(
                            Arc::clone(&back),
                            Arc::clone(&front),
                            from,
                            Arc::clone(&losing),
                        ));
                        back
                    }
                };
                let _ = back.send(&buf[..len]).await;
            }
        });
        Self { addr, lost }
    }

    fn lose(&self, sender: SocketAddr) {
        *self.lost.lock().unwrap() = Some(sender);
    }
}

async fn pass_back(
    back: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    to: SocketAddr,
    lost: Arc<std::sync::Mutex<Option<SocketAddr>>>,
) {
    let mut buf = vec![0; 65536];
    while let Ok(len) = back.recv(&mut buf).await {
        if *lost.lock().unwrap() == Some(to) {
            continue;
        }
        let _ = front.send_to(&buf[..len], to).await;
    }
}
