//! Decisions on rollouts of new versions.

use std::{
    ops::Range,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::gateway::{
    messages::Evidence,
    rollout::{
        CANARY_PART,
        Phase,
        Rollout,
        RolloutMonitor, //
    },
};
use yare::parameterized;

use crate::fixtures::ms;

/// Share of the requests that a faulty version may get.
const SHARE: f64 = 0.15;

fn rollout(phase: Phase) -> Rollout {
    Rollout {
        target: "v2".into(),
        duration: ms(20_000),
        phase,
    }
}

fn evidence(version: &str, good: u32, bad: u32, slowness: f64) -> Evidence {
    Evidence {
        service: "pool".into(),
        version: version.into(),
        route: "notes".into(),
        good,
        bad,
        timed_responses: good,
        latency_ratio_sum: slowness * f64::from(good),
        ..Evidence::default()
    }
}

#[parameterized(
    early = { 5000, Phase::Canary, Phase::Canary },
    half_way = { 10_500, Phase::Canary, Phase::Canary },
    late = { 18_200, Phase::Canary, Phase::Promoted },
    taken_over = { 18_500, Phase::Promoted, Phase::Promoted },
    nearly_over = { 18_900, Phase::Promoted, Phase::Completed },
    ended = { 1, Phase::RolledBack, Phase::RolledBack },
)]
fn good_version(at: u64, phase: Phase, next: Phase) {
    let mut monitor = RolloutMonitor::new(ms(0));
    monitor.add(ms(0), "v2", &evidence("v1", 300, 6, 1.0));
    monitor.add(ms(0), "v2", &evidence("v2", 30, 1, 1.1));
    assert_eq!(monitor.phase(ms(at), &rollout(phase), SHARE), next);
}

#[parameterized(
    errors = { 12, 6, 1.0 },
    slow = { 20, 0, 8.0 },
)]
fn bad_version(good: u32, bad: u32, slowness: f64) {
    let mut monitor = RolloutMonitor::new(ms(0));
    monitor.add(ms(0), "v2", &evidence("v1", 300, 6, 1.0));
    monitor.add(ms(0), "v2", &evidence("v2", good, bad, slowness));
    for phase in [Phase::Canary, Phase::Promoted] {
        assert_eq!(
            monitor.phase(ms(1000), &rollout(phase), SHARE),
            Phase::RolledBack
        );
    }
}

#[test]
fn failing_service() {
    // The service fails a quarter of its requests on every version, which is no evidence
    // against the new one.
    let mut monitor = RolloutMonitor::new(ms(0));
    monitor.add(ms(0), "v2", &evidence("v1", 300, 100, 1.0));
    monitor.add(ms(0), "v2", &evidence("v2", 30, 11, 1.0));
    assert_eq!(
        monitor.phase(ms(1000), &rollout(Phase::Canary), SHARE),
        Phase::Canary
    );
}

#[test]
fn version_without_requests() {
    // The new version got no requests. It must not be promoted without evidence.
    let mut monitor = RolloutMonitor::new(ms(0));
    monitor.add(ms(0), "v2", &evidence("v1", 300, 6, 1.0));
    let phase = monitor.phase(ms(15_000), &rollout(Phase::Canary), SHARE);
    assert_eq!(phase, Phase::Canary);
}

#[test]
fn slow_on_few_requests_of_each_route() {
    // The new version is eight times as slow. As a canary it serves only six requests on
    // each of three routes, but the total over all routes is sufficient.
    let mut monitor = RolloutMonitor::new(ms(0));
    for route in ["notes", "sheets", "codes"] {
        let of_route = |version, good, slowness| Evidence {
            route: route.into(),
            ..evidence(version, good, 0, slowness)
        };
        monitor.add(ms(0), "v2", &of_route("v1", 200, 1.0));
        monitor.add(ms(0), "v2", &of_route("v2", 6, 8.0));
    }
    let phase = monitor.phase(ms(5000), &rollout(Phase::Canary), SHARE);
    assert_eq!(phase, Phase::RolledBack);
}

#[test]
fn slow_streams() {
    // The new version's first bytes are as fast as usual, but its events eight times as
    // slow.
    let mut monitor = RolloutMonitor::new(ms(0));
    let paced = |version, count, pace| Evidence {
        timed_streams: count,
        interval_ratio_sum: pace * f64::from(count),
        ..evidence(version, count, 0, 1.0)
    };
    monitor.add(ms(0), "v2", &paced("v1", 200, 1.0));
    monitor.add(ms(0), "v2", &paced("v2", 9, 8.0));
    let phase = monitor.phase(ms(5000), &rollout(Phase::Canary), SHARE);
    assert_eq!(phase, Phase::RolledBack);
}

#[parameterized(
    part_of_streams = { 20, 9, Phase::RolledBack },
    few = { 40, 3, Phase::Canary },
    as_before = { 40, 2, Phase::Canary },
)]
fn slow_in_part(durations: u32, slow: u32, phase: Phase) {
    // Guards against a version that is completed although a part of its answers are several
    // times as slow, which the mean of all hardly shows.
    let mut monitor = RolloutMonitor::new(ms(0));
    let timed = |version, durations, slow_durations| Evidence {
        durations,
        slow_durations,
        ..evidence(version, durations, 0, 1.7)
    };
    monitor.add(ms(0), "v2", &timed("v1", 600, 20));
    monitor.add(ms(0), "v2", &timed("v2", durations, slow));
    let next = monitor.phase(ms(5000), &rollout(Phase::Canary), SHARE);
    assert_eq!(next, phase);
}

#[parameterized(
    some = { 7, Phase::RolledBack },
    as_before = { 3, Phase::Promoted },
)]
fn slow_with_few_requests(slow: u32, phase: Phase) {
    // Guards against a version of a service with little traffic that is promoted although more
    // of its answers are slow than of the others, but too few to roll it back at once.
    let mut monitor = RolloutMonitor::new(ms(0));
    let timed = |version, durations, slow_durations| Evidence {
        durations,
        slow_durations,
        ..evidence(version, durations, 0, 1.0)
    };
    monitor.add(ms(0), "v2", &timed("v1", 460, 30));
    monitor.add(ms(0), "v2", &timed("v2", 20, slow));
    let early = monitor.phase(ms(5000), &rollout(Phase::Canary), SHARE);
    assert_eq!(early, Phase::Canary);
    let next = monitor.phase(ms(18_200), &rollout(Phase::Canary), SHARE);
    assert_eq!(next, phase);
}

#[test]
fn slow_in_a_burst() {
    // Guards against rolling back a good version whose answers are slow in a burst, somewhat more
    // often than those of the others by chance.
    let mut monitor = RolloutMonitor::new(ms(0));
    for (version, durations, slow_durations) in [("v1", 1234, 200), ("v2", 41, 13)] {
        let timed = Evidence {
            durations,
            slow_durations,
            ..evidence(version, durations, 0, 1.0)
        };
        monitor.add(ms(0), "v2", &timed);
    }
    let next = monitor.phase(ms(18_200), &rollout(Phase::Canary), SHARE);
    assert_eq!(next, Phase::Promoted);
}

#[test]
fn exposure_without_evidence() {
    // The new version has a fault that shows only after the end of its rollout, for
    // example under a load that does not occur before. Its total exposure must still be
    // within the limit.
    const CANARY_SHARE: f64 = CANARY_PART * SHARE;
    let mut monitor = RolloutMonitor::new(ms(0));
    monitor.add(ms(0), "v2", &evidence("v1", 300, 0, 1.0));
    monitor.add(ms(0), "v2", &evidence("v2", 30, 0, 1.0));
    let mut now = rollout(Phase::Canary);
    let mut exposed = 0.0;
    for at in 0..200 {
        now.phase = monitor.phase(ms(at * 100), &now, SHARE);
        exposed += match now.phase {
            Phase::Canary => CANARY_SHARE,
            Phase::Promoted | Phase::Completed => 1.0,
            Phase::RolledBack => 0.0,
        } / 200.0;
    }
    assert!(exposed <= SHARE, "{exposed:.2} of the requests");
}

/// Runs a rollout with ten reports a second for 15 s. Returns the time of the rollback
/// with the number of failures until then.
fn time_to_rollback(per_report: u32, own: u32, bad: u32, start: u64) -> Option<(u64, u32)> {
    let mut monitor = RolloutMonitor::new(ms(0));
    // `own` of a hundred responses fail on any version.
    let mut rounding = 0;
    let mut split = |share: u32| {
        rounding += per_report * share;
        let failed = rounding / 100;
        rounding %= 100;
        (per_report - failed.min(per_report), failed.min(per_report))
    };
    let mut bad_failures = 0;
    for tick in 0..150u64 {
        let now = ms(tick * 100);
        let (good, failed) = split(own);
        monitor.add(now, "v2", &evidence("v1", good, failed, 1.0));
        let share = if tick * 100 >= start { bad } else { own };
        let (good, failed) = split(share);
        bad_failures += if share == own { 0 } else { failed };
        monitor.add(now, "v2", &evidence("v2", good, failed, 1.0));
        let phase = monitor.phase(now, &rollout(Phase::Promoted), SHARE);
        if phase == Phase::RolledBack {
            return Some((tick * 100, bad_failures));
        }
    }
    None
}

#[parameterized(
    few_calls = { 2, 14 },
    some_calls = { 10, 14 },
    many_calls = { 40, 5 },
    never_fails = { 10, 0 },
)]
fn bad_under_load(per_report: u32, own: u32) {
    // The new version fails as often as the previous ones for nine seconds, and 40 in 100
    // once it is under load. Judged by all its responses the difference is only a tenth
    // for some seconds, in which callers would get 50 failures or more.
    let (at, failures) = time_to_rollback(per_report, own, 40, 9000).expect("it is rolled back");
    let at_once = at <= 9500;
    assert!(
        failures < 50 || at_once,
        "{failures} failures until {at} ms"
    );
}

#[parameterized(
    few_calls = { 2, 14 },
    some_calls = { 10, 14 },
    many_calls = { 40, 5 },
    fails_often = { 10, 20 },
)]
fn equal_failure_rates(per_report: u32, own: u32) {
    // Both versions fail equally often, so the new one is good.
    assert_eq!(time_to_rollback(per_report, own, own, 0), None);
}

/// Number of simulated rollouts in each case below.
const SIMULATED_ROLLOUTS: u64 = 100;

/// Simulates a rollout of 20 s with random failures. Returns whether the new version was
/// rolled back, and the number of its failures.
fn simulate_rollout(seed: u64, rate: f64, own: f64, bad: f64) -> (bool, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut monitor = RolloutMonitor::new(ms(0));
    let mut phase = Phase::Canary;
    let mut failures = 0;
    for tick in 0..100u64 {
        let now = ms(tick * 200);
        let mut answers = |version: &str, share: f64, fails: f64| {
            let expected = rate * 0.2 * share;
            let whole = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
            let failed = (0..whole).filter(|_| rng.random::<f64>() < fails).count() as u32;
            monitor.add(now, "v2", &evidence(version, whole - failed, failed, 1.0));
            failed
        };
        let share = if phase == Phase::Canary {
            SHARE * CANARY_PART
        } else {
            1.0
        };
        answers("v1", 1.0 - share, own);
        failures += answers("v2", share, bad);
        phase = monitor.phase(now, &rollout(phase), SHARE);
        if phase == Phase::RolledBack {
            return (true, failures);
        }
    }
    (false, failures)
}

/// Rollbacks of good versions among [`SIMULATED_ROLLOUTS`], for services with 5, 30, 300
/// and 3,000 requests a second.
#[parameterized(
    never_fails = { 0.0, [0, 0, 0, 0] },
    one_in_100 = { 0.01, [0, 2, 0, 0] },
    five_in_100 = { 0.05, [4, 2, 0, 0] },
    twenty_in_100 = { 0.2, [3, 2, 7, 0] },
)]
fn good_stopped(own: f64, most: [usize; 4]) {
    let stopped = [5.0, 30.0, 300.0, 3000.0].map(|rate| {
        let results = (0..SIMULATED_ROLLOUTS).map(|seed| simulate_rollout(seed, rate, own, own));
        results.filter(|(stopped, _)| *stopped).count()
    });
    let within = stopped.iter().zip(most).all(|(n, most)| *n <= most);
    assert!(within, "{stopped:?} of {SIMULATED_ROLLOUTS} stopped");
}

/// Faulty versions that are not rolled back among [`SIMULATED_ROLLOUTS`], and the maximum
/// number of failures of one of them, for the same services. Their failure rate is 40 in
/// 100 above that of the service. At 5 requests a second a canary yields five responses,
/// which are weak evidence; callers get at most 12 failures from it.
#[parameterized(
    never_fails = { 0.0, [55, 0, 0, 0], [8, 4, 7, 22] },
    twenty_in_100 = { 0.2, [73, 0, 0, 0], [12, 21, 22, 39] },
)]
fn bad_let_through(own: f64, most: [usize; 4], worst: [u32; 4]) {
    let results = [5.0, 30.0, 300.0, 3000.0].map(|rate| {
        let bad = own + 0.4;
        let results: Vec<_> = (0..SIMULATED_ROLLOUTS)
            .map(|s| simulate_rollout(s, rate, own, bad))
            .collect();
        let through = results.iter().filter(|(stopped, _)| !stopped).count();
        let failures = results.iter().map(|(_, n)| *n).max().unwrap_or(0);
        (through, failures)
    });
    let within =
        |(at, (n, failures)): (usize, &(usize, u32))| *n <= most[at] && *failures <= worst[at];
    assert!(
        results.iter().enumerate().all(within),
        "{results:?} of {SIMULATED_ROLLOUTS}"
    );
}

/// Length of the rollouts in the cases below, and when its service is disturbed.
const DISTURBED_ROLLOUT: Duration = Duration::from_secs(24);
const DISTURBANCE: Range<u64> = 2_000..12_000;

/// Failure rates of a rollout whose service is disturbed for some seconds.
#[derive(Clone, Copy)]
struct DisturbedRollout {
    /// Requests a second.
    rate: f64,
    /// Failure rate of the service at other times.
    usual: f64,
    /// Addition to the failure rate of the previous versions during the disturbance.
    old: f64,
    /// The same for the new version.
    new: f64,
    /// Addition to the failure rate of the new version at all times.
    fault: f64,
    /// Whether there are requests during the disturbance.
    is_used_meanwhile: bool,
}

impl DisturbedRollout {
    /// Returns the phase in which the rollout ends with random failures.
    fn simulate(&self, seed: u64) -> Phase {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut monitor = RolloutMonitor::new(ms(0));
        let mut rollout = Rollout {
            duration: DISTURBED_ROLLOUT,
            ..rollout(Phase::Canary)
        };
        let reports = DISTURBED_ROLLOUT.as_millis() as u64 / 200;
        for now in (0..reports).map(|report| report * 200) {
            let is_disturbed = DISTURBANCE.contains(&now);
            let share = match rollout.phase {
                Phase::Canary => SHARE * CANARY_PART,
                Phase::Promoted | Phase::Completed | Phase::RolledBack => 1.0,
            };
            let added = |rate: f64| if is_disturbed { rate } else { 0.0 };
            let old = self.usual + added(self.old);
            let new = self.usual + added(self.new) + self.fault;
            for (version, share, fails) in [("v1", 1.0 - share, old), ("v2", share, new)] {
                let expected = self.rate * 0.2 * share;
                let count = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
                let bad = (0..count).filter(|_| rng.random::<f64>() < fails).count() as u32;
                if is_disturbed && !self.is_used_meanwhile {
                    continue;
                }
                monitor.add(ms(now), "v2", &evidence(version, count - bad, bad, 1.0));
            }
            rollout.phase = monitor.phase(ms(now), &rollout, SHARE);
        }
        rollout.phase
    }

    /// Returns the number of [`SIMULATED_ROLLOUTS`] that end in a phase.
    fn count(&self, phase: Phase) -> usize {
        let ends = (0..SIMULATED_ROLLOUTS).map(|seed| self.simulate(seed));
        ends.filter(|end| *end == phase).count()
    }
}

/// Difference between two counts of [`SIMULATED_ROLLOUTS`] that may be chance.
const CHANCE: usize = 2;

/// Asserts that a disturbance has no more rollouts end in a phase than the same time without
/// requests, which is all that it takes from the evidence.
fn assert_no_more(rollout: DisturbedRollout, phase: Phase) {
    let unused = DisturbedRollout {
        is_used_meanwhile: false,
        ..rollout
    };
    let (count, unused) = (rollout.count(phase), unused.count(phase));
    assert!(
        count <= unused + CHANCE,
        "{count} {phase:?}, {unused} without requests"
    );
}

#[parameterized(
    usual_load = { 45.0, 0.1 },
    heavy_load = { 300.0, 0.1 },
    never_fails = { 45.0, 0.0 },
)]
fn bad_after_disturbance(rate: f64, usual: f64) {
    // A faulty version takes over, as the previous ones failed more often in a disturbance
    // that has ended.
    let rollout = DisturbedRollout {
        rate,
        usual,
        old: 0.45,
        new: 0.0,
        fault: 0.25,
        is_used_meanwhile: true,
    };
    assert_no_more(rollout, Phase::Completed);
}

#[parameterized(
    usual_load = { 45.0, 0.1 },
    heavy_load = { 300.0, 0.1 },
    never_fails = { 45.0, 0.0 },
)]
fn good_in_disturbance(rate: f64, usual: f64) {
    // A disturbance of the whole service is no evidence against the new version.
    let rollout = DisturbedRollout {
        rate,
        usual,
        old: 0.45,
        new: 0.45,
        fault: 0.0,
        is_used_meanwhile: true,
    };
    assert_no_more(rollout, Phase::RolledBack);
}
