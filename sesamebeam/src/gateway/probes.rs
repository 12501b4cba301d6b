//! Probes of backend servers of services that this entry may not reach.

use std::{
    sync::Arc,
    time::Duration, //
};

use rand::RngExt;
use sesamebeam_core::gateway::router::Probe;
use tokio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    CONNECT_TIMEOUT,
    Gateway, //
};

/// Interval at which due probes are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends probes as they are due, until cancelled.
pub(super) async fn run(gateway: Arc<Gateway>, halt: CancellationToken) {
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        let now = gateway.now();
        let random = |count| rand::rng().random_range(0..count);
        let probes = gateway.router().take_due_probes(now, random);
        for probe in probes {
            tokio::spawn(send(Arc::clone(&gateway), probe));
        }
    }
}

/// Opens a connection, on which nothing is sent.
async fn send(gateway: Arc<Gateway>, probe: Probe) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(probe.addr)).await;
    let is_reachable = matches!(connected, Ok(Ok(_)));
    let now = gateway.now();
    gateway.router().record_probe(now, &probe, is_reachable);
}
