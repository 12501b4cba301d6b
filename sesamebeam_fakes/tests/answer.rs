//! Answers that a test can foretell.

use sesamebeam_fakes::{
    answer::{
        BAD_MARK,
        DEFAULT_TOKENS,
        expected_bad_answer, //
    },
    expected_answer,
    expected_answer_of, //
};

#[test]
fn own_answer_only() {
    let answer = expected_answer("beam@v7", "berth 4");
    assert_eq!(answer, expected_answer("beam@v7", "berth 4"));
    assert_ne!(answer, expected_answer("beam@v8", "berth 4"));
    assert_ne!(answer, expected_answer("beam@v7", "berth 5"));
    assert_eq!(answer.split(' ').count(), DEFAULT_TOKENS as usize);
}

#[test]
fn longer_answer() {
    let short = expected_answer_of("beam@v7", "berth 4", 5);
    let long = expected_answer_of("beam@v7", "berth 4", 9);
    assert!(long.starts_with(&short));
    let poor = expected_bad_answer("beam@v7", "berth 4", 5);
    assert!(poor.starts_with(BAD_MARK));
    assert_eq!(poor.split(' ').skip(1).count(), 4);
}
