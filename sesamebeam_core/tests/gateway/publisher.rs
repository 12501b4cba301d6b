//! Updates that control replicas send to entries, and their cost.

use sesamebeam_core::gateway::{
    coordinator::{
        Action,
        ApiRequest,
        Coordinator,
        Event,
        MAX_ANNOUNCEMENTS_PER_MESSAGE,
        Recipients, //
    },
    directory::{
        Announcement,
        Directory, //
    },
    messages::{
        SyncState,
        Report,
        ToEntry, //
    },
    loads::LoadOf,
    request::Load,
};
use yare::parameterized;

use crate::fixtures::{
    addr,
    announcement,
    coordinator,
    ms, //
};

/// Numbers of entries and backend servers in the largest deployment.
const ENTRIES: u64 = 295;
const ENGINES: u16 = 168;

fn engine(number: u16) -> Announcement {
    Announcement {
        id: format!("server-{number}").into(),
        addr: ([10, 1, (number >> 8) as u8, number as u8], 8080).into(),
        ..announcement(1)
    }
}

/// Returns the messages to entries, each with its number of recipients.
fn pushes(actions: &[Action]) -> Vec<(usize, &ToEntry)> {
    let pushed = actions.iter().filter_map(|action| match action {
        Action::Push(Recipients::Only(lives), message) => Some((lives.len(), message)),
        Action::Push(Recipients::All, message) => Some((ENTRIES as usize, message)),
        _ => None,
    });
    pushed.collect()
}

fn connect_all(core: &mut Coordinator) -> Vec<Action> {
    let mut actions = Vec::new();
    for life in 1..=ENTRIES {
        let now = ms(life);
        actions.extend(core.handle(now, Event::EntryConnected(life)));
        if life % 5 == 0 {
            let held = SyncState::default();
            actions.extend(core.handle(now, Event::EntryFollows(life, held)));
        }
    }
    for at in (300..2000).step_by(10) {
        actions.extend(core.handle(ms(at), Event::Tick));
    }
    actions
}

#[test]
fn all_start_at_once() {
    // 295 entries start together. If each new connection makes the replica tell all other
    // entries the new count, these are 1 + 2 + .. + 295 = 43,660 messages before the first
    // configuration, and callers wait for seconds until the first entry serves them. The
    // limit of 1,100 includes all updates for the followers.
    let mut core = coordinator();
    let actions = connect_all(&mut core);
    let told: usize = pushes(&actions).iter().map(|(n, _)| n).sum();
    assert!(told <= 1100, "{told}");
    let counts = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Fleet { entries, .. } => Some(*entries),
        _ => None,
    });
    assert_eq!(counts.last(), Some(ENTRIES as u32));
}

#[test]
fn all_announce_anew() {
    // After a full power loss all backend servers announce themselves within a second. Sent
    // one by one to all entries these are 168 x 295 = 49,560 messages, which delay the
    // election and the configuration. With batches there are 1,500 or fewer.
    let mut core = coordinator();
    connect_all(&mut core);
    let mut told = 0;
    for number in 0..ENGINES {
        let now = ms(2000 + u64::from(number) * 7);
        let call = ApiRequest::Announce(engine(number));
        let actions = core.handle(now, Event::RequestReceived(u64::from(number), call));
        told += pushes(&actions).iter().map(|(n, _)| n).sum::<usize>();
    }
    let actions = core.handle(ms(3300), Event::Tick);
    told += pushes(&actions).iter().map(|(n, _)| n).sum::<usize>();
    assert!(told <= 1500, "{told}");
    assert!(core.directory().all().count() == usize::from(ENGINES));
}

#[parameterized(some = { 300 }, fleet = { 10_002 }, two_fleets = { 20_004 })]
fn bounded_messages(servers: u16) {
    // No single message may contain all backend servers: every connection keeps a buffer as
    // large as its largest message.
    let mut core = coordinator();
    core.handle(ms(0), Event::Servers((0..servers).map(engine).collect()));
    core.handle(ms(100), Event::EntryConnected(1));
    let actions = core.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let told = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.len()),
        _ => None,
    });
    let told: Vec<usize> = told.collect();
    assert_eq!(told.iter().sum::<usize>(), usize::from(servers));
    assert!(told.iter().all(|n| *n <= MAX_ANNOUNCEMENTS_PER_MESSAGE), "{told:?}");
}

#[parameterized(some = { 300 }, fleet = { 10_002 }, two_fleets = { 20_004 })]
fn one_missing(servers: u16) {
    // A single difference must not cause all other servers of its bucket to be sent.
    let mut core = coordinator();
    let all: Vec<_> = (0..servers).map(engine).collect();
    core.handle(ms(0), Event::Servers(all.clone()));
    let mut known = Directory::default();
    for said in &all[1..] {
        known.merge(ms(0), said.clone(), true);
    }
    let held = SyncState {
        servers: known.digests().clone(),
        ..SyncState::default()
    };
    core.handle(ms(100), Event::EntryConnected(1));
    let mut actions = core.handle(ms(200), Event::EntryFollows(1, held));
    let details = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::SectionDigests(details) => Some(details.clone()),
        _ => None,
    });
    if let Some(details) = details {
        let sections = known.differing_sections(&details);
        actions.extend(core.handle(ms(210), Event::SectionsRequested(1, sections)));
    }
    let told = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers),
        _ => None,
    });
    let told: Vec<&Announcement> = told.flatten().collect();
    assert!(
        told.contains(&&all[0]) && told.len() <= 20,
        "{}",
        told.len()
    );
}

#[parameterized(
    few_servers = { 40, 2, 40 },
    fleet = { 10_002, 2, 0 },
    fleet_busy = { 10_002, 4, 40 },
)]
fn idle_loads(servers: u16, running: u32, expected: usize) {
    // Loads that do not affect any routing decision must not be sent to every entry.
    let mut core = coordinator();
    core.handle(ms(0), Event::Servers((0..servers).map(engine).collect()));
    core.handle(ms(100), Event::EntryConnected(1));
    core.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let load = |number| {
        let load = Load {
            running,
            waiting: 0,
            slots: 16,
        };
        LoadOf::new(&engine(number).id, load)
    };
    let report = Report {
        loads: (0..40).map(load).collect(),
        ..Report::default()
    };
    let mut actions = core.handle(ms(1_000), Event::EntryReported(report));
    actions.extend(core.handle(ms(1_300), Event::Tick));
    let told = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Loads { loads, .. } => Some(loads.len()),
        _ => None,
    });
    assert_eq!(told, Some(expected));
}

#[test]
fn told_what_it_lacks() {
    // An entry that knows all backend servers but one reconnects. It is sent that one and
    // only few others.
    let mut core = coordinator();
    let servers: Vec<_> = (0..ENGINES).map(engine).collect();
    core.handle(ms(0), Event::Servers(servers.clone()));
    let mut known = Directory::default();
    for said in &servers[1..] {
        known.merge(ms(0), said.clone(), true);
    }
    let held = SyncState {
        config: None,
        servers: known.digests().clone(),
        entries: 0,
    };
    core.handle(ms(100), Event::EntryConnected(1));
    let actions = core.handle(ms(200), Event::EntryFollows(1, held));
    let told = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.clone()),
        _ => None,
    });
    let told = told.expect("it is told");
    assert!(
        told.contains(&servers[0]) && told.len() < 12,
        "{}",
        told.len()
    );
}

#[test]
fn learns_from_one() {
    // A replica has started with an empty directory. It requests the directory from a
    // single entry instead of from all of them, and from another one if the first does not
    // answer.
    let mut core = coordinator();
    let mut known = Directory::default();
    known.merge(ms(0), announcement(1), true);
    let held = SyncState {
        config: None,
        servers: known.digests().clone(),
        entries: 0,
    };
    let mut wants = Vec::new();
    for life in 1..=20 {
        let now = ms(life * 20);
        core.handle(now, Event::EntryConnected(life));
        let mut actions = core.handle(now, Event::EntryFollows(life, held.clone()));
        actions.extend(core.handle(now + ms(10), Event::Tick));
        let asked = pushes(&actions);
        wants.extend(
            asked
                .iter()
                .filter(|(_, m)| matches!(m, ToEntry::RequestBuckets(_)))
                .map(|_| life),
        );
    }
    assert!((1..=2).contains(&wants.len()), "{wants:?}");
}

#[test]
fn fast_after_a_calm() {
    // A backend server leaves while no batch is pending: entries are told immediately.
    let mut core = coordinator();
    core.handle(ms(0), Event::Servers(vec![announcement(1)]));
    core.handle(ms(0), Event::EntryConnected(1));
    core.handle(ms(100), Event::EntryFollows(1, SyncState::default()));
    core.handle(ms(1000), Event::Tick);
    let call = ApiRequest::Leave {
        id: "server-1".into(),
        started_at: None,
    };
    let actions = core.handle(ms(1001), Event::RequestReceived(1, call));
    let told = pushes(&actions)
        .into_iter()
        .any(|(_, m)| matches!(m, ToEntry::Servers(_)));
    assert!(told, "{actions:?}");
    assert_eq!(
        core.directory().get("server-1").map(|k| k.announcement.addr),
        Some(addr(1))
    );
}

#[test]
fn report_adds_up() {
    // The reports of several entries are forwarded as one, with the highest load of each
    // backend server.
    let report = |running| Report {
        loads: vec![LoadOf {
            server: 3,
            running,
            waiting: 0,
            reading: running as u16,
        }],
        ..Report::default()
    };
    let mut sum = report(4);
    sum.add(report(9));
    sum.add(report(2));
    let taken = sum.take();
    assert_eq!(taken.loads, report(9).loads);
    assert!(sum.is_empty());
}

/// Returns the backend servers to be saved, if any.
fn kept(actions: &[Action]) -> Option<&[Announcement]> {
    actions.iter().find_map(|action| match action {
        Action::SaveServers(servers) => Some(&servers[..]),
        _ => None,
    })
}

#[test]
fn kept_for_the_next_start() {
    // After a full power loss callers overload the first few backend servers that announce
    // themselves. A replica therefore saves its directory on changes, without the servers
    // that are gone. Heartbeats do not cause a save.
    let mut core = coordinator();
    let servers: Vec<_> = (0..ENGINES).map(engine).collect();
    core.handle(ms(0), Event::Servers(servers.clone()));
    let actions = core.handle(ms(600), Event::Tick);
    assert_eq!(kept(&actions).map(<[_]>::len), Some(usize::from(ENGINES)));
    let mut again = engine(3);
    again.sequence = 9;
    core.handle(ms(700), Event::RequestReceived(1, ApiRequest::Announce(again)));
    assert_eq!(kept(&core.handle(ms(1300), Event::Tick)), None);
    let call = ApiRequest::Leave {
        id: "server-3".into(),
        started_at: None,
    };
    let mut actions = core.handle(ms(1400), Event::RequestReceived(2, call));
    actions.extend(core.handle(ms(2000), Event::Tick));
    let kept = kept(&actions).expect("they are kept");
    assert_eq!(kept.len(), usize::from(ENGINES) - 1);
    // The next start loads them from disk and sends them to entries immediately.
    let mut next = coordinator();
    next.handle(ms(0), Event::Servers(kept.to_vec()));
    next.handle(ms(100), Event::EntryConnected(1));
    let actions = next.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let told = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.len()),
        _ => None,
    });
    assert_eq!(told, Some(usize::from(ENGINES) - 1));
}

#[test]
fn entries_behind_a_cut() {
    // A control replica restarts inside a network partition and counts only the three of
    // nine entries there. An entry that starts there derives its portion of the retry
    // budget and of the rate limits from that count, so the replica must use the number
    // reported by an entry that knows all nine.
    let mut core = coordinator();
    for life in 1..=3 {
        core.handle(ms(life), Event::EntryConnected(life));
    }
    let held = SyncState {
        entries: 9,
        ..SyncState::default()
    };
    let mut actions = core.handle(ms(100), Event::EntryFollows(1, held));
    actions.extend(core.handle(ms(200), Event::EntryFollows(2, SyncState::default())));
    for at in (300..700).step_by(10) {
        actions.extend(core.handle(ms(at), Event::Tick));
    }
    actions.extend(core.handle(ms(800), Event::EntryConnected(4)));
    let counts = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Fleet { entries, .. } => Some(*entries),
        _ => None,
    });
    let counts: Vec<u32> = counts.collect();
    assert_eq!(counts, [9, 9], "followers and the one that starts");
}
