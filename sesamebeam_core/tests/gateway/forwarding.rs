//! Offers of entries to serve each other's requests.

use std::collections::BTreeMap;

use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        coordinator::{
            Action,
            Coordinator,
            EntryId,
            Event,
            Recipients, //
        },
        forwarding::{
            ForwardingOffer,
            MAX_OFFERS, //
        },
        messages::{
            SyncState,
            ToEntry, //
        },
        router::{
            Probe,
            Router, //
        },
    },
    ids::ProcessAddr,
};

use crate::fixtures::{
    coordinator,
    head,
    ms,
    plan,
    router,
    router_of_entry, //
};

fn peer(number: u64) -> ProcessAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7355).into()
}

fn offer(number: u64, isolated_from: &[&str]) -> ForwardingOffer {
    ForwardingOffer {
        addr: peer(number),
        key: u128::from(number),
        domain: "hall-1".into(),
        isolated_from: isolated_from.iter().map(|s| (*s).into()).collect(),
    }
}

/// Returns what each follower was told last.
fn told(actions: &[Action]) -> BTreeMap<EntryId, Vec<ForwardingOffer>> {
    let told = actions.iter().filter_map(|action| match action {
        Action::Push(Recipients::Only(to), ToEntry::ForwardingOffers(offers)) => {
            Some((to[0], offers.clone()))
        }
        _ => None,
    });
    told.collect()
}

/// Connects entries that all follow the replica and make an offer.
fn connect(core: &mut Coordinator, entries: u64) -> Vec<Action> {
    for entry in 1..=entries {
        core.handle(ms(entry), Event::EntryConnected(entry));
        core.handle(ms(entry), Event::EntryFollows(entry, SyncState::default()));
        let offered = Event::ForwardingOffered(entry, Some(offer(entry, &[])));
        core.handle(ms(entry), offered);
    }
    core.handle(ms(entries + 1000), Event::Tick)
}

#[test]
fn followers_are_told() {
    let mut core = coordinator();
    let told = told(&connect(&mut core, 3));
    assert_eq!(told[&1], [offer(2, &[]), offer(3, &[])]);
    assert_eq!(told[&3], [offer(1, &[]), offer(2, &[])]);
}

#[test]
fn changes_are_told() {
    // Guards against requests for entries that are cut off themselves, or gone.
    let mut core = coordinator();
    connect(&mut core, 3);
    let isolated = offer(2, &["pool"]);
    core.handle(
        ms(2000),
        Event::ForwardingOffered(2, Some(isolated.clone())),
    );
    core.handle(ms(2000), Event::EntryDisconnected(3));
    let told = told(&core.handle(ms(2500), Event::Tick));
    assert_eq!(told[&1], [isolated]);
    assert!(!told.contains_key(&3));
    let unchanged = core.handle(ms(3000), Event::Tick);
    assert!(self::told(&unchanged).is_empty());
}

#[test]
fn bounded_and_spread() {
    // Guards against a cost that grows with the fleet, and against a few entries that serve
    // all others.
    const ENTRIES: u64 = 984;
    let mut core = coordinator();
    let told = told(&connect(&mut core, ENTRIES));
    let mut times_told: BTreeMap<ProcessAddr, usize> = BTreeMap::new();
    for offers in told.values() {
        assert_eq!(offers.len(), MAX_OFFERS);
        for offer in offers {
            *times_told.entry(offer.addr).or_default() += 1;
        }
    }
    assert!(times_told.len() as u64 > ENTRIES * 99 / 100);
    let most = times_told.values().max().copied().unwrap_or_default();
    assert!(most <= MAX_OFFERS * 3, "{most}");
}

#[test]
fn reachable_ones_first() {
    // Guards against entries that are told only of others that are cut off as they are.
    let mut core = coordinator();
    connect(&mut core, 60);
    for entry in 11..=60 {
        let isolated = Event::ForwardingOffered(entry, Some(offer(entry, &["pool"])));
        core.handle(ms(2000), isolated);
    }
    let told = told(&core.handle(ms(2500), Event::Tick));
    let reaching = told[&60].iter().filter(|o| o.isolated_from.is_empty());
    assert_eq!(reaching.count(), 10);
}

/// Returns the entry that gets a request.
fn choose(router: &mut Router, id: &str, tried: &[ProcessAddr]) -> Option<ProcessAddr> {
    let plan = plan(router, ms(0), id);
    let chosen = router.choose_peer(ms(0), &plan, tried);
    chosen.map(|offer| offer.addr)
}

#[test]
fn choice() {
    let mut router = router(3);
    assert_eq!(choose(&mut router, "a", &[]), None);
    router.set_offers(vec![
        offer(1, &["pool"]),
        offer(2, &["other"]),
        offer(3, &[]),
    ]);
    assert_eq!(choose(&mut router, "a", &[peer(2)]), Some(peer(3)));
    assert_eq!(choose(&mut router, "a", &[peer(2), peer(3)]), None);
    router.record_peer_unavailable(ms(0), peer(3));
    assert_eq!(choose(&mut router, "b", &[]), Some(peer(2)));
}

#[test]
fn declined_for_a_service() {
    // Guards against callers of all services left unserved, as another entry declined for one.
    let mut router = router(3);
    router.set_offers(vec![offer(2, &[])]);
    let pool = plan(&mut router, ms(0), "a");
    let mut other = pool.clone();
    other.service = "other".into();
    let choose = |router: &mut Router, plan| {
        let chosen = router.choose_peer(ms(0), plan, &[]);
        chosen.map(|offer| offer.addr)
    };
    router.record_peer_isolated(ms(0), peer(2), &other);
    router.record_peer_busy(ms(0), peer(2), &other);
    assert_eq!(choose(&mut router, &other), None);
    assert_eq!(choose(&mut router, &pool), Some(peer(2)));
    router.record_peer_unavailable(ms(0), peer(2));
    assert_eq!(choose(&mut router, &pool), None);
}

#[test]
fn spread_over_peers() {
    // Guards against one entry that serves all requests of another.
    let mut router = router(3);
    router.set_offers((1..=3).map(|n| offer(n, &[])).collect());
    let mut counts: BTreeMap<ProcessAddr, usize> = BTreeMap::new();
    for number in 0..300 {
        let chosen = choose(&mut router, &format!("r{number}"), &[]);
        *counts.entry(chosen.expect("there are some")).or_default() += 1;
    }
    let least = counts.values().min().copied().unwrap_or_default();
    assert!(counts.len() == 3 && least >= 80, "{counts:?}");
}

#[test]
fn session_stays() {
    // Guards against sessions that change between entries, each of which knows their version.
    let mut router = router(3);
    router.set_offers((1..=3).map(|n| offer(n, &[])).collect());
    let mut chosen = Vec::new();
    for number in 0..4 {
        let mut head = head(&format!("r{number}"));
        head.session = Some("s1".into());
        let plan = router.admit(ms(0), &head).expect("it is admitted");
        let peer = router.choose_peer(ms(0), &plan, &[]).expect("there is one");
        router.record_forwarded_end(peer.addr);
        chosen.push(peer.addr);
    }
    chosen.dedup();
    assert_eq!(chosen.len(), 1);
}

/// Returns the retries that a router allows at a time.
fn allowed_retries(router: &mut Router, now: u64) -> usize {
    let plan = plan(router, ms(now), "last");
    (0..400)
        .filter(|_| router.try_retry(ms(now), &plan))
        .count()
}

#[test]
fn counted_for_retries_once() {
    // Guards against twice the retries for requests that two entries have read, also where the
    // answer of the second one is lost.
    let allowed = |is_offered: bool| {
        let mut router = router_of_entry("cut", 10, 3);
        for number in 0..100 {
            let plan = plan(&mut router, ms(0), &format!("r{number}"));
            if is_offered {
                router.record_offered(ms(0), &plan);
            }
        }
        // The answer takes a while, and what was counted is withdrawn all the same.
        allowed_retries(&mut router, 900)
    };
    // Two fifths of what the requests allow may be spent at once.
    let (own, offered) = (allowed(false), allowed(true));
    assert!(own > 17 && offered < own / 4, "{own}, {offered}");
}

#[test]
fn spent_stays_counted() {
    // Guards against requests by which an entry has spent retries, and which are then counted by
    // another one too.
    let offered = |spent: usize| {
        let mut router = router_of_entry("cut", 10, 3);
        let plans: Vec<_> = (0..100)
            .map(|number| plan(&mut router, ms(0), &format!("r{number}")))
            .collect();
        for plan in &plans[..spent] {
            assert!(router.try_retry(ms(900), plan));
        }
        let left = plans.iter();
        left.filter(|plan| router.record_offered(ms(900), plan))
            .count()
    };
    assert_eq!(offered(0), 100);
    // A request allows a fifth of a retry at once.
    assert_eq!(offered(10), 50);
}

#[test]
fn declined_counts_once() {
    // Guards against retries for requests that several entries have read and declined.
    let [mut first, mut second] = ["cut", "other"].map(|name| router_of_entry(name, 10, 3));
    let [mut idle, mut own] = ["idle", "own"].map(|name| router_of_entry(name, 10, 3));
    for number in 0..100 {
        let id = format!("r{number}");
        plan(&mut own, ms(0), &id);
        let plan = plan(&mut first, ms(0), &id);
        first.record_offered(ms(0), &plan);
        let declined = second.admit_forwarded(ms(0), &head(&id));
        declined.expect("it is planned");
        first.record_declined(&plan);
    }
    let [own, idle] = [&mut own, &mut idle].map(|router| allowed_retries(router, 900));
    assert_eq!(allowed_retries(&mut first, 900), own);
    assert_eq!(allowed_retries(&mut second, 900), idle);
}

#[test]
fn accepted_counts_there() {
    // Guards against forwarded requests that no entry counts, so that none may be sent again.
    let [mut second, mut own] = ["other", "own"].map(|name| router_of_entry(name, 10, 3));
    for number in 0..100 {
        let id = format!("r{number}");
        plan(&mut own, ms(0), &id);
        let accepted = second.admit_forwarded(ms(0), &head(&id));
        second.record_accepted(&accepted.expect("it is planned"));
    }
    let own = allowed_retries(&mut own, 900);
    assert_eq!(allowed_retries(&mut second, 900), own);
}

/// Has a service of five backend servers count as isolated.
fn isolate(router: &mut Router) {
    let plan = plan(router, ms(0), "a");
    let mut tried = Vec::new();
    for _ in 0..3 {
        let choice = router.choose(ms(0), &plan, None, &tried);
        let choice = choice.expect("one is left");
        router.record_outcome(ms(0), &plan, &choice, Outcome::Unreachable);
        tried.push(choice.id);
    }
    assert!(router.is_isolated("pool"));
}

fn due_probes(router: &mut Router, now: u64) -> Vec<Probe> {
    router.take_due_probes(ms(now), |count| count - 1)
}

#[test]
fn probed_until_reached() {
    // Guards against entries that forward for ever, as no request of theirs tells them that
    // their cut has ended.
    let mut router = router(5);
    isolate(&mut router);
    let probes = due_probes(&mut router, 0);
    assert_eq!(probes.len(), 1);
    assert!(due_probes(&mut router, 100).is_empty());
    router.record_probe(ms(100), &probes[0], false);
    assert_eq!(due_probes(&mut router, 300).len(), 1);
    router.record_probe(ms(400), &probes[0], true);
    assert!(!router.is_isolated("pool"));
    assert!(due_probes(&mut router, 1000).is_empty());
}

#[test]
fn pauses_end_with_isolation() {
    // Guards against one backend server that gets all requests once a cut has ended, while
    // the others are still avoided.
    let mut router = router(5);
    isolate(&mut router);
    let probe = due_probes(&mut router, 0).remove(0);
    router.record_probe(ms(10), &probe, true);
    let mut chosen: Vec<_> = (0..100)
        .map(|number| {
            let plan = plan(&mut router, ms(20), &format!("r{number}"));
            let choice = router.choose(ms(20), &plan, None, &[]);
            choice.expect("one is left").id
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 5);
}

#[test]
fn suspicion() {
    // Guards against entries with few requests that notice a cut only after several of them.
    let mut router = router(5);
    let plan = plan(&mut router, ms(0), "a");
    let choice = router
        .choose(ms(0), &plan, None, &[])
        .expect("there is one");
    router.record_response(ms(0), &choice.id, None);
    assert!(due_probes(&mut router, 400).is_empty());
    router.record_outcome(ms(500), &plan, &choice, Outcome::Unreachable);
    let probes = due_probes(&mut router, 500);
    assert_eq!(probes.len(), 3);
    for probe in &probes {
        router.record_probe(ms(750), probe, false);
    }
    assert!(router.is_isolated("pool"));
}

#[test]
fn no_suspicion_while_others_respond() {
    // Guards against probes for each backend server that is down.
    let mut router = router(5);
    let plan = plan(&mut router, ms(0), "a");
    let choice = router
        .choose(ms(0), &plan, None, &[])
        .expect("there is one");
    router.record_outcome(ms(500), &plan, &choice, Outcome::Down);
    router.record_response(ms(510), &"server-4".into(), None);
    assert!(due_probes(&mut router, 520).is_empty());
    assert!(due_probes(&mut router, 1000).is_empty());
}
