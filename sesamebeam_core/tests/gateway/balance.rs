//! Choice of a backend server.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use sesamebeam_core::gateway::{
    balance::{
        Affinity,
        Balance,
        Need,
        Outcome, //
    },
    directory::{
        Announcement,
        ServerRecord, //
    },
    loads::{
        self,
        LoadOf, //
    },
    pool::Doubt,
    request::Load,
};

use crate::fixtures::{
    announcement,
    ms, //
};

const NEED: Need<'static> = Need {
    affinity: None,
    reading: Duration::from_millis(5),
    domain: "hall-1",
    tried: &[],
    once: false,
    seed: 1,
};

/// Makes up a long shared prompt.
fn sharing(key: u64) -> Affinity {
    Affinity { key, tokens: 5_000 }
}

fn known(said: Announcement) -> ServerRecord {
    ServerRecord {
        announcement: said,
        last_heard_at: ms(0),
        cold_until: ms(0),
    }
}

fn servers(count: u8) -> Vec<ServerRecord> {
    (0..count).map(|n| known(announcement(n))).collect()
}

fn choose(balance: &mut Balance, now: u64, servers: &[ServerRecord], need: &Need<'_>) -> String {
    let all: Vec<&ServerRecord> = servers.iter().collect();
    let chosen = balance.choose(ms(now), &all, need);
    chosen.expect("there is one").announcement.id.to_string()
}

#[test]
fn same_prompt_same_server() {
    // Two entries that know nothing of each other send requests with the same
    // prompt to the same backend server, which reads it once.
    let servers = servers(8);
    let need = Need {
        affinity: Some(sharing(42)),
        ..NEED
    };
    let first = choose(&mut Balance::default(), 0, &servers, &need);
    let other = choose(
        &mut Balance::default(),
        0,
        &servers,
        &Need { seed: 9, ..need },
    );
    assert_eq!(first, other);
}

#[test]
fn hot_prompt_spreads() {
    // One prompt gets all the traffic. Beyond the bound on its load its
    // backend server is passed over, and others read the prompt as well.
    let servers = servers(8);
    let mut balance = Balance::default();
    let need = Need {
        affinity: Some(sharing(42)),
        ..NEED
    };
    let used: BTreeSet<String> = (0..40)
        .map(|_| choose(&mut balance, 0, &servers, &need))
        .collect();
    assert!(used.len() >= 4, "{used:?}");
}

#[test]
fn near_first() {
    let mut servers = servers(4);
    servers[3].announcement.domain = "hall-2".into();
    servers[0].announcement.domain = "hall-2".into();
    let mut balance = Balance::default();
    for _ in 0..4 {
        let chosen = choose(&mut balance, 0, &servers, &NEED);
        assert!(["server-1", "server-2"].contains(&chosen.as_str()));
    }
}

#[test]
fn far_when_near_is_full() {
    let mut servers = servers(2);
    servers[1].announcement.domain = "hall-2".into();
    let mut balance = Balance::default();
    let full = Load {
        running: 10,
        waiting: 4,
        slots: 10,
    };
    balance.heard(ms(0), &"server-0".into(), Some(full));
    assert_eq!(choose(&mut balance, 0, &servers, &NEED), "server-1");
    assert_eq!(choose(&mut balance, 60_000, &servers, &NEED), "server-0");
}

#[test]
fn unreachable_rests() {
    // A backend server cannot be reached. It gets nothing until its pause is
    // over, and then the next request tries it again.
    let servers = servers(2);
    let mut balance = Balance::default();
    let need = Need {
        affinity: Some(sharing(3)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    balance.finished(ms(0), &first.as_str().into(), Outcome::Unreachable);
    assert_ne!(choose(&mut balance, 100, &servers, &need), first);
    assert_eq!(choose(&mut balance, 300, &servers, &need), first);
}

#[test]
fn failing_one_is_left_out() {
    // One backend server fails half of its requests though it calls itself
    // healthy; the others fail one in ten, as the service does.
    let servers = servers(4);
    let mut balance = Balance::default();
    for n in 0..40 {
        for server in &servers {
            let bad = server.announcement.id == "server-2";
            let outcome = match n % 10 {
                0 => Outcome::Failed,
                k if bad && k % 2 == 0 => Outcome::Failed,
                _ => Outcome::Good,
            };
            balance.finished(ms(n), &server.announcement.id, outcome);
        }
    }
    let chosen: Vec<String> = (0..20)
        .map(|seed| choose(&mut balance, 50, &servers, &Need { seed, ..NEED }))
        .collect();
    assert!(!chosen.contains(&"server-2".to_owned()), "{chosen:?}");
    assert!(chosen.contains(&"server-1".to_owned()), "{chosen:?}");
}

/// Has entries doubt a backend server that fails two in five of its answers.
fn doubt(balance: &mut Balance, id: &str) {
    let server = loads::key(&id.into());
    balance.set_doubts([Doubt {
        server,
        failing: 40,
    }]);
}

#[test]
fn doubted_by_others() {
    // A booking may run only once, and an entry that sends one a second never sees
    // that its backend server breaks off two in five. What all entries have seen
    // keeps bookings away; reads go there now and then, to see whether it is well.
    let servers = servers(4);
    let mut balance = Balance::default();
    doubt(&mut balance, "server-2");
    let mut chosen = |once| -> Vec<String> {
        let need = |seed| Need { seed, once, ..NEED };
        let chosen = (0..64).map(|seed| choose(&mut balance, 50, &servers, &need(seed)));
        chosen.collect()
    };
    assert!(!chosen(true).contains(&"server-2".to_owned()));
    assert!(chosen(false).contains(&"server-2".to_owned()));
}

#[test]
fn doubted_engine_passed_over() {
    let servers = servers(4);
    let mut balance = Balance::default();
    let need = Need {
        affinity: Some(sharing(3)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    doubt(&mut balance, &first);
    assert_ne!(choose(&mut balance, 0, &servers, &need), first);
}

#[test]
fn doubted_when_all_are_full() {
    // The others have queues of many times their slots: a doubted one is better.
    let servers = servers(2);
    let mut balance = Balance::default();
    doubt(&mut balance, "server-1");
    let full = Load {
        running: 10,
        waiting: 24,
        slots: 10,
    };
    balance.heard(ms(0), &"server-0".into(), Some(full));
    let need = Need { once: true, ..NEED };
    assert_eq!(choose(&mut balance, 0, &servers, &need), "server-1");
}

#[test]
fn another_after_a_failure() {
    let servers = servers(3);
    let tried = ["server-0".into(), "server-1".into()];
    let need = Need {
        tried: &tried,
        ..NEED
    };
    assert_eq!(
        choose(&mut Balance::default(), 0, &servers, &need),
        "server-2"
    );
}

/// Returns where requests with different prompts go, one a time.
fn domains(balance: &mut Balance, times: &[u64], servers: &[ServerRecord]) -> Vec<String> {
    let domain = |&now: &u64| {
        let need = Need {
            affinity: Some(sharing(now * 7919)),
            ..NEED
        };
        let chosen = choose(balance, now, servers, &need);
        let chosen = servers.iter().find(|k| k.announcement.id == chosen);
        chosen.expect("one of them").announcement.domain.to_string()
    };
    times.iter().map(domain).collect()
}

#[test]
fn told_by_others_nearby() {
    // Callers wait for a connection in vain, one after the other at each of hundreds
    // of entries: the way to a failure domain is cut. What two entries nearby have
    // found out is enough for all of them.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = Balance::default();
    for id in ["server-5", "server-9"] {
        balance.told_unreached(ms(0), &id.into(), &"hall-2".into(), false);
    }
    let times: Vec<u64> = (10..60).collect();
    let used = domains(&mut balance, &times, &servers);
    assert!(used.iter().all(|d| d == "hall-1"), "{used:?}");
}

#[test]
fn down_is_not_cut() {
    // Several backend servers of a failure domain are down. The way there is whole,
    // and the others get requests.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = Balance::default();
    for id in ["server-5", "server-9", "server-11"] {
        balance.told_unreached(ms(0), &id.into(), &"hall-2".into(), true);
    }
    let times: Vec<u64> = (10..60).collect();
    let used = domains(&mut balance, &times, &servers);
    assert!(used.iter().any(|d| d == "hall-2"), "{used:?}");
}

#[test]
fn heard_counts_for_more() {
    // Another entry could not reach a backend server that has just answered here.
    let servers = servers(2);
    let mut balance = Balance::default();
    let need = Need {
        affinity: Some(sharing(3)),
        ..NEED
    };
    let first = choose(&mut balance, 1000, &servers, &need);
    balance.heard(ms(1000), &first.as_str().into(), None);
    balance.told_unreached(ms(1100), &first.as_str().into(), &"hall-1".into(), false);
    assert_eq!(choose(&mut balance, 1100, &servers, &need), first);
}

#[test]
fn way_cut() {
    // Callers' answers are late by a wait for a connection, again and again: the
    // way to a failure domain with many backend servers is cut, and each of them
    // had to fail by itself. Two of them now tell of the rest; then one request
    // at a time tries the way, until one is heard.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = Balance::default();
    let far: Vec<&ServerRecord> = servers[2..].iter().collect();
    for _ in 0..2 {
        let chosen = balance.choose(ms(0), &far, &NEED).expect("there is one");
        balance.finished(ms(0), &chosen.announcement.id, Outcome::Unreachable);
    }
    let soon: Vec<u64> = (1..240).collect();
    let soon = domains(&mut balance, &soon, &servers);
    assert!(soon.iter().all(|d| d == "hall-1"), "{soon:?}");
    let later: Vec<u64> = (600..800).collect();
    let later = domains(&mut balance, &later, &servers);
    let tries = later.iter().filter(|d| *d == "hall-2").count();
    assert_eq!(tries, 1, "{later:?}");
    let tried = servers.iter().find(|k| k.announcement.domain == "hall-2");
    let tried = tried.expect("there is one").announcement.id.clone();
    let only: Vec<&ServerRecord> = servers
        .iter()
        .filter(|k| k.announcement.id == tried)
        .collect();
    balance.choose(ms(801), &only, &NEED).expect("there is one");
    balance.heard(ms(802), &tried, None);
    let healed: Vec<u64> = (803..900).collect();
    let healed = domains(&mut balance, &healed, &servers);
    assert!(healed.iter().any(|d| d == "hall-2"), "{healed:?}");
}

#[test]
fn one_down() {
    // One backend server is down while others of its failure domain answer: that
    // tells nothing of the way to them.
    let mut servers = servers(8);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = Balance::default();
    let far: Vec<&ServerRecord> = servers[2..].iter().collect();
    for _ in 0..4 {
        let chosen = balance.choose(ms(0), &far, &NEED).expect("there is one");
        let id = chosen.announcement.id.clone();
        balance.finished(ms(0), &id, Outcome::Unreachable);
        let other = far
            .iter()
            .find(|k| k.announcement.id != id)
            .expect("another");
        balance
            .choose(ms(0), &[other], &NEED)
            .expect("there is one");
        balance.heard(ms(1), &other.announcement.id, None);
    }
    let soon: Vec<u64> = (2..100).collect();
    let soon = domains(&mut balance, &soon, &servers);
    assert!(soon.iter().any(|d| d == "hall-2"), "{soon:?}");
}

#[test]
fn load_heard_by_others() {
    // Callers wait for a second behind the queue of one engine while others have
    // free slots. Each of many entries hears from an engine once in ten seconds,
    // so that the bound on the load of the preferred one never held; what one
    // hears the others are told.
    let servers = servers(8);
    let mut balance = Balance::default();
    let need = Need {
        affinity: Some(sharing(42)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    let id = first.as_str().into();
    balance.finished(ms(0), &id, Outcome::Good);
    let queue = Load {
        running: 8,
        waiting: 6,
        slots: 8,
    };
    balance.told(ms(10), &id, LoadOf::new(&id, queue));
    assert_ne!(choose(&mut balance, 20, &servers, &need), first);
    assert_eq!(choose(&mut balance, 20_000, &servers, &need), first);
}

#[test]
fn told_load_draws_nobody() {
    // All entries are told at once that one is idle. Where nothing else sets them
    // apart they must not all send to it.
    let servers = servers(2);
    let mut balance = Balance::default();
    let busy = Load {
        running: 8,
        waiting: 0,
        slots: 8,
    };
    let chosen = choose(&mut balance, 0, &servers, &NEED);
    let id = chosen.as_str().into();
    balance.finished(ms(0), &id, Outcome::Good);
    balance.told(ms(0), &id, LoadOf::new(&id, busy));
    assert_eq!(choose(&mut balance, 1, &servers, &NEED), chosen);
}

#[test]
fn short_prompt_stays_near() {
    // Callers of one failure domain see what happens to the ways to others, lost
    // packets or a cut, though their own has engines to spare: the prompt that is
    // kept elsewhere takes an engine a few milliseconds to read.
    let mut servers = servers(8);
    for known in &mut servers[..6] {
        known.announcement.domain = "hall-2".into();
    }
    let far = |tokens| {
        let mut balance = Balance::default();
        let chosen = (0..40).map(|key| {
            let affinity = Some(Affinity { key, tokens });
            let need = Need { affinity, ..NEED };
            let chosen = choose(&mut balance, 0, &servers, &need);
            balance.finished(ms(0), &chosen.as_str().into(), Outcome::Good);
            chosen
        });
        chosen
            .filter(|id| !["server-6", "server-7"].contains(&id.as_str()))
            .count()
    };
    assert_eq!(far(500), 0);
    assert!(far(5_000) > 20);
}

#[test]
fn long_prompt_on_its_way() {
    // Callers with short questions wait behind a prompt of 43,000 tokens. The
    // engine that reads it answers nobody meanwhile, so that every entry took it
    // for idle; now it is known from the moment it is sent, here and to the
    // others, for as long as it is read: what the engine said of before counts
    // for nothing.
    let servers = servers(8);
    let need = Need {
        affinity: Some(sharing(42)),
        ..NEED
    };
    let long = Need {
        reading: ms(380),
        ..need
    };
    let mut balance = Balance::default();
    let first = choose(&mut balance, 500, &servers, &long);
    assert_ne!(choose(&mut balance, 510, &servers, &need), first);
    let told = balance.take_heard(ms(510)).expect("it is time");
    let mut other = Balance::default();
    other.told(ms(520), &first.as_str().into(), told[0]);
    assert_ne!(choose(&mut other, 600, &servers, &need), first);
    let idle = Load {
        running: 1,
        waiting: 0,
        slots: 8,
    };
    other.heard(ms(700), &first.as_str().into(), Some(idle));
    assert_ne!(choose(&mut other, 710, &servers, &need), first);
    other.heard(ms(900), &first.as_str().into(), Some(idle));
    assert_eq!(choose(&mut other, 910, &servers, &need), first);
}

#[test]
fn long_prompts_apart() {
    // Eight prompts that a large model reads for two seconds each come at once,
    // and short questions after them. Two at one engine would make the second
    // late, and the questions behind them; there is an engine for each, and for
    // the questions the one that is done first.
    let servers = servers(8);
    let need = Need {
        affinity: Some(sharing(42)),
        ..NEED
    };
    let long = Need {
        reading: ms(2000),
        ..need
    };
    let mut balance = Balance::default();
    let used: BTreeSet<String> = (0..8)
        .map(|n| choose(&mut balance, 500 + n, &servers, &long))
        .collect();
    assert_eq!(used.len(), 8);
    let done = used.iter().next_back().expect("there are eight");
    balance.read(ms(1500), &done.as_str().into(), long.reading);
    assert_eq!(&choose(&mut balance, 1510, &servers, &need), done);
}
