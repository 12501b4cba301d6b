//! When an answer of a small model is kept.

use sesamebeam_core::{
    gateway::cascade::{
        Cascade,
        Step,
        expense, //
    },
    ids::ModelId, //
};
use yare::parameterized;

use crate::make::ms;

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
