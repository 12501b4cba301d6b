//! Slopes by least squares.

use sesamebeam_bench::fit::{
    FitError,
    Sample,
    fit, //
};

fn sample<const N: usize>(counts: [f64; N], cost: f64) -> Sample<N> {
    Sample { counts, cost }
}

#[test]
fn exact_slopes() {
    let samples: Vec<_> = [(100.0, 1_600.0), (400.0, 6_400.0), (100.0, 25_600.0)]
        .map(|(requests, tokens)| {
            let cost = 60e-6 * requests + 4e-6 * tokens + 0.003 * 4.0;
            sample([requests, tokens, 4.0], cost)
        })
        .to_vec();
    let fitted = fit(&samples).expect("three samples tell three slopes");
    let [request, token, second] = fitted.slopes;
    assert!((request - 60e-6).abs() < 1e-12);
    assert!((token - 4e-6).abs() < 1e-12);
    assert!((second - 0.003).abs() < 1e-9);
    assert!(fitted.r2 > 0.999_999);
}

#[test]
fn noise_averaged() {
    let samples: Vec<_> = (1..=20)
        .map(|n| {
            let count = f64::from(n);
            let noise = if n % 2 == 0 { 0.5 } else { -0.5 };
            sample([1.0, count], 7.0 + 3.0 * count + noise)
        })
        .collect();
    let fitted = fit(&samples).expect("enough samples");
    assert!((fitted.slopes[1] - 3.0).abs() < 0.05, "{fitted:?}");
    assert!((fitted.slopes[0] - 7.0).abs() < 0.6, "{fitted:?}");
}

#[test]
fn too_few() {
    let error = fit(&[sample([1.0, 2.0], 3.0)]).expect_err("one sample");
    assert_eq!(
        error,
        FitError::TooFew {
            samples: 1,
            slopes: 2
        }
    );
}

#[test]
fn dependent_columns() {
    let samples = [1.0, 2.0, 3.0].map(|x| sample([x, 2.0 * x], x));
    assert_eq!(fit(&samples), Err(FitError::Dependent));
}
