//! Decisions of an entry about a request.

use std::collections::BTreeMap;

use sesamebeam_core::gateway::{
    balance,
    cascade::Step,
    request::AnswerHead,
    rollout::{
        Phase,
        Rollout, //
    },
    router::{
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

/// Starts a roll-out of `v2` and adds backend servers that run it.
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
        router.announced(ms(0), said);
    }
}

/// Sends a request and returns the version that it went to.
fn send(router: &mut Router, now: u64, id: &str, session: Option<&str>) -> String {
    let mut head = head(id);
    head.session = session.map(Into::into);
    let plan = router.admit(ms(now), &head).expect("it is admitted");
    let choice = router.choose(ms(now), &plan, plan.model.as_deref(), &[]);
    choice.expect("there is room").version.to_string()
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
    // A control replica that lags tells of an older configuration than another
    // told before. The newer one stays in force.
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
    // Every answer of the small model is unsure. The large one is asked only as
    // often as repeated sends are allowed; the rest is kept.
    let mut router = router(2);
    let unsure = AnswerHead {
        confidence: Some(0),
        ..AnswerHead::default()
    };
    let asked = (1000..1200).filter(|n| {
        let plan = router.admit(ms(*n), &head("a")).expect("it is admitted");
        let step = router.judge(ms(*n), &plan, "small", &unsure, true);
        matches!(step, Step::Ask(_))
    });
    let asked = asked.count();
    assert!((80..=110).contains(&asked), "{asked} of 200");
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
    // Sessions run when a roll-out starts. As long as their requests follow each
    // other, all of them stay on the version that they began with.
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
    // A replica that lags tells that the new version is on trial after another
    // told that it was rolled back.
    let mut router = router(4);
    roll_out(&mut router, Phase::RolledBack, 5);
    roll_out(&mut router, Phase::Promoted, 3);
    assert_eq!(send(&mut router, 0, "a", None), "v1");
}

#[test]
fn sessions_stay_across_entries() {
    // Sessions run through one entry when a roll-out starts, and go on through
    // another that has never seen them. What the first reports keeps them on
    // their version there too; sessions that begin later are drawn.
    let (mut first, mut second) = (router(4), router(4));
    for n in 0..400 {
        send(&mut first, 0, &format!("a{n}"), Some(&format!("s{n}")));
    }
    roll_out(&mut first, Phase::Canary, 1);
    roll_out(&mut second, Phase::Canary, 1);
    for kept in first.take_report(ms(300)).retained_sessions {
        second.keep_sessions(ms(300), &kept, false);
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
fn convicted() {
    let mut router = router(2);
    assert!(router.check_fingerprint(5).is_ok());
    router.set_quarantined([5]);
    assert_eq!(router.check_fingerprint(5), Err(Refusal::Quarantined));
}

#[test]
fn common_question_is_not_blamed() {
    // The same question comes many times a second and is on board whenever a
    // backend server goes down. It runs to its end every time it gets there.
    let mut router = router(2);
    router.completed(5);
    let plan = router.admit(ms(0), &head("r")).expect("it is admitted");
    let choice = router.choose(ms(0), &plan, None, &[]);
    router.crashed(5, &choice.expect("there is room"));
    assert!(router.take_report(ms(0)).crashes.is_empty());
    router.set_quarantined([5]);
    assert!(router.check_fingerprint(5).is_ok());
}

#[test]
fn trial_is_loaded() {
    // A new version is on trial at three backend servers beside four old ones.
    // Its share goes to one of them, which has as many requests as an old one
    // then: what fails under load fails there.
    let mut router = router(4);
    roll_out(&mut router, Phase::Canary, 1);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..2000 {
        let plan = router
            .admit(ms(n), &head(&format!("r{n}")))
            .expect("it is admitted");
        let choice = router
            .choose(ms(n), &plan, None, &[])
            .expect("there is room");
        if choice.version == "v2" {
            used.insert(choice.id.clone());
        }
    }
    assert_eq!(used.len(), 1);
}

#[test]
fn reborn_is_tried() {
    // A backend server cannot be reached and rests; it starts again under its
    // name, and the end of a send to its life before comes late. The new life
    // gets requests at once.
    let mut router = router(1);
    let plan = router.admit(ms(0), &head("r")).expect("it is admitted");
    let choice = router
        .choose(ms(0), &plan, None, &[])
        .expect("there is room");
    router.finished(ms(1), &plan, &choice, balance::Outcome::Unreachable);
    let mut other = announcement(9);
    other.sequence = 1;
    router.announced(ms(2), other);
    let mut again = router
        .directory()
        .get(&choice.id)
        .expect("it is known")
        .announcement
        .clone();
    again.started_at += 5000;
    again.sequence = 1;
    router.announced(ms(3), again);
    router.finished(ms(4), &plan, &choice, balance::Outcome::Unreachable);
    let tried = ["server-9".into()];
    let next = router.choose(ms(5), &plan, None, &tried);
    assert_eq!(next.map(|c| c.born), Ok(5000));
}

#[test]
fn old_config_denies_nothing() {
    // All processes start anew, and an entry is told of an old configuration
    // first: the route of a request, or its key, came with a later one. Its caller
    // would not come back after a refusal for good. It waits until it is certain.
    let mut router = Router::new(router_config());
    router.set_config(ms(0), config(1));
    let mut other = head("r");
    other.path = "/nowhere/".into();
    assert_eq!(router.admit(ms(0), &other).err(), Some(Refusal::NoConfig));
    assert!(router.admit(ms(0), &head("s")).is_ok());
    router.set_current();
    assert_eq!(router.admit(ms(0), &other).err(), Some(Refusal::NoRoute));
}

#[test]
fn trial_in_pulses() {
    // A service has three backend servers, its requests no sessions. Spread over
    // time, the trial of a new version gives it a fifth of the load of one of them,
    // and a version that fails under load shows nothing. In pulses it has as much
    // as they, and no more in all than a bad version may get.
    let mut router = router(3);
    roll_out(&mut router, Phase::Canary, 1);
    let mut new = [0u32; 10];
    for n in 0..20_000u64 {
        let mut head = head(&format!("r{n}"));
        head.session = None;
        let plan = router.admit(ms(n), &head).expect("it is admitted");
        let choice = router
            .choose(ms(n), &plan, None, &[])
            .expect("there is room");
        router.finished(ms(n), &plan, &choice, balance::Outcome::Good);
        new[(n % 2000 / 200) as usize] += u32::from(choice.version == "v2");
    }
    let all: u32 = new.iter().sum();
    assert!((1400..=1800).contains(&all), "{all} of 20000");
    let in_pulse = f64::from(new[0]) / 2000.0;
    assert!((0.2..0.3).contains(&in_pulse), "{in_pulse} of a pulse");
    assert_eq!(new[5..].iter().sum::<u32>(), 0);
}
