//! A proxy on loopback that misbehaves on demand.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::watch,
    time::sleep,
};

use crate::entry_links;

/// Delay of a slow connection, for each piece that passes.
const DELAY: Duration = Duration::from_millis(120);

/// How connections are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass late.
    Delay,
    /// Connections are closed.
    Reset,
    /// Bytes pass to the backend server, but not back.
    CutAnswers,
    /// Nothing passes.
    Silence,
    /// Bytes wait, as at a process that stands still.
    Hold,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// Starts a proxy and returns where it listens.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(to: SocketAddr, mode: watch::Receiver<Mode>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(pass(stream, to, mode.clone()));
        }
    });
    Ok(addr)
}

/// Passes bytes until either end closes. From the first piece that is lost on,
/// nothing more passes on this connection that way: a stream of bytes has no
/// holes, and a firewall that forgot a connection does not remember it again.
async fn pass(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return;
    }
    let Ok(from) = near.peer_addr() else {
        return;
    };
    let Ok(far) = entry_links::connect_from(from.ip(), to).await else {
        return;
    };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut reset = mode.clone();
    tokio::select! {
        () = copy(near_rx, far_tx, Way::There, mode.clone()) => {}
        () = copy(far_rx, near_tx, Way::Back, mode) => {}
        _ = reset.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn copy(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    way: Way,
    mode: watch::Receiver<Mode>,
) {
    let mut buf = vec![0; 16 << 10];
    let mut lost = false;
    let mut held = mode.clone();
    loop {
        let Ok(read) = rx.read(&mut buf).await else {
            return;
        };
        if held.wait_for(|mode| *mode != Mode::Hold).await.is_err() || read == 0 {
            return;
        }
        let now = *mode.borrow();
        lost |= now == Mode::Silence || now == Mode::CutAnswers && way == Way::Back;
        if lost {
            continue;
        }
        if now == Mode::Delay {
            sleep(DELAY).await;
        }
        if tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
