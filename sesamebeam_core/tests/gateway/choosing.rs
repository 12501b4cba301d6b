//! Choice of a backend server in a large fleet.

use std::{
    collections::HashMap,
    net::Ipv4Addr, //
};

use sesamebeam_core::gateway::{
    balance::Outcome,
    directory::Announcement,
    loads::ServerLoad,
    request::{
        Load,
        PromptPart, //
    },
    router::{
        Choice,
        MAX_CANDIDATES,
        Router,
        RouterConfig, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    config,
    head,
    ms,
    router_config, //
};

const DOMAINS: u32 = 5;

fn server(number: u32) -> Announcement {
    let mut said = announcement(1);
    said.id = format!("server-{number}").into();
    said.addr = (Ipv4Addr::from(0x0a00_0000 + number), 80).into();
    said.domain = format!("hall-{}", number % DOMAINS).into();
    said
}

/// Creates an entry that knows this many backend servers.
fn entry(name: &str, servers: u32) -> Router {
    let mut router = Router::new(RouterConfig {
        name: name.into(),
        ..router_config()
    });
    router.set_config(ms(0), config(1));
    router.set_config_current();
    for number in 0..servers {
        router.apply_announcement(ms(0), server(number));
    }
    router
}

/// Sends a request, with a shared prompt if one is given, and completes it.
fn send(router: &mut Router, id: &str, prompt: Option<u64>) -> Choice {
    let mut head = head(id);
    let parts = prompt.map(|id| PromptPart { id, tokens: 5_000 });
    head.prompt = parts.into_iter().chain(parts).collect();
    let plan = router.admit(ms(1), &head).expect("it is admitted");
    let choice = router.choose(ms(1), &plan, None, &[]);
    let choice = choice.expect("a backend server is available");
    router.record_outcome(ms(1), &plan, &choice, Outcome::Good);
    choice
}

#[parameterized(
    small = { 100, 100 },
    large = { 3_000, MAX_CANDIDATES },
    fleet = { 10_000, MAX_CANDIDATES },
    two_fleets = { 20_000, MAX_CANDIDATES },
)]
fn same_cost_in_a_fleet(servers: u32, most: usize) {
    // Guards against a choice whose cost grows with the number of backend servers.
    let mut router = entry("entry-1", servers);
    let requests = 0..200;
    let candidates = requests.map(|n| send(&mut router, &format!("r{n}"), Some(n)).candidates);
    let mean = candidates.sum::<usize>() / 200;
    assert!((most / 3..=most).contains(&mean), "{mean}");
}

#[test]
fn entries_agree() {
    // Guards against entries whose views differ by a few backend servers and that send
    // the same prompt to different ones.
    let (mut one, mut other) = (entry("entry-1", 3_000), entry("entry-2", 2_990));
    let agree = (0..300).filter(|n| {
        let id = format!("r{n}");
        let chosen = send(&mut one, &id, Some(n * 7));
        chosen.id == send(&mut other, &format!("other {id}"), Some(n * 7)).id
    });
    assert!(agree.count() >= 290);
}

#[parameterized(by_prompt = { true, 20 }, by_load = { false, 100 })]
fn spreads(shares_prompts: bool, mean: u32) {
    // Guards against uneven load: backend servers next to a gap in the key space got
    // several times the mean.
    let mut router = entry("entry-1", 1_000);
    let mut sent: HashMap<_, u32> = HashMap::new();
    for n in 0..20_000u64 {
        let chosen = send(&mut router, &format!("r{n}"), shares_prompts.then_some(n));
        *sent.entry(chosen.id).or_default() += 1;
    }
    let most = sent.values().max().copied().unwrap_or_default();
    assert!(most <= 3 * mean, "{most}");
}

#[test]
fn shared_loads_are_removed() {
    // Guards against memory that grows with the fleet, from load reports about other
    // backend servers each time.
    let mut router = entry("entry-1", 10_000);
    for tick in 0..300u64 {
        let of = |n: u64| server(((tick * 100 + n) % 10_000) as u32).id;
        let load = Load {
            running: 3,
            waiting: 0,
            slots: 10,
            slowdown: None,
        };
        let told = (0..100).map(|n| ServerLoad::new(&of(n), load)).collect();
        let now = ms(1_000 + tick * 200);
        router.apply_loads(now, told, Vec::new());
        router.remove_expired(now);
    }
    assert!(
        router.tracked_servers() <= 3_500,
        "{}",
        router.tracked_servers()
    );
}

#[test]
fn candidate_window_widens() {
    // Guards against a request that fails because its only untried backend server is not
    // among the first candidates.
    let mut router = entry("entry-1", 3_000);
    let plan = router.admit(ms(1), &head("r")).expect("it is admitted");
    let tried: Vec<_> = (0..2_999).map(|n| server(n).id).collect();
    let choice = router.choose(ms(1), &plan, None, &tried);
    assert_eq!(choice.map(|c| c.id), Ok("server-2999".into()));
}
