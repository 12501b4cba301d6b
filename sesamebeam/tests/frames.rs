//! Messages between processes on TCP.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use sesamebeam::frames::{
    self,
    FrameError, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout,
};

/// Longest wait for anything on loopback.
const PATIENCE: Duration = Duration::from_secs(5);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (near, far) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (near.expect("connected"), far.expect("accepted").0)
}

/// Sends an encoded message over loopback and reads it.
async fn pass(encoded: Bytes) -> Result<Vec<String>, FrameError> {
    let (near, far) = pair().await;
    let (mut tx, _back) = frames::split(near).expect("a socket");
    let (_forth, mut rx) = frames::split(far).expect("a socket");
    tx.send_encoded(encoded).await.expect("it leaves");
    timeout(PATIENCE, rx.next()).await.expect("in time")
}

fn routes(count: usize) -> Vec<String> {
    let route = |n| format!(r#"{{"name":"r-{n}","host":"desk.example","path_prefix":"/p{n}/"}}"#);
    (0..count).map(route).collect()
}

#[tokio::test]
async fn large_message() {
    // Callers' streams stall for a second at every entry: a configuration of 888
    // routes comes from each of six control replicas over a link of 10 Mbit/s,
    // before the events that come after it. It goes packed, in a tenth.
    let message = routes(888);
    let encoded = frames::encode(&message).expect("it has an encoding");
    let plain: usize = message.iter().map(String::len).sum();
    assert!(encoded.len() * 10 < plain, "{} of {plain}", encoded.len());
    assert_eq!(pass(encoded).await.expect("it is read"), message);
}

#[tokio::test]
async fn small_message() {
    let message = routes(2);
    let encoded = frames::encode(&message).expect("it has an encoding");
    assert_eq!(pass(encoded).await.expect("it is read"), message);
}

#[tokio::test]
async fn unpacked_too_large() {
    // A frame that claims to be small and unpacks to more than any message may
    // be is refused before it fills the memory.
    let bomb = vec![String::from_utf8(vec![b' '; 1 << 20]).expect("text"); 64];
    let encoded = frames::encode(&bomb).expect("it has an encoding");
    assert!(encoded.len() < 1 << 20);
    assert!(pass(encoded).await.is_err());
}

proptest! {
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Whatever comes is a message or an error.
        let _ = frames::decode::<Vec<String>>(&bytes);
    }
}
