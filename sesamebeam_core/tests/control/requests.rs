//! Client requests: replies of leaders and followers, and of replicas that cannot
//! serve.

use std::time::Duration;

use sesamebeam_core::{
    control::ControlEvent,
    message::{
        control::{
            ControlReply,
            ControlRequest,
            LeaderHint, //
        },
        record::{
            ClaimKey,
            ClaimReply,
            PinKey,
            PinRequest,
            PinView, //
        },
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    Group,
    change,
    claim,
    complete,
    fleet,
    key, //
};

#[test]
fn follower_names_leader() {
    let mut group = Group::new(Faults::default());
    let leader = group.wait_leader();
    let follower = leader % 3 + 1;
    let reply = group.request(follower, ControlRequest::Current);
    let hint = LeaderHint {
        node: leader,
        addr: None,
    };
    assert_eq!(reply, ControlReply::NotLeader(Some(hint)));
    let ControlReply::Status(status) = group.request(follower, ControlRequest::Status) else {
        panic!("every replica serves status requests");
    };
    assert_eq!((status.node, status.leader), (follower, Some(leader)));
}

#[test]
fn reads_after_writes() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let ControlReply::Current { revision, fleet: f } =
        group.request_leader(ControlRequest::Current)
    else {
        panic!("the leader serves reads");
    };
    assert_eq!((revision, *f), (1, fleet()));
    group.claim(claim(1, 0));
    group.request_leader(complete(1, 1));
    let bills = group.request_leader(ControlRequest::Bills { from: 1, limit: 5 });
    assert!(matches!(bills, ControlReply::Bills(bills) if bills.len() == 1));
    let pin = ControlRequest::Pin(PinRequest {
        key: PinKey {
            org: "vazna".into(),
            session: "s".into(),
            model: "beam".into(),
        },
        version: "beam@v1".into(),
        replaces: 0,
    });
    let pinned = ControlReply::Pin(PinView {
        generation: 1,
        version: "beam@v1".into(),
    });
    assert_eq!(group.request_leader(pin), pinned);
    let other = ControlRequest::GetClaim(ClaimKey {
        key: "none".into(),
        ..key()
    });
    assert_eq!(group.request_leader(other), ControlReply::Claimed(None));
}

/// An isolated leader must reply that it cannot serve instead of serving reads from
/// its state, which a new leader may have changed.
#[test]
fn cut_leader_is_silent() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let old = group.wait_leader();
    group.isolate(old);
    let pending = group.send(old, ControlRequest::Apply(change(1, 2, fleet())));
    group.wait_other_leader(old);
    for req in [ControlRequest::Current, ControlRequest::GetClaim(key())] {
        let reply = group.request(old, req);
        let honest = matches!(
            reply,
            ControlReply::Unavailable(_) | ControlReply::NotLeader(_)
        );
        assert!(honest, "{reply:?}");
    }
    group.run(Duration::from_secs(10));
    assert!(matches!(
        group.reply(pending),
        Some(ControlReply::Unavailable(_))
    ));
}

/// The disks of all replicas fill up one after another. Writes are refused, but
/// reads must still be served.
#[parameterized(
    leader_first = { 0 },
    leader_second = { 2 },
    leader_last = { 1 },
)]
fn full_disks(before: u64) {
    let mut group = Group::new(Faults::default());
    let leader = group.wait_leader();
    for n in 0..3 {
        let id = (leader + before + n - 1) % 3 + 1;
        group.handle(id, ControlEvent::DiskFull(true));
        group.run(Duration::from_secs(2));
    }
    let leader = group.wait_leader();
    let reply = group.request(leader, ControlRequest::Claim(claim(1, 0)));
    assert!(matches!(reply, ControlReply::Unavailable(_)), "{reply:?}");
    let read = group.request(leader, ControlRequest::Current);
    assert!(matches!(read, ControlReply::Current { .. }), "{read:?}");
}

/// A follower with a slow disk takes a snapshot of entries that it has applied but
/// not yet written, and discards them. The leader then fails, and the group needs
/// that follower for a quorum.
#[test]
fn slow_disk() {
    let mut group = Group::with(Faults::default(), |cfg| cfg.replica.snapshot_every = 5);
    let leader = group.wait_leader();
    let slow = leader % 3 + 1;
    group.set_sync_time(slow, Duration::from_secs(2));
    for n in 1..=30 {
        let mut claim = claim(n, 0);
        claim.key.key = smol_str::format_smolstr!("{n}");
        group.claim(claim);
    }
    group.set_sync_time(slow, Duration::from_millis(1));
    group.run(Duration::from_secs(5));
    group.kill(leader);
    group.wait_other_leader(leader);
    let reply = group.claim(claim(31, 0));
    assert_eq!(reply, ClaimReply::Granted(1));
}

/// The log contains a command of a newer release. If a replica skipped it, its
/// state would diverge from that of the group, so it must stop serving requests.
#[test]
fn unknown_command() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    group.run(Duration::from_secs(1));
    for id in 1..=3 {
        group.kill(id);
        group.append_entry(id, &[1, 250]);
    }
    (1..=3).for_each(|id| group.start(id));
    group.run(Duration::from_secs(10));
    for id in 1..=3 {
        assert!(!group.core(id).leads(group.now));
        let reply = group.request(id, ControlRequest::Current);
        assert!(matches!(reply, ControlReply::Unavailable(_)), "{reply:?}");
        assert_eq!(group.core(id).state().revision(), 1);
    }
}
