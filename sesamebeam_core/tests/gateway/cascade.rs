//! When an answer of a small model is kept.

use sesamebeam_core::{
    gateway::{
        cascade::{
            Cascade,
            Step,
            expense, //
        },
        waits::{
            self,
            MeanWait,
            PooledWaits, //
        },
    },
    ids::ModelId, //
};
use yare::parameterized;

use crate::fixtures::ms;

fn sizes() -> Vec<ModelId> {
    vec!["small".into(), "middle".into(), "large".into()]
}

#[parameterized(
    sure = { "small", Some(80), Step::Keep },
    unsure = { "small", Some(10), Step::Ask("large".into()) },
    largest = { "large", Some(10), Step::Keep },
    silent = { "small", None, Step::Keep },
)]
fn calm(asked: &str, confidence: Option<u8>, step: Step) {
    let cascade = Cascade::default();
    let judged = cascade.judge(ms(0), &"pool".into(), &sizes(), asked, confidence, 2.0);
    assert_eq!(judged, step);
}

#[test]
fn few_words_to_a_long_prompt() {
    let cascade = Cascade::default();
    let judge = |confidence, expense| {
        let service = "pool".into();
        cascade.judge(
            ms(0),
            &service,
            &sizes(),
            "small",
            Some(confidence),
            expense,
        )
    };
    let long_answer = expense(600, Some(300));
    let few_words = expense(1800, Some(20));
    assert_eq!(judge(45, long_answer), Step::Ask("large".into()));
    assert_eq!(judge(45, few_words), Step::Keep);
    assert_eq!(judge(5, few_words), Step::Ask("large".into()));
}

#[test]
fn under_pressure() {
    // First events take as long as they may. Asking the large model for every
    // second request would make all of them late, so that answers are kept.
    let mut cascade = Cascade::default();
    for n in 0..50 {
        cascade.waited(ms(n * 20), &"pool".into(), ms(1000), ms(1000));
    }
    let judge = |now| cascade.judge(now, &"pool".into(), &sizes(), "small", Some(10), 2.0);
    assert_eq!(judge(ms(1000)), Step::Keep);
    assert_eq!(judge(ms(20_000)), Step::Ask("large".into()));
    let other = cascade.judge(ms(1000), &"other".into(), &sizes(), "small", Some(10), 2.0);
    assert_eq!(other, Step::Ask("large".into()));
}

/// Returns the confidence from which a cascade keeps answers of the service `pool`.
fn keeps_from(cascade: &Cascade, now: u64) -> f64 {
    cascade.keep_from(ms(now), &"pool".into(), 1.0)
}

/// The mean wait at the service `pool`.
fn mean(share: f32) -> MeanWait {
    let service = waits::key("pool");
    MeanWait { service, share }
}

#[test]
fn all_entries_alike() {
    // One entry has just waited for a prompt of 50,000 tokens, the other for nothing.
    // Callers of the first got poor answers and those of the second late ones, while
    // the fleet as a whole was neither idle nor full.
    let (mut one, mut other) = (Cascade::default(), Cascade::default());
    one.waited(ms(0), &"pool".into(), ms(2400), ms(1000));
    assert!(keeps_from(&one, 10) < keeps_from(&other, 10) / 2.0);
    for cascade in [&mut one, &mut other] {
        cascade.told(ms(10), [mean(0.2)]);
    }
    assert_eq!(keeps_from(&one, 20), keeps_from(&other, 20));
    // What was told is old when nothing more comes: each goes by its own again.
    assert!(keeps_from(&one, 1600) < keeps_from(&other, 1600));
}

#[test]
fn comeback_of_all() {
    // All entries have started anew and know of no wait, and all callers are back.
    // Answers are kept until the fleet is known to be calm.
    let mut cascade = Cascade::default();
    cascade.started(ms(1000));
    assert_eq!(keeps_from(&cascade, 1100), 0.0);
    cascade.told(ms(1200), [mean(0.1)]);
    assert!(keeps_from(&cascade, 1300) > 50.0);
    let mut alone = Cascade::default();
    alone.started(ms(1000));
    assert!(keeps_from(&alone, 1700) > 50.0);
}

#[test]
fn mean_of_all() {
    let mut entries = Vec::new();
    for n in 0..100 {
        let mut cascade = Cascade::default();
        let took = if n % 10 == 0 { 1000 } else { 100 };
        cascade.waited(ms(0), &"pool".into(), ms(took), ms(1000));
        entries.extend(cascade.take_fresh());
    }
    let mut pooled = PooledWaits::default();
    pooled.take(ms(0), entries);
    let mean = pooled.means(ms(0))[0].share;
    assert!((mean - 0.19).abs() < 0.01, "{mean}");
}
