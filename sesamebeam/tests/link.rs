//! Connections between the processes of a fleet.

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
        Credentials,
        Incoming,
        Link,
        LinkError,
        LinkTimings,
        Peer,
        PeerClient,
        PeerPool,
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

/// Timeout for events that must occur.
const TIMEOUT: Duration = Duration::from_secs(30);

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

async fn in_time<T>(event: impl Future<Output = T>) -> T {
    timeout(TIMEOUT, event)
        .await
        .expect("the event occurs in time")
}

/// Answers each call on every connection with the received number plus one.
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
        in_time(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let peer = peer.unwrap();
    let accepted = accepted.unwrap();
    assert_eq!(*peer.role(), Role::Control(1));
    assert_eq!(*accepted.role(), entry("lima-ate-1"));

    tokio::spawn(answer_all(accepted));
    assert_eq!(in_time(peer.call::<u64, u64>(&41)).await.unwrap(), 42);
}

#[tokio::test]
async fn messages_in_order() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        in_time(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
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
    in_time(async { tokio::join!(sender, receiver) }).await;
}

#[tokio::test]
async fn dropped_send() {
    // Guards against corrupt framing after a cancelled send. The sender starts a
    // message larger than the flow control window and drops the future. If the
    // next message reused the stream, the receiver would read it as the rest of
    // the first one and lose every later message of the peer.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let addr = server.local_addr().unwrap();
    let (peer, accepted) =
        in_time(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    let large = vec![7_u8; MAX_MESSAGE_BYTES - 16];
    let partial_send = futures::poll!(Box::pin(peer.send(&large)));
    assert!(
        partial_send.is_pending(),
        "the message is larger than one write"
    );

    let receive = async {
        let Incoming::Message(bytes) = accepted.next().await.unwrap() else {
            panic!("a message, not a call");
        };
        wire::decode::<u64>(&bytes).unwrap()
    };
    let (sent, received) = in_time(async { tokio::join!(peer.send(&5_u64), receive) }).await;
    sent.unwrap();
    assert_eq!(received, 5);
}

#[tokio::test]
async fn other_fleet_refused() {
    // An instance of another fleet connects. Each side rejects the other's
    // certificate, both count the rejection, and peers of the fleet are still
    // served.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let addr = server.local_addr().unwrap();

    let foreign = link(&fleet(), entry("lima-ate-1"));
    let refused = in_time(foreign.connect(addr, None)).await;
    assert!(matches!(refused, Err(LinkError::Connection(_))));
    assert_eq!(foreign.counts().certificates_refused, 1);
    in_time(refusals(&server, 1)).await;

    let own = link(&ca, entry("lima-ate-1"));
    let peer = in_time(own.connect(addr, None)).await.unwrap();
    assert_eq!(in_time(peer.call::<u64, u64>(&1)).await.unwrap(), 2);
}

#[tokio::test]
async fn forged_certificate() {
    // An attacker has the fleet's public CA certificate, so it accepts the
    // server, but its own certificate is signed by another CA. The server must
    // reject it and never receive a request from it.
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
    let refused = match in_time(intruder.connect(addr, None)).await {
        Ok(peer) => in_time(peer.call::<u64, u64>(&1)).await.err(),
        Err(e) => Some(e),
    };
    assert!(refused.is_some());
    in_time(refusals(&server, 1)).await;
    assert!(futures::poll!(Box::pin(server.accept())).is_pending());
}

#[tokio::test]
async fn operator_cannot_serve() {
    // A process with an operator's certificate listens on the address of a
    // replica. The certificate is of the fleet but valid for clients only, so
    // connections to the process must fail.
    let ca = fleet();
    let impostor = link(&ca, Role::Operator("rosa".into()));
    let client = link(&ca, entry("lima-ate-1"));
    let refused = in_time(client.connect(impostor.local_addr().unwrap(), None)).await;
    assert!(matches!(refused, Err(LinkError::Connection(_))));
    assert_eq!(client.counts().certificates_refused, 1);
}

#[tokio::test]
async fn wrong_replica() {
    let ca = fleet();
    let server = link(&ca, Role::Control(2));
    serve(Arc::clone(&server));
    let client = link(&ca, entry("lima-ate-1"));
    let refused =
        in_time(client.connect(server.local_addr().unwrap(), Some(Role::Control(1)))).await;
    assert!(matches!(
        refused,
        Err(LinkError::WrongRole {
            expected: Role::Control(1),
            found: Role::Control(2)
        })
    ));
}

#[tokio::test]
async fn garbage_ignored() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let addr = server.local_addr().unwrap();
    let socket = UdpSocket::bind(loopback()).await.unwrap();
    for n in 0..2000_usize {
        // The first byte covers every kind of packet header.
        let garbage: Vec<u8> = (0..n % 1400).map(|i| (i * 31 + n) as u8).collect();
        socket.send_to(&garbage, addr).await.unwrap();
    }
    let client = link(&ca, entry("lima-ate-1"));
    let peer = in_time(client.connect(addr, None)).await.unwrap();
    assert_eq!(in_time(peer.call::<u64, u64>(&1)).await.unwrap(), 2);
}

#[tokio::test]
async fn long_message_refused() {
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    serve(Arc::clone(&server));
    let client = link(&ca, entry("lima-ate-1"));
    let peer = in_time(client.connect(server.local_addr().unwrap(), None))
        .await
        .unwrap();
    let refused = in_time(peer.call::<Vec<u8>, u64>(&vec![0; MAX_MESSAGE_BYTES])).await;
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
        in_time(async { tokio::join!(client.connect(addr, None), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    let refuse = async { drop(accepted.next().await.unwrap()) };
    let (answer, ()) = in_time(async { tokio::join!(peer.call::<u64, u64>(&1), refuse) }).await;
    assert!(matches!(answer, Err(LinkError::NoAnswer)), "{answer:?}");
}

#[tokio::test]
async fn restart_reconnected() {
    // A replica restarts on the same address. Calls fail until it is back, then
    // the same client must succeed on a new connection.
    let ca = fleet();
    let first = link(&ca, Role::Control(1));
    serve(Arc::clone(&first));
    let addr = first.local_addr().unwrap();
    let peer_client = PeerClient::new(link(&ca, entry("a")), addr, Some(Role::Control(1)), 7);
    assert_eq!(peer_client.call::<u64, u64>(&1, TIMEOUT).await.unwrap(), 2);

    first.close();
    in_time(first.wait_closed()).await;
    let failed = peer_client.call::<u64, u64>(&2, TIMEOUT).await;
    assert!(failed.is_err());
    drop(first);

    let creds = Credentials::from_ca(&ca, &Role::Control(1)).unwrap();
    let second = in_time(async {
        loop {
            match Link::bind(addr, &creds) {
                Ok(link) => break Arc::new(link),
                Err(_) => tokio::task::yield_now().await,
            }
        }
    })
    .await;
    serve(second);
    let answer = in_time(async {
        loop {
            match peer_client.call::<u64, u64>(&3, TIMEOUT).await {
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
async fn new_port_after_silence() {
    // Guards against calls that fail until the idle timeout after a middlebox has
    // lost the state of a flow, so that datagrams are dropped silently while the
    // connection looks open. The call in progress misses its deadline; the next
    // one must be sent from a new port and be answered.
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
    let peer_client = PeerClient::new(Arc::clone(&client), relay.addr, None, 7);
    assert_eq!(peer_client.call::<u64, u64>(&1, TIMEOUT).await.unwrap(), 2);

    relay.drop_datagrams_of(client.local_addr().unwrap());
    // A datagram received just before may hide the silence from the first call,
    // so more than one call may fail; without the new port, all of them would.
    let deadline = Duration::from_secs(2);
    let lost = peer_client.call::<u64, u64>(&2, deadline).await;
    assert!(matches!(lost, Err(LinkError::Deadline(_))), "{lost:?}");
    let answer = in_time(async {
        loop {
            if let Ok(answer) = peer_client.call::<u64, u64>(&3, deadline).await {
                break answer;
            }
        }
    })
    .await;
    assert_eq!(answer, 4);
}

#[tokio::test]
async fn silent_heartbeats() {
    // As `new_port_after_silence`, with one-way messages only, which have no answer
    // whose absence shows the failure. The connection must be closed after
    // messages without any datagram in return, and later ones must arrive from a
    // new port.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let relay = Relay::start(server.local_addr().unwrap()).await;
    let timings = LinkTimings {
        idle: Duration::from_secs(600),
        keep_alive: Duration::from_secs(300),
    };
    let creds = Credentials::from_ca(&ca, &Role::Control(2)).unwrap();
    let client = Arc::new(Link::bind_with(loopback(), &creds, timings).unwrap());
    let peer_client = PeerClient::new(Arc::clone(&client), relay.addr, None, 7);
    let (sent, first) =
        in_time(async { tokio::join!(peer_client.send(&1_u64, TIMEOUT), server.accept()) }).await;
    sent.unwrap();
    let first = first.unwrap();
    assert!(matches!(
        in_time(first.next()).await,
        Ok(Incoming::Message(_))
    ));

    relay.drop_datagrams_of(client.local_addr().unwrap());
    let heartbeats = async {
        loop {
            let _ = peer_client.send(&2_u64, TIMEOUT).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let second = in_time(async {
        tokio::select! {
            () = heartbeats => unreachable!("it sends forever"),
            peer = server.accept() => peer,
        }
    })
    .await;
    assert_ne!(second.unwrap().remote(), first.remote());
}

#[tokio::test]
async fn idle_then_send() {
    // Guards against closing a working connection whose messages are far apart:
    // each is acknowledged, so the pauses must not count as silence.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, Role::Control(2));
    let peer_client = PeerClient::new(client, server.local_addr().unwrap(), None, 7);
    let (peer, accepted) =
        in_time(async { tokio::join!(peer_client.peer(TIMEOUT), server.accept()) }).await;
    let (peer, accepted) = (peer.unwrap(), accepted.unwrap());
    for n in 0..3_u64 {
        peer_client.send(&n, TIMEOUT).await.unwrap();
        assert!(matches!(
            in_time(accepted.next()).await,
            Ok(Incoming::Message(_))
        ));
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    assert!(Arc::ptr_eq(
        &peer,
        &peer_client.peer(TIMEOUT).await.unwrap()
    ));
}

#[tokio::test]
async fn slow_peer_kept() {
    // The peer accepts a call but misses the deadline. Its acknowledgements show
    // that the path works, so the connection must be kept.
    let ca = fleet();
    let server = link(&ca, Role::Control(1));
    let client = link(&ca, entry("a"));
    let addr = server.local_addr().unwrap();
    let peer_client = PeerClient::new(client, addr, None, 7);
    let (peer, accepted) =
        in_time(async { tokio::join!(peer_client.peer(TIMEOUT), server.accept()) }).await;
    let (peer, _accepted) = (peer.unwrap(), accepted.unwrap());
    let late = peer_client
        .call::<u64, u64>(&1, Duration::from_secs(2))
        .await;
    assert!(matches!(late, Err(LinkError::Deadline(_))), "{late:?}");
    let after = peer_client.peer(TIMEOUT).await.unwrap();
    assert!(Arc::ptr_eq(&peer, &after));
}

#[tokio::test]
async fn back_off_refuses() {
    let ca = fleet();
    let gone = UdpSocket::bind(loopback()).await.unwrap();
    let addr = gone.local_addr().unwrap();
    let peer_client = PeerClient::new(link(&ca, entry("a")), addr, None, 7);
    let first = peer_client
        .call::<u64, u64>(&1, Duration::from_millis(50))
        .await;
    assert!(
        matches!(first, Err(LinkError::NotConnected(_))),
        "{first:?}"
    );
    let second = peer_client.call::<u64, u64>(&1, TIMEOUT).await;
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
    let pool = PeerPool::new(link(&ca, entry("a")), 7);
    let first = pool.get(loopback(), None);
    assert!(Arc::ptr_eq(&first, &pool.get(loopback(), None)));
    pool.remove(loopback());
    assert!(!Arc::ptr_eq(&first, &pool.get(loopback(), None)));
}

#[test]
fn log_limit() {
    let limit = LogLimit::default();
    let start = Instant::now();
    assert_eq!(limit.allow_at(start), Some(0));
    assert_eq!(limit.allow_at(start + Duration::from_secs(1)), None);
    assert_eq!(limit.allow_at(start + Duration::from_secs(59)), None);
    assert_eq!(limit.allow_at(start + Duration::from_secs(60)), Some(2));
}

/// Waits until a link has rejected at least `count` certificates.
async fn refusals(link: &Link, count: u64) {
    while link.counts().certificates_refused < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Forwards datagrams and can drop those from and to one sender.
struct Relay {
    addr: SocketAddr,
    lost: Arc<std::sync::Mutex<Option<SocketAddr>>>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind(loopback()).await.unwrap());
        let addr = front.local_addr().unwrap();
        let lost = Arc::new(std::sync::Mutex::new(None));
        let lost_in_task = Arc::clone(&lost);
        tokio::spawn(async move {
            let mut backs = std::collections::BTreeMap::new();
            let mut buf = vec![0; 65536];
            while let Ok((len, from)) = front.recv_from(&mut buf).await {
                if *lost_in_task.lock().unwrap() == Some(from) {
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
                            Arc::clone(&lost_in_task),
                        ));
                        back
                    }
                };
                let _ = back.send(&buf[..len]).await;
            }
        });
        Self { addr, lost }
    }

    fn drop_datagrams_of(&self, sender: SocketAddr) {
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
