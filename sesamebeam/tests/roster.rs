//! Backend servers on a replica's disk.

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
fn read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(roster::read(&folder).expect("there is none"), []);
    let servers: Vec<_> = (0..9).map(announcement).collect();
    roster::write(&folder, &servers).expect("it is written");
    roster::write(&folder, &servers[1..]).expect("it is written again");
    assert_eq!(roster::read(&folder).expect("it is read"), servers[1..]);
}

#[test]
fn damaged() {
    // A write was torn by a loss of power. The replica starts without backend
    // servers, and does not end.
    let folder = tempfile::tempdir().expect("a folder");
    roster::write(&folder, &[announcement(1)]).expect("it is written");
    let path = folder.path().join("servers");
    let mut bytes = fs::read(&path).expect("it is there");
    for cut in 0..bytes.len() {
        fs::write(&path, &bytes[..cut]).expect("it is written");
        let read = roster::read(&folder);
        assert!(matches!(read, Err(RosterError::Damaged(_))), "{cut}");
    }
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("it is written");
    assert!(matches!(
        roster::read(&folder),
        Err(RosterError::Damaged(_))
    ));
}
