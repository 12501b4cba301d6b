//! What an open link between two of our processes costs while it is silent.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use sesamebeam::{
    keys::FleetCa,
    link::{
        Credentials,
        Link,
        Role, //
    },
};
use tokio::time::{
    Instant,
    sleep, //
};
use tokio_util::sync::CancellationToken;

use super::CommitError;
use crate::{
    relay::{
        self,
        Traffic, //
    },
    slopes::Found,
};

/// Time for which the link is silent, several keep-alive intervals long.
const SILENT: Duration = Duration::from_secs(12);

/// Time until the handshake and its acknowledgements are over.
const SETTLE: Duration = Duration::from_secs(1);

pub(super) async fn run() -> Result<Vec<Found>, CommitError> {
    println!("\na silent link between two processes");
    let ca = FleetCa::generate("links").map_err(sesamebeam::link::LinkError::from)?;
    let open = |name: &str| {
        let creds = Credentials::from_ca(&ca, &Role::Entry(name.into()))?;
        Link::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), &creds)
    };
    let (from, to) = (open("from")?, Arc::new(open("to")?));
    let (traffic, cancel) = (Arc::new(Traffic::default()), CancellationToken::new());
    let through = relay::start(to.local_addr()?, Arc::clone(&traffic), cancel.clone()).await?;
    let accepted = tokio::spawn({
        let to = Arc::clone(&to);
        async move { to.accept().await }
    });
    let peer = from.connect(through, None).await?;
    sleep(SETTLE).await;
    let handshake = traffic.bytes();
    let (datagrams, at) = (traffic.datagrams(), Instant::now());
    sleep(SILENT).await;
    let wall = at.elapsed().as_secs_f64();
    let bytes = (traffic.bytes() - handshake) as f64 / wall;
    println!(
        "  handshake {handshake} bytes; then {bytes:.0} B/s in {:.1} datagrams a second, both ways, with headers",
        (traffic.datagrams() - datagrams) as f64 / wall
    );
    peer.close();
    drop(accepted.await);
    cancel.cancel();
    Ok(vec![
        Found {
            name: "link.silent.bytes",
            value: bytes,
            unit: "bytes/s",
            of: "a silent link, both ways, with headers of IP and UDP",
        },
        Found {
            name: "link.handshake.bytes",
            value: handshake as f64,
            unit: "bytes",
            of: "the handshake of a link, both ways, with headers",
        },
    ])
}
