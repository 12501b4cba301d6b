//! The capacity table, worked out from made-up slopes.

use std::path::Path;

use sesamebeam_bench::{
    capacity::{
        Quantity,
        TODAY,
        TWO_YEARS,
        rows,
        table, //
    },
    slopes::{
        SlopeError,
        Slopes, //
    },
};

fn slopes() -> Slopes {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/slopes.toml");
    Slopes::read(&path).expect("slopes")
}

#[test]
fn whole_table() {
    let slopes = slopes();
    let tables: Vec<String> = std::iter::once(TWO_YEARS)
        .chain(TODAY)
        .map(|size| table(&size, &rows(&size, &slopes).expect("every slope is there")))
        .collect();
    insta::assert_snapshot!(tables.join("\n"));
}

#[test]
fn token_share() {
    let rows = rows(&TWO_YEARS, &slopes()).expect("every slope is there");
    let row = rows
        .iter()
        .find(|row| row.role == "entry, requests" && row.what == "processor")
        .expect("the row");
    // 89.6 requests of 50 us and 24,182 tokens of 2 us.
    let Quantity::Core(core) = row.built else {
        panic!("not of a core: {row:?}");
    };
    assert!((core - (0.004_481 + 0.048_364)).abs() < 1e-5, "{core}");
    assert!(row.breaks());
}

#[test]
fn missing_slope() {
    let error = rows(&TWO_YEARS, &Slopes::default()).expect_err("no slopes");
    assert!(matches!(error, SlopeError::Missing(_)));
}
