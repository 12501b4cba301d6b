//! Digests of directories.

use sesamebeam_core::gateway::{
    digests::Digests,
    directory::{
        Announcement,
        Directory,
        ServerState, //
    },
};

use crate::fixtures::{
    announcement,
    ms, //
};

fn directory(servers: impl IntoIterator<Item = Announcement>) -> Directory {
    let mut directory = Directory::default();
    for server in servers {
        directory.merge(ms(0), server, true);
    }
    directory
}

#[test]
fn independent_of_order() {
    let one = directory((0..200).map(announcement));
    let other = directory((0..200).rev().map(announcement));
    assert_eq!(one.digests(), other.digests());
    assert_eq!(one.digests().combined(), other.digests().combined());
}

#[test]
fn one_server_differs() {
    // One of 200 backend servers starts to drain. Only its bucket differs, which holds few
    // others.
    let before = directory((0..200).map(announcement));
    let mut leaving = announcement(7);
    leaving.state = ServerState::Draining;
    leaving.sequence = 2;
    let mut after = directory((0..200).map(announcement));
    assert!(after.merge(ms(1), leaving, true));
    let differing = after.digests().differing_buckets(before.digests());
    assert!(differing.contains_server(&"server-7".into()));
    let sent = before
        .all()
        .filter(|k| differing.contains_server(&k.announcement.id));
    assert!(sent.count() < 12);
}

#[test]
fn unchanged_by_heartbeat() {
    let mut directory = directory([announcement(7)]);
    let before = directory.digests().clone();
    let mut again = announcement(7);
    again.sequence = 2;
    assert!(!directory.merge(ms(1), again, true));
    assert_eq!(directory.digests(), &before);
}

#[test]
fn gone_equals_forgotten() {
    // A process that remembers that a backend server is gone has the same digests as one
    // that has forgotten it.
    let mut with_gone = directory([announcement(7)]);
    assert!(with_gone.mark_gone(ms(1), "server-7", None).is_some());
    assert_eq!(with_gone.digests(), &Digests::default());
}
