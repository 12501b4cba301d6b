//! Storage of backend servers on a replica's disk.

use std::{
    fs,
    time::Duration, //
};

use sesamebeam::group::roster::{
    self,
    RosterError, //
};
use sesamebeam_core::gateway::directory::{
    Announcement,
    ServerState, //
};

fn announcement(number: u8) -> Announcement {
    Announcement {
        id: format!("server-{number}").into(),
        started_at: 5,
        service: "pool".into(),
        addr: ([10, 0, 0, number], 8080).into(),
        domain: "hall-1".into(),
        version: "v1".into(),
        slots: 10,
        state: ServerState::Ready,
        cold: Duration::ZERO,
        models: vec!["small".into()],
        sequence: 7,
    }
}

#[test]
fn round_trip() {
    let dir = tempfile::tempdir().expect("temporary directory");
    assert_eq!(roster::read(&dir).expect("missing file reads as empty"), []);
    let servers: Vec<_> = (0..9).map(announcement).collect();
    roster::write(&dir, &servers).expect("write");
    roster::write(&dir, &servers[1..]).expect("overwrite");
    assert_eq!(roster::read(&dir).expect("read"), servers[1..]);
}

#[test]
fn damaged() {
    // A power failure during a write leaves a truncated or corrupt file. Reading it must
    // return an error, with which the replica starts without backend servers instead of
    // exiting.
    let dir = tempfile::tempdir().expect("temporary directory");
    roster::write(&dir, &[announcement(1)]).expect("write");
    let path = dir.path().join("servers");
    let mut bytes = fs::read(&path).expect("read raw file");
    for cut in 0..bytes.len() {
        fs::write(&path, &bytes[..cut]).expect("write");
        let read = roster::read(&dir);
        assert!(matches!(read, Err(RosterError::Damaged(_))), "{cut}");
    }
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("write");
    assert!(matches!(roster::read(&dir), Err(RosterError::Damaged(_))));
}
