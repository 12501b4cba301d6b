//! Routing decisions of an entry.

use std::collections::BTreeMap;

use sesamebeam_core::gateway::{
    balance,
    cascade::Decision,
    config::EngineConfig,
    crash_watch::ConnectionEnd,
    engines::Slowdown,
    request::{
        AnswerStage,
        Load,
        ResponseHead, //
    },
    rollout::{
        Phase,
        Rollout, //
    },
    router::{
        ChooseError,
        Ended,
        Refusal,
        Router, //
    },
    store::Orders,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    config,
    head,
    ms,
    router,
    router_config, //
};

/// Starts a rollout of `v2` and announces backend servers that run it.
fn roll_out(router: &mut Router, phase: Phase, index: u64) {
    let rollout = Rollout {
        target: "v2".into(),
        duration: ms(20_000),
        phase,
    };
    let rollouts = BTreeMap::from([("pool".into(), rollout)]);
    let orders = Orders {
        rollouts,
        ..Orders::default()
    };
    router.set_orders(ms(0), index, orders);
    for number in 100..103 {
        let mut said = announcement(number);
        said.version = "v2".into();
        router.apply_announcement(ms(0), said);
    }
}

/// Sends a request and returns the version that it went to.
fn send(router: &mut Router, now: u64, id: &str, session: Option<&str>) -> String {
    let mut head = head(id);
    head.session = session.map(Into::into);
    let plan = router.admit(ms(now), &head).expect("it is admitted");
    let choice = router.choose(ms(now), &plan, plan.model.as_deref(), &[]);
    choice
        .expect("a backend server is available")
        .version
        .to_string()
}

#[test]
fn nothing_known() {
    let mut router = Router::new(router_config());
    let refused = router
        .admit(ms(0), &head("a"))
        .expect_err("no configuration");
    assert_eq!(refused, Refusal::NoConfig);
}

#[test]
fn refusals() {
    let mut router = router(1);
    let mut lost = head("a");
    lost.path = "/elsewhere".into();
    assert_eq!(router.admit(ms(0), &lost).err(), Some(Refusal::NoRoute));
    let mut stranger = head("b");
    stranger.key = None;
    assert_eq!(
        router.admit(ms(0), &stranger).err(),
        Some(Refusal::UnknownKey)
    );
}

#[test]
fn never_goes_back() {
    // Guards against a lagging control replica that replaces the configuration by an
    // older one.
    let mut router = Router::new(router_config());
    assert!(router.set_config(ms(0), config(7)));
    assert!(!router.set_config(ms(0), config(6)));
    assert!(!router.set_config(ms(0), config(7)));
    assert_eq!(router.version(), Some(7));
}

#[test]
fn small_model_first() {
    let mut router = router(2);
    let plan = router.admit(ms(0), &head("a")).expect("it is admitted");
    assert_eq!(plan.model.as_deref(), Some("small"));
    let mut named = head("b");
    named.model = Some("large".into());
    let plan = router.admit(ms(0), &named).expect("it is admitted");
    assert_eq!(plan.model, None);
}

#[test]
fn cascade_keeps_to_the_budget() {
    // Guards against a cascade that exceeds the retry budget. With no confidence in any
    // answer of the small model, the large one is asked only as often as the budget
    // allows, and not much less often.
    let mut router = router(2);
    let unsure = ResponseHead {
        confidence: Some(0),
        ..ResponseHead::default()
    };
    let steps: Vec<_> = (200..600)
        .map(|n| {
            let now = ms(n * 100);
            let plan = router.admit(now, &head("a")).expect("it is admitted");
            let step = router.judge_confidence(now, &plan, "small", &unsure, true);
            if matches!(step, Decision::Ask(_)) {
                router.settle_retry(now, &plan);
            }
            step
        })
        .collect();
    // One window: half of its requests and the slack, of which eight elevenths are used.
    let window = steps[300..].iter();
    let asked = window
        .filter(|step| matches!(step, Decision::Ask(_)))
        .count();
    assert!((44..=60).contains(&asked), "{asked} of 100");
}

#[parameterized(
    short = { 100, 3 },
    usual = { 1000, 4 },
    long = { 40_000, 5 },
)]
fn short_prompts_first(tokens: u32, rank: u8) {
    let mut router = router(2);
    for _ in 0..10 {
        let mut usual = head("usual");
        usual.prompt_tokens = 1000;
        assert!(router.admit(ms(0), &usual).is_ok());
    }
    let mut head = head("a");
    head.prompt_tokens = tokens;
    let plan = router.admit(ms(0), &head).expect("it is admitted");
    assert_eq!(plan.engine_rank, rank);
}

#[test]
fn new_version_gets_a_share() {
    let mut router = router(4);
    roll_out(&mut router, Phase::Canary, 1);
    let new = (0..2000).filter(|n| send(&mut router, *n, &format!("r{n}"), None) == "v2");
    let new = new.count();
    assert!((107..=213).contains(&new), "{new} of 2,000");
}

#[test]
fn sessions_stay() {
    // Guards against sessions that change version during a rollout. Sessions that are
    // active when it starts stay on their version.
    let mut router = router(4);
    for n in 0..200 {
        send(&mut router, 0, &format!("a{n}"), Some(&format!("s{n}")));
    }
    roll_out(&mut router, Phase::Canary, 1);
    for at in [3000, 6000, 9000] {
        for n in 0..200 {
            let version = send(
                &mut router,
                at,
                &format!("{at}-{n}"),
                Some(&format!("s{n}")),
            );
            assert_eq!(version, "v1");
        }
    }
}

#[test]
fn bad_version_gets_nothing() {
    let mut router = router(4);
    roll_out(&mut router, Phase::Canary, 1);
    roll_out(&mut router, Phase::RolledBack, 2);
    let versions = (0..500).map(|n| send(&mut router, n, &format!("r{n}"), None));
    assert!(versions.into_iter().all(|v| v == "v1"));
}

#[test]
fn good_version_gets_all() {
    let mut router = router(4);
    send(&mut router, 0, "a", Some("s"));
    roll_out(&mut router, Phase::Promoted, 1);
    assert_eq!(send(&mut router, 100, "b", Some("s")), "v2");
    assert_eq!(send(&mut router, 100, "c", None), "v2");
}

#[test]
fn old_roll_outs_are_ignored() {
    // Guards against a lagging control replica that revives a rollout which was rolled
    // back.
    let mut router = router(4);
    roll_out(&mut router, Phase::RolledBack, 5);
    roll_out(&mut router, Phase::Promoted, 3);
    assert_eq!(send(&mut router, 0, "a", None), "v1");
}

#[test]
fn sessions_stay_across_entries() {
    // Guards against sessions that change version on another entry. A report from the
    // entry that has seen them pins them at the other; sessions that start later are
    // assigned by the canary share.
    let (mut first, mut second) = (router(4), router(4));
    for n in 0..400 {
        send(&mut first, 0, &format!("a{n}"), Some(&format!("s{n}")));
    }
    roll_out(&mut first, Phase::Canary, 1);
    roll_out(&mut second, Phase::Canary, 1);
    for kept in first.take_report(ms(300)).retained_sessions {
        second.pin_sessions(ms(300), &kept, false);
    }
    for n in 0..400 {
        let version = send(&mut second, 4000, &format!("b{n}"), Some(&format!("s{n}")));
        assert_eq!(version, "v1");
    }
    let new = (0..400)
        .filter(|n| send(&mut second, 4000, &format!("c{n}"), Some(&format!("t{n}"))) == "v2");
    let new = new.count();
    assert!((13..=53).contains(&new), "{new} of 400");
}

#[test]
fn quarantined_request_is_refused() {
    let mut router = router(2);
    let mut plan = router.admit(ms(0), &head("r")).expect("it is admitted");
    plan.identify(5);
    assert!(router.check_quarantine(&plan).is_ok());
    router.set_quarantined([5]);
    assert_eq!(router.check_quarantine(&plan), Err(Refusal::Quarantined));
    let chosen = router.choose(ms(0), &plan, None, &[]);
    assert_eq!(chosen, Err(ChooseError::Quarantined));
}

#[test]
fn common_question_is_not_blamed() {
    // Guards against a quarantine of a frequent request that runs whenever a backend
    // server crashes, but also completes every time.
    let mut router = router(2);
    let mut plan = router.admit(ms(0), &head("r")).expect("it is admitted");
    plan.identify(5);
    router.record_completion(ms(0), &plan);
    let choice = router.choose(ms(0), &plan, None, &[]);
    let choice = choice.expect("a backend server is available");
    let ended = Ended {
        sent_at: ms(0),
        stage: AnswerStage::Awaited,
        end: ConnectionEnd::Broken,
    };
    assert!(router.record_connection_end(ms(0), &plan, &choice, ended));
    router.record_refused(ms(0), &choice, Some(ms(0)));
    assert_eq!(router.take_crash_checks(ms(0)).len(), 1);
    assert!(router.take_report(ms(0)).crashes.is_empty());
    router.set_quarantined([5]);
    assert!(router.check_quarantine(&plan).is_ok());
}

#[test]
fn trial_is_loaded() {
    // Guards against a canary without load. With three new backend servers next to four
    // stable ones, one new server gets the whole canary share, so that it has as many
    // requests as a stable one and faults that need load become visible.
    let mut router = router(4);
    roll_out(&mut router, Phase::Canary, 1);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..2000 {
        let plan = router
            .admit(ms(n), &head(&format!("r{n}")))
            .expect("it is admitted");
        let choice = router
            .choose(ms(n), &plan, None, &[])
            .expect("a backend server is available");
        if choice.version == "v2" {
            used.insert(choice.id.clone());
        }
    }
    assert_eq!(used.len(), 1);
}

#[test]
fn restarted_server_is_tried() {
    // Guards against a restarted backend server that inherits the pause of its earlier
    // incarnation, also if a send to the latter ends late.
    let mut router = router(1);
    let plan = router.admit(ms(0), &head("r")).expect("it is admitted");
    let choice = router
        .choose(ms(0), &plan, None, &[])
        .expect("a backend server is available");
    router.record_outcome(ms(1), &plan, &choice, balance::Outcome::Unreachable);
    let mut other = announcement(9);
    other.sequence = 1;
    router.apply_announcement(ms(2), other);
    let mut again = router
        .directory()
        .get(&choice.id)
        .expect("it is known")
        .announcement
        .clone();
    again.started_at += 5000;
    again.sequence = 1;
    router.apply_announcement(ms(3), again);
    router.record_outcome(ms(4), &plan, &choice, balance::Outcome::Unreachable);
    let tried = ["server-9".into()];
    let next = router.choose(ms(5), &plan, None, &tried);
    assert_eq!(next.map(|c| c.started_at), Ok(5000));
}

#[test]
fn old_config_gives_no_permanent_errors() {
    // Guards against permanent errors from an outdated configuration. After a restart of
    // all processes, an entry may get an old one first, in which a route or key is
    // missing, and callers would not retry.
    let mut router = Router::new(router_config());
    router.set_config(ms(0), config(1));
    let mut other = head("r");
    other.path = "/nowhere/".into();
    assert_eq!(router.admit(ms(0), &other).err(), Some(Refusal::NoConfig));
    assert!(router.admit(ms(0), &head("s")).is_ok());
    router.set_config_current();
    assert_eq!(router.admit(ms(0), &other).err(), Some(Refusal::NoRoute));
}

#[test]
fn canary_in_pulses() {
    // Guards against a canary without load in a small service without sessions. Spread
    // over time, the canary of a service with three backend servers gets a fifth of the
    // load of a stable one. In pulses it gets as much, within the same total share.
    let mut router = router(3);
    roll_out(&mut router, Phase::Canary, 1);
    let mut new = [0u32; 10];
    for n in 0..20_000u64 {
        let mut head = head(&format!("r{n}"));
        head.session = None;
        let plan = router.admit(ms(n), &head).expect("it is admitted");
        let choice = router
            .choose(ms(n), &plan, None, &[])
            .expect("a backend server is available");
        router.record_outcome(ms(n), &plan, &choice, balance::Outcome::Good);
        new[(n % 2000 / 200) as usize] += u32::from(choice.version == "v2");
    }
    let all: u32 = new.iter().sum();
    assert!((1400..=1800).contains(&all), "{all} of 20000");
    let in_pulse = f64::from(new[0]) / 2000.0;
    assert!((0.2..0.3).contains(&in_pulse), "{in_pulse} of a pulse");
    assert_eq!(new[5..].iter().sum::<u32>(), 0);
}

/// Guards against a gauge that shows engine time where a service only could use it, or not
/// where one does: settings that state contention need a service with an engine, and
/// without them an engine has to state its slowdown.
#[parameterized(
    plain = { true, false, None, false },
    contention = { true, true, None, true },
    not_stated = { false, true, None, false },
    stated = { false, true, Some(170), true },
    stated_by_plain = { false, false, Some(170), false },
)]
fn uses_engine_time(contention: bool, has_engine: bool, percent: Option<u64>, is_on: bool) {
    let mut settings = router_config();
    settings.contention = contention;
    let mut router = Router::new(settings);
    assert!(!router.uses_engine_time());
    let mut config = config(1);
    config.services[0].engine = has_engine.then(|| EngineConfig {
        slots: 16,
        kv_capacity_tokens: 100_000,
        tokens_per_event: 1,
        models: vec![("small".into(), 1.0)],
    });
    router.set_config(ms(0), config);
    router.apply_announcement(ms(0), announcement(1));
    let load = Load {
        running: 1,
        waiting: 0,
        slots: 16,
        slowdown: percent.and_then(Slowdown::from_percent),
    };
    router.record_response(ms(10), &announcement(1).id, Some(load));
    assert_eq!(router.uses_engine_time(), is_on);
}
