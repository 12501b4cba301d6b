//! Load balancing across backend servers.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use sesamebeam_core::gateway::{
    balance::{
        Affinity,
        ChoiceParams,
        LoadBalancer,
        Outcome, //
    },
    directory::{
        Announcement,
        ServerRecord, //
    },
    loads::{
        self,
        ServerLoad, //
    },
    outliers::Doubt,
    request::Load,
};

use crate::fixtures::{
    announcement,
    ms, //
};

const NEED: ChoiceParams<'static> = ChoiceParams {
    affinity: None,
    prefill_time: Duration::from_millis(5),
    domain: "hall-1",
    tried: &[],
    at_most_once: false,
    seed: 1,
};

/// Creates an affinity with a long shared prompt.
fn long_prompt(key: u64) -> Affinity {
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

fn choose(
    balance: &mut LoadBalancer,
    now: u64,
    servers: &[ServerRecord],
    need: &ChoiceParams<'_>,
) -> String {
    let all: Vec<&ServerRecord> = servers.iter().collect();
    let chosen = balance.choose(ms(now), &all, need);
    chosen
        .expect("a backend server is eligible")
        .announcement
        .id
        .to_string()
}

#[test]
fn same_prompt_same_server() {
    // Guards against prompts that are processed more than once: two independent entries
    // send requests with the same shared prompt to the same backend server.
    let servers = servers(8);
    let need = ChoiceParams {
        affinity: Some(long_prompt(42)),
        ..NEED
    };
    let first = choose(&mut LoadBalancer::default(), 0, &servers, &need);
    let other = choose(
        &mut LoadBalancer::default(),
        0,
        &servers,
        &ChoiceParams { seed: 9, ..need },
    );
    assert_eq!(first, other);
}

#[test]
fn hot_prompt_spreads() {
    // Guards against an overload by a single prompt. Above the load bound, requests with
    // it go to other backend servers, too.
    let servers = servers(8);
    let mut balance = LoadBalancer::default();
    let need = ChoiceParams {
        affinity: Some(long_prompt(42)),
        ..NEED
    };
    let used: BTreeSet<String> = (0..40)
        .map(|_| choose(&mut balance, 0, &servers, &need))
        .collect();
    assert!(used.len() >= 4, "{used:?}");
}

#[test]
fn local_domain_first() {
    let mut servers = servers(4);
    servers[3].announcement.domain = "hall-2".into();
    servers[0].announcement.domain = "hall-2".into();
    let mut balance = LoadBalancer::default();
    for _ in 0..4 {
        let chosen = choose(&mut balance, 0, &servers, &NEED);
        assert!(["server-1", "server-2"].contains(&chosen.as_str()));
    }
}

#[test]
fn remote_domain_when_local_is_full() {
    let mut servers = servers(2);
    servers[1].announcement.domain = "hall-2".into();
    let mut balance = LoadBalancer::default();
    let full = Load {
        running: 10,
        waiting: 4,
        slots: 10,
        slowdown: None,
    };
    balance.record_response(ms(0), &"server-0".into(), Some(full));
    assert_eq!(choose(&mut balance, 0, &servers, &NEED), "server-1");
    assert_eq!(choose(&mut balance, 60_000, &servers, &NEED), "server-0");
}

#[test]
fn unreachable_is_paused() {
    // Guards against requests to an unreachable backend server, and against one that is
    // never tried again. It gets none during its pause, and the first one after it.
    let servers = servers(2);
    let mut balance = LoadBalancer::default();
    let need = ChoiceParams {
        affinity: Some(long_prompt(3)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    balance.record_outcome(ms(0), &first.as_str().into(), Outcome::Unreachable);
    assert_ne!(choose(&mut balance, 100, &servers, &need), first);
    assert_eq!(choose(&mut balance, 300, &servers, &need), first);
}

#[test]
fn failing_server_is_avoided() {
    // Guards against requests to a backend server that fails half of them while its
    // health check passes. The others fail one in ten, the baseline of the service.
    let servers = servers(4);
    let mut balance = LoadBalancer::default();
    for n in 0..40 {
        for server in &servers {
            let bad = server.announcement.id == "server-2";
            let outcome = match n % 10 {
                0 => Outcome::Failed,
                k if bad && k % 2 == 0 => Outcome::Failed,
                _ => Outcome::Good,
            };
            balance.record_outcome(ms(n), &server.announcement.id, outcome);
        }
    }
    let chosen: Vec<String> = (0..20)
        .map(|seed| choose(&mut balance, 50, &servers, &ChoiceParams { seed, ..NEED }))
        .collect();
    assert!(!chosen.contains(&"server-2".to_owned()), "{chosen:?}");
    assert!(chosen.contains(&"server-1".to_owned()), "{chosen:?}");
}

/// Records a doubt about a backend server that fails two in five answers.
fn add_doubt(balance: &mut LoadBalancer, id: &str) {
    let server = loads::key(&id.into());
    balance.set_doubts([Doubt {
        server,
        failing: 40,
    }]);
}

#[test]
fn doubted_by_others() {
    // Guards against failed requests that may run only once. A single entry sends too few
    // to notice that a backend server truncates two in five answers. With a doubt from all
    // entries, such requests avoid it; repeatable ones still probe it.
    let servers = servers(4);
    let mut balance = LoadBalancer::default();
    add_doubt(&mut balance, "server-2");
    let mut chosen = |at_most_once| -> Vec<String> {
        let need = |seed| ChoiceParams {
            seed,
            at_most_once,
            ..NEED
        };
        let chosen = (0..64).map(|seed| choose(&mut balance, 50, &servers, &need(seed)));
        chosen.collect()
    };
    assert!(!chosen(true).contains(&"server-2".to_owned()));
    assert!(chosen(false).contains(&"server-2".to_owned()));
}

#[test]
fn doubted_engine_is_avoided() {
    let servers = servers(4);
    let mut balance = LoadBalancer::default();
    let need = ChoiceParams {
        affinity: Some(long_prompt(3)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    add_doubt(&mut balance, &first);
    assert_ne!(choose(&mut balance, 0, &servers, &need), first);
}

#[test]
fn doubted_when_all_are_full() {
    // Guards against a doubted backend server that stays unused while the queues of the
    // others hold many times their slots.
    let servers = servers(2);
    let mut balance = LoadBalancer::default();
    add_doubt(&mut balance, "server-1");
    let full = Load {
        running: 10,
        waiting: 24,
        slots: 10,
        slowdown: None,
    };
    balance.record_response(ms(0), &"server-0".into(), Some(full));
    let need = ChoiceParams {
        at_most_once: true,
        ..NEED
    };
    assert_eq!(choose(&mut balance, 0, &servers, &need), "server-1");
}

#[test]
fn tried_servers_are_skipped() {
    let servers = servers(3);
    let tried = ["server-0".into(), "server-1".into()];
    let need = ChoiceParams {
        tried: &tried,
        ..NEED
    };
    assert_eq!(
        choose(&mut LoadBalancer::default(), 0, &servers, &need),
        "server-2"
    );
}

/// Returns the failure domains that requests with different prompts go to.
fn domains(balance: &mut LoadBalancer, times: &[u64], servers: &[ServerRecord]) -> Vec<String> {
    let domain = |&now: &u64| {
        let need = ChoiceParams {
            affinity: Some(long_prompt(now * 7919)),
            ..NEED
        };
        let chosen = choose(balance, now, servers, &need);
        let chosen = servers.iter().find(|k| k.announcement.id == chosen);
        chosen.expect("one of them").announcement.domain.to_string()
    };
    times.iter().map(domain).collect()
}

#[test]
fn unreachable_reports_are_shared() {
    // Guards against each of hundreds of entries having to detect a network partition by
    // connection timeouts. Reports about two backend servers from entries in the same
    // failure domain are enough.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = LoadBalancer::default();
    for id in ["server-5", "server-9"] {
        balance.apply_unreachable(ms(0), &id.into(), &"hall-2".into(), false);
    }
    let times: Vec<u64> = (10..60).collect();
    let used = domains(&mut balance, &times, &servers);
    assert!(used.iter().all(|d| d == "hall-1"), "{used:?}");
}

#[test]
fn stopped_servers_are_no_partition() {
    // Guards against taking several stopped backend servers for a network partition: the
    // others in their failure domain still get requests.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = LoadBalancer::default();
    for id in ["server-5", "server-9", "server-11"] {
        balance.apply_unreachable(ms(0), &id.into(), &"hall-2".into(), true);
    }
    let times: Vec<u64> = (10..60).collect();
    let used = domains(&mut balance, &times, &servers);
    assert!(used.iter().any(|d| d == "hall-2"), "{used:?}");
}

#[test]
fn own_response_takes_precedence() {
    // Guards against reports of other entries that override a response just received by
    // this one.
    let servers = servers(2);
    let mut balance = LoadBalancer::default();
    let need = ChoiceParams {
        affinity: Some(long_prompt(3)),
        ..NEED
    };
    let first = choose(&mut balance, 1000, &servers, &need);
    balance.record_response(ms(1000), &first.as_str().into(), None);
    balance.apply_unreachable(ms(1100), &first.as_str().into(), &"hall-1".into(), false);
    assert_eq!(choose(&mut balance, 1100, &servers, &need), first);
}

#[test]
fn partition_is_probed() {
    // Guards against connection timeouts to every backend server behind a network
    // partition. After two timeouts the rest are avoided; then one request at a time
    // probes the path until one gets a response.
    let mut servers = servers(20);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = LoadBalancer::default();
    let far: Vec<&ServerRecord> = servers[2..].iter().collect();
    for _ in 0..2 {
        let chosen = balance
            .choose(ms(0), &far, &NEED)
            .expect("a backend server is eligible");
        balance.record_outcome(ms(0), &chosen.announcement.id, Outcome::Unreachable);
    }
    let soon: Vec<u64> = (1..240).collect();
    let soon = domains(&mut balance, &soon, &servers);
    assert!(soon.iter().all(|d| d == "hall-1"), "{soon:?}");
    let later: Vec<u64> = (600..800).collect();
    let later = domains(&mut balance, &later, &servers);
    let tries = later.iter().filter(|d| *d == "hall-2").count();
    assert_eq!(tries, 1, "{later:?}");
    let tried = servers.iter().find(|k| k.announcement.domain == "hall-2");
    let tried = tried
        .expect("a backend server is eligible")
        .announcement
        .id
        .clone();
    let only: Vec<&ServerRecord> = servers
        .iter()
        .filter(|k| k.announcement.id == tried)
        .collect();
    balance
        .choose(ms(801), &only, &NEED)
        .expect("a backend server is eligible");
    balance.record_response(ms(802), &tried, None);
    let recovered: Vec<u64> = (803..900).collect();
    let recovered = domains(&mut balance, &recovered, &servers);
    assert!(recovered.iter().any(|d| d == "hall-2"), "{recovered:?}");
}

#[test]
fn stopped_server_is_no_partition() {
    // Guards against taking one stopped backend server for a network partition while
    // others in its failure domain respond.
    let mut servers = servers(8);
    for known in &mut servers[2..] {
        known.announcement.domain = "hall-2".into();
    }
    let mut balance = LoadBalancer::default();
    let far: Vec<&ServerRecord> = servers[2..].iter().collect();
    for _ in 0..4 {
        let chosen = balance
            .choose(ms(0), &far, &NEED)
            .expect("a backend server is eligible");
        let id = chosen.announcement.id.clone();
        balance.record_outcome(ms(0), &id, Outcome::Unreachable);
        let other = far
            .iter()
            .find(|k| k.announcement.id != id)
            .expect("another");
        balance
            .choose(ms(0), &[other], &NEED)
            .expect("a backend server is eligible");
        balance.record_response(ms(1), &other.announcement.id, None);
    }
    let soon: Vec<u64> = (2..100).collect();
    let soon = domains(&mut balance, &soon, &servers);
    assert!(soon.iter().any(|d| d == "hall-2"), "{soon:?}");
}

#[test]
fn load_reported_by_others() {
    // Guards against requests that wait behind a busy engine while others have free
    // slots. With many entries, each hears from an engine once in ten seconds, so that
    // the load bound needs the loads reported by the others.
    let servers = servers(8);
    let mut balance = LoadBalancer::default();
    let need = ChoiceParams {
        affinity: Some(long_prompt(42)),
        ..NEED
    };
    let first = choose(&mut balance, 0, &servers, &need);
    let id = first.as_str().into();
    balance.record_outcome(ms(0), &id, Outcome::Good);
    let queue = Load {
        running: 8,
        waiting: 6,
        slots: 8,
        slowdown: None,
    };
    balance.apply_load(ms(10), &id, ServerLoad::new(&id, queue));
    assert_ne!(choose(&mut balance, 20, &servers, &need), first);
    assert_eq!(choose(&mut balance, 20_000, &servers, &need), first);
}

#[test]
fn shared_load_does_not_rank() {
    // Guards against a stampede on an idle backend server: a shared load reaches all
    // entries at the same time and must not rank the candidates.
    let servers = servers(2);
    let mut balance = LoadBalancer::default();
    let busy = Load {
        running: 8,
        waiting: 0,
        slots: 8,
        slowdown: None,
    };
    let chosen = choose(&mut balance, 0, &servers, &NEED);
    let id = chosen.as_str().into();
    balance.record_outcome(ms(0), &id, Outcome::Good);
    balance.apply_load(ms(0), &id, ServerLoad::new(&id, busy));
    assert_eq!(choose(&mut balance, 1, &servers, &NEED), chosen);
}

#[test]
fn short_prompt_stays_local() {
    // Guards against a short prompt being sent to another failure domain that has it
    // cached. Link faults would affect its callers, while an engine processes it again in
    // a few milliseconds.
    let mut servers = servers(8);
    for known in &mut servers[..6] {
        known.announcement.domain = "hall-2".into();
    }
    let far = |tokens| {
        let mut balance = LoadBalancer::default();
        let chosen = (0..40).map(|key| {
            let affinity = Some(Affinity { key, tokens });
            let need = ChoiceParams { affinity, ..NEED };
            let chosen = choose(&mut balance, 0, &servers, &need);
            balance.record_outcome(ms(0), &chosen.as_str().into(), Outcome::Good);
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
fn long_prompt_in_flight() {
    // Guards against short requests that wait behind a prompt of 43,000 tokens. The
    // engine sends nothing while it processes it and looks idle. The backlog is known
    // from the send on, here and at the other entries, and load reports from before do
    // not clear it.
    let servers = servers(8);
    let need = ChoiceParams {
        affinity: Some(long_prompt(42)),
        ..NEED
    };
    let long = ChoiceParams {
        prefill_time: ms(380),
        ..need
    };
    let mut balance = LoadBalancer::default();
    let first = choose(&mut balance, 500, &servers, &long);
    assert_ne!(choose(&mut balance, 510, &servers, &need), first);
    let told = balance.take_loads(ms(510)).expect("it is time");
    let mut other = LoadBalancer::default();
    other.apply_load(ms(520), &first.as_str().into(), told[0]);
    assert_ne!(choose(&mut other, 600, &servers, &need), first);
    let idle = Load {
        running: 1,
        waiting: 0,
        slots: 8,
        slowdown: None,
    };
    other.record_response(ms(700), &first.as_str().into(), Some(idle));
    assert_ne!(choose(&mut other, 710, &servers, &need), first);
    other.record_response(ms(900), &first.as_str().into(), Some(idle));
    assert_eq!(choose(&mut other, 910, &servers, &need), first);
}

#[test]
fn long_prompts_apart() {
    // Guards against long prompts that queue on one engine. Eight prompts of two seconds
    // each go to eight engines, and later short requests to the engine that finishes
    // first.
    let servers = servers(8);
    let need = ChoiceParams {
        affinity: Some(long_prompt(42)),
        ..NEED
    };
    let long = ChoiceParams {
        prefill_time: ms(2000),
        ..need
    };
    let mut balance = LoadBalancer::default();
    let used: BTreeSet<String> = (0..8)
        .map(|n| choose(&mut balance, 500 + n, &servers, &long))
        .collect();
    assert_eq!(used.len(), 8);
    let done = used.iter().next_back().expect("there are eight");
    balance.record_prefilled(ms(1500), &done.as_str().into(), long.prefill_time);
    assert_eq!(&choose(&mut balance, 1510, &servers, &need), done);
}
