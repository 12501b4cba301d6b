//! Messages between processes over TCP.

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

/// Timeout for operations on loopback.
const TIMEOUT: Duration = Duration::from_secs(5);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (client, server) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (client.expect("connected"), server.expect("accepted").0)
}

/// Sends an encoded message over loopback and decodes it.
async fn round_trip(encoded: Bytes) -> Result<Vec<String>, FrameError> {
    let (client, server) = pair().await;
    let (mut tx, _rx) = frames::split(client).expect("a socket");
    let (_tx, mut rx) = frames::split(server).expect("a socket");
    tx.send_encoded(encoded).await.expect("sent");
    timeout(TIMEOUT, rx.next()).await.expect("in time")
}

fn routes(count: usize) -> Vec<String> {
    let route = |n| format!(r#"{{"name":"r-{n}","host":"desk.example","path_prefix":"/p{n}/"}}"#);
    (0..count).map(route).collect()
}

#[tokio::test]
async fn large_message() {
    // Guards against streams of callers that stall for a second at every entry,
    // when each of six control replicas sends a configuration of 888 routes over
    // a 10 Mbit/s link ahead of other messages. Compression must reduce it to
    // less than a tenth.
    let message = routes(888);
    let encoded = frames::encode(&message).expect("encoded");
    let plain: usize = message.iter().map(String::len).sum();
    assert!(encoded.len() * 10 < plain, "{} of {plain}", encoded.len());
    assert_eq!(round_trip(encoded).await.expect("decoded"), message);
}

#[tokio::test]
async fn small_message() {
    let message = routes(2);
    let encoded = frames::encode(&message).expect("encoded");
    assert_eq!(round_trip(encoded).await.expect("decoded"), message);
}

#[tokio::test]
async fn unpacked_too_large() {
    // A small frame that decompresses to more than the maximum message size must
    // be rejected before it exhausts the memory.
    let oversized = vec![String::from_utf8(vec![b' '; 1 << 20]).expect("text"); 64];
    let encoded = frames::encode(&oversized).expect("encoded");
    assert!(encoded.len() < 1 << 20);
    assert!(round_trip(encoded).await.is_err());
}

proptest! {
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Any input decodes to a message or an error, without a panic.
        let _ = frames::decode::<Vec<String>>(&bytes);
    }
}
