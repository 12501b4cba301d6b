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
    loads::ServerLoad,
    messages::{
        Report,
        SyncState,
        ToEntry, //
    },
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
const SERVERS: u16 = 168;

fn numbered_server(number: u16) -> Announcement {
    Announcement {
        id: format!("server-{number}").into(),
        addr: ([10, 1, (number >> 8) as u8, number as u8], 8080).into(),
        ..announcement(1)
    }
}

/// Returns the messages to entries, each with its number of recipients.
fn pushes(actions: &[Action]) -> Vec<(usize, &ToEntry)> {
    let pushed = actions.iter().filter_map(|action| match action {
        Action::Push(Recipients::Only(recipients), message) => Some((recipients.len(), message)),
        Action::Push(Recipients::All, message) => Some((ENTRIES as usize, message)),
        _ => None,
    });
    pushed.collect()
}

fn connect_all(core: &mut Coordinator) -> Vec<Action> {
    let mut actions = Vec::new();
    for entry in 1..=ENTRIES {
        let now = ms(entry);
        actions.extend(core.handle(now, Event::EntryConnected(entry)));
        if entry % 5 == 0 {
            let sync_state = SyncState::default();
            actions.extend(core.handle(now, Event::EntryFollows(entry, sync_state)));
        }
    }
    for at in (300..2000).step_by(10) {
        actions.extend(core.handle(ms(at), Event::Tick));
    }
    actions
}

#[test]
fn entries_start_together() {
    // 295 entries start together. If each new connection makes the replica tell all other
    // entries the new count, these are 1 + 2 + .. + 295 = 43,660 messages before the first
    // configuration, and callers wait for seconds until the first entry serves them. The
    // limit of 1,100 includes all updates for the followers.
    let mut core = coordinator();
    let actions = connect_all(&mut core);
    let sent: usize = pushes(&actions).iter().map(|(n, _)| n).sum();
    assert!(sent <= 1100, "{sent}");
    let counts = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Fleet { entries, .. } => Some(*entries),
        _ => None,
    });
    assert_eq!(counts.last(), Some(ENTRIES as u32));
}

#[test]
fn servers_reannounce_together() {
    // After a full power loss all backend servers announce themselves within a second. Sent
    // one by one to all entries these are 168 x 295 = 49,560 messages, which delay the
    // election and the configuration. With batches there are 1,500 or fewer.
    let mut core = coordinator();
    connect_all(&mut core);
    let mut sent = 0;
    for number in 0..SERVERS {
        let now = ms(2000 + u64::from(number) * 7);
        let request = ApiRequest::Announce(numbered_server(number));
        let actions = core.handle(now, Event::RequestReceived(u64::from(number), request));
        sent += pushes(&actions).iter().map(|(n, _)| n).sum::<usize>();
    }
    let actions = core.handle(ms(3300), Event::Tick);
    sent += pushes(&actions).iter().map(|(n, _)| n).sum::<usize>();
    assert!(sent <= 1500, "{sent}");
    assert!(core.directory().all().count() == usize::from(SERVERS));
}

#[parameterized(some = { 300 }, fleet = { 10_002 }, two_fleets = { 20_004 })]
fn bounded_message_size(servers: u16) {
    // No single message may contain all backend servers: every connection keeps a buffer as
    // large as its largest message.
    let mut core = coordinator();
    core.handle(
        ms(0),
        Event::Servers((0..servers).map(numbered_server).collect()),
    );
    core.handle(ms(100), Event::EntryConnected(1));
    let actions = core.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let sent = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.len()),
        _ => None,
    });
    let sent: Vec<usize> = sent.collect();
    assert_eq!(sent.iter().sum::<usize>(), usize::from(servers));
    assert!(
        sent.iter().all(|n| *n <= MAX_ANNOUNCEMENTS_PER_MESSAGE),
        "{sent:?}"
    );
}

#[parameterized(some = { 300 }, fleet = { 10_002 }, two_fleets = { 20_004 })]
fn one_server_missing(servers: u16) {
    // A single difference must not cause all other servers of its bucket to be sent.
    let mut core = coordinator();
    let all: Vec<_> = (0..servers).map(numbered_server).collect();
    core.handle(ms(0), Event::Servers(all.clone()));
    let mut known = Directory::default();
    for server in &all[1..] {
        known.merge(ms(0), server.clone(), true);
    }
    let sync_state = SyncState {
        servers: known.digests().clone(),
        ..SyncState::default()
    };
    core.handle(ms(100), Event::EntryConnected(1));
    let mut actions = core.handle(ms(200), Event::EntryFollows(1, sync_state));
    let details = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::SectionDigests(details) => Some(details.clone()),
        _ => None,
    });
    if let Some(details) = details {
        let sections = known.differing_sections(&details);
        actions.extend(core.handle(ms(210), Event::SectionsRequested(1, sections)));
    }
    let sent = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers),
        _ => None,
    });
    let sent: Vec<&Announcement> = sent.flatten().collect();
    assert!(
        sent.contains(&&all[0]) && sent.len() <= 20,
        "{}",
        sent.len()
    );
}

#[parameterized(
    few_servers = { 40, 2, 40 },
    fleet = { 10_002, 2, 0 },
    fleet_busy = { 10_002, 4, 40 },
)]
fn idle_loads_not_sent(servers: u16, running: u32, expected: usize) {
    // Loads that do not affect any routing decision must not be sent to every entry.
    let mut core = coordinator();
    core.handle(
        ms(0),
        Event::Servers((0..servers).map(numbered_server).collect()),
    );
    core.handle(ms(100), Event::EntryConnected(1));
    core.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let load = |number| {
        let load = Load {
            running,
            waiting: 0,
            slots: 16,
            slowdown: None,
        };
        ServerLoad::new(&numbered_server(number).id, load)
    };
    let report = Report {
        loads: (0..40).map(load).collect(),
        ..Report::default()
    };
    let mut actions = core.handle(ms(1_000), Event::EntryReported(report));
    actions.extend(core.handle(ms(1_300), Event::Tick));
    let sent = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Loads { loads, .. } => Some(loads.len()),
        _ => None,
    });
    assert_eq!(sent, Some(expected));
}

#[test]
fn sends_only_missing_servers() {
    // An entry that knows all backend servers but one reconnects. It is sent that one and
    // only few others.
    let mut core = coordinator();
    let servers: Vec<_> = (0..SERVERS).map(numbered_server).collect();
    core.handle(ms(0), Event::Servers(servers.clone()));
    let mut known = Directory::default();
    for server in &servers[1..] {
        known.merge(ms(0), server.clone(), true);
    }
    let sync_state = SyncState {
        config: None,
        servers: known.digests().clone(),
        entries: 0,
    };
    core.handle(ms(100), Event::EntryConnected(1));
    let actions = core.handle(ms(200), Event::EntryFollows(1, sync_state));
    let sent = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.clone()),
        _ => None,
    });
    let sent = sent.expect("servers are sent");
    assert!(
        sent.contains(&servers[0]) && sent.len() < 12,
        "{}",
        sent.len()
    );
}

#[test]
fn requests_directory_from_one_entry() {
    // A replica has started with an empty directory. It requests the directory from a
    // single entry instead of from all of them, and from another one if the first does not
    // answer.
    let mut core = coordinator();
    let mut known = Directory::default();
    known.merge(ms(0), announcement(1), true);
    let sync_state = SyncState {
        config: None,
        servers: known.digests().clone(),
        entries: 0,
    };
    let mut requests = Vec::new();
    for entry in 1..=20 {
        let now = ms(entry * 20);
        core.handle(now, Event::EntryConnected(entry));
        let mut actions = core.handle(now, Event::EntryFollows(entry, sync_state.clone()));
        actions.extend(core.handle(now + ms(10), Event::Tick));
        let pushed = pushes(&actions);
        requests.extend(
            pushed
                .iter()
                .filter(|(_, m)| matches!(m, ToEntry::RequestBuckets(_)))
                .map(|_| entry),
        );
    }
    assert!((1..=2).contains(&requests.len()), "{requests:?}");
}

#[test]
fn immediate_when_idle() {
    // A backend server leaves while no batch is pending: entries are told immediately.
    let mut core = coordinator();
    core.handle(ms(0), Event::Servers(vec![announcement(1)]));
    core.handle(ms(0), Event::EntryConnected(1));
    core.handle(ms(100), Event::EntryFollows(1, SyncState::default()));
    core.handle(ms(1000), Event::Tick);
    let request = ApiRequest::Leave {
        id: "server-1".into(),
        started_at: None,
    };
    let actions = core.handle(ms(1001), Event::RequestReceived(1, request));
    let sent = pushes(&actions)
        .into_iter()
        .any(|(_, m)| matches!(m, ToEntry::Servers(_)));
    assert!(sent, "{actions:?}");
    assert_eq!(
        core.directory()
            .get("server-1")
            .map(|k| k.announcement.addr),
        Some(addr(1))
    );
}

#[test]
fn reports_are_aggregated() {
    // The reports of several entries are forwarded as one, with the highest load of each
    // backend server.
    let report = |running| Report {
        loads: vec![ServerLoad {
            server: 3,
            running,
            waiting: 0,
            prefill_ms: running as u16,
            slowdown_percent: 0,
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
fn saved(actions: &[Action]) -> Option<&[Announcement]> {
    actions.iter().find_map(|action| match action {
        Action::SaveServers(servers) => Some(&servers[..]),
        _ => None,
    })
}

#[test]
fn saved_for_the_next_start() {
    // After a full power loss callers overload the first few backend servers that announce
    // themselves. A replica therefore saves its directory on changes, without the servers
    // that are gone. Heartbeats do not cause a save.
    let mut core = coordinator();
    let servers: Vec<_> = (0..SERVERS).map(numbered_server).collect();
    core.handle(ms(0), Event::Servers(servers.clone()));
    let actions = core.handle(ms(600), Event::Tick);
    assert_eq!(saved(&actions).map(<[_]>::len), Some(usize::from(SERVERS)));
    let mut again = numbered_server(3);
    again.sequence = 9;
    core.handle(
        ms(700),
        Event::RequestReceived(1, ApiRequest::Announce(again)),
    );
    assert_eq!(saved(&core.handle(ms(1300), Event::Tick)), None);
    let request = ApiRequest::Leave {
        id: "server-3".into(),
        started_at: None,
    };
    let mut actions = core.handle(ms(1400), Event::RequestReceived(2, request));
    actions.extend(core.handle(ms(2000), Event::Tick));
    let saved = saved(&actions).expect("servers are saved");
    assert_eq!(saved.len(), usize::from(SERVERS) - 1);
    // The next start loads them from disk and sends them to entries immediately.
    let mut next = coordinator();
    next.handle(ms(0), Event::Servers(saved.to_vec()));
    next.handle(ms(100), Event::EntryConnected(1));
    let actions = next.handle(ms(200), Event::EntryFollows(1, SyncState::default()));
    let sent = pushes(&actions).into_iter().find_map(|(_, m)| match m {
        ToEntry::Servers(servers) => Some(servers.len()),
        _ => None,
    });
    assert_eq!(sent, Some(usize::from(SERVERS) - 1));
}

/// Guards against entries that assume too few others after they have followed another replica,
/// which had told its followers of them before.
#[test]
fn entry_count_for_a_follower() {
    let mut core = coordinator();
    for entry in 1..=9 {
        core.handle(ms(entry), Event::EntryConnected(entry));
    }
    for at in (300..2000).step_by(10) {
        core.handle(ms(at), Event::Tick);
    }
    let follow = |core: &mut Coordinator, entries| {
        let sync_state = SyncState {
            entries,
            ..SyncState::default()
        };
        let actions = core.handle(ms(2100), Event::EntryFollows(1, sync_state));
        let counts = pushes(&actions).into_iter().filter_map(|(_, m)| match m {
            ToEntry::Fleet { entries, .. } => Some(*entries),
            _ => None,
        });
        counts.collect::<Vec<u32>>()
    };
    assert_eq!(follow(&mut core, 5), [9]);
    assert_eq!(follow(&mut core, 9), [], "it knows them");
}

#[test]
fn entry_count_in_a_partition() {
    // A control replica restarts inside a network partition and counts only the three of
    // nine entries there. An entry that starts there derives its portion of the retry
    // budget and of the rate limits from that count, so the replica must use the number
    // reported by an entry that knows all nine.
    let mut core = coordinator();
    for entry in 1..=3 {
        core.handle(ms(entry), Event::EntryConnected(entry));
    }
    let sync_state = SyncState {
        entries: 9,
        ..SyncState::default()
    };
    let mut actions = core.handle(ms(100), Event::EntryFollows(1, sync_state));
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
    assert_eq!(
        counts,
        [9, 9],
        "both followers and the new entry receive the count"
    );
}
