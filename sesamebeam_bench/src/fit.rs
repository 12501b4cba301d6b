//! Slopes by least squares.

use thiserror::Error;

/// Determinant, after scaling, under which the columns count as dependent.
const SINGULAR: f64 = 1e-12;

/// Why no slopes can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// There are fewer samples than slopes.
    #[error("{samples} samples for {slopes} slopes")]
    TooFew {
        /// Samples given.
        samples: usize,
        /// Slopes wanted.
        slopes: usize,
    },
    /// One column follows from the others, so that their slopes cannot be told
    /// apart.
    #[error("the samples do not tell the slopes apart")]
    Dependent,
}

/// What was counted and what it cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<const N: usize> {
    /// Counts, one a slope.
    pub counts: [f64; N],
    /// Cost.
    pub cost: f64,
}

/// Slopes of a cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit<const N: usize> {
    /// Cost of one of each count.
    pub slopes: [f64; N],
    /// Share of the variance that the slopes explain (0 to 1).
    pub r2: f64,
}

/// Fits `cost = sum(slope * count)`, without a constant; a constant is a count
/// that is always 1.
///
/// # Errors
///
/// Fails if the samples are too few or do not tell the slopes apart.
pub fn fit<const N: usize>(samples: &[Sample<N>]) -> Result<Fit<N>, FitError> {
    if samples.len() < N {
        return Err(FitError::TooFew {
            samples: samples.len(),
            slopes: N,
        });
    }
    let scale = scales(samples);
    let (mut matrix, mut right) = ([[0.0; N]; N], [0.0; N]);
    for sample in samples {
        for row in 0..N {
            let x = sample.counts[row] / scale[row];
            right[row] += x * sample.cost;
            for col in 0..N {
                matrix[row][col] += x * sample.counts[col] / scale[col];
            }
        }
    }
    let mut slopes = solve(matrix, right).ok_or(FitError::Dependent)?;
    for (slope, scale) in slopes.iter_mut().zip(scale) {
        *slope /= scale;
    }
    Ok(Fit {
        r2: explained(samples, &slopes),
        slopes,
    })
}

/// Largest of each count: without it a count of millions drowns one of seconds.
fn scales<const N: usize>(samples: &[Sample<N>]) -> [f64; N] {
    let mut scale = [0.0_f64; N];
    for sample in samples {
        for (scale, count) in scale.iter_mut().zip(sample.counts) {
            *scale = scale.max(count.abs());
        }
    }
    scale.map(|s| if s > 0.0 { s } else { 1.0 })
}

/// Solves by elimination with row exchanges.
fn solve<const N: usize>(mut matrix: [[f64; N]; N], mut right: [f64; N]) -> Option<[f64; N]> {
    for col in 0..N {
        let pivot =
            (col..N).max_by(|&a, &b| matrix[a][col].abs().total_cmp(&matrix[b][col].abs()))?;
        if matrix[pivot][col].abs() < SINGULAR {
            return None;
        }
        matrix.swap(col, pivot);
        right.swap(col, pivot);
        for row in col + 1..N {
            let factor = matrix[row][col] / matrix[col][col];
            let above = matrix[col];
            for (cell, above) in matrix[row].iter_mut().zip(above).skip(col) {
                *cell -= factor * above;
            }
            right[row] -= factor * right[col];
        }
    }
    let mut out = [0.0; N];
    for row in (0..N).rev() {
        let rest: f64 = (row + 1..N).map(|col| matrix[row][col] * out[col]).sum();
        out[row] = (right[row] - rest) / matrix[row][row];
    }
    Some(out)
}

fn explained<const N: usize>(samples: &[Sample<N>], slopes: &[f64; N]) -> f64 {
    let mean = samples.iter().map(|s| s.cost).sum::<f64>() / samples.len() as f64;
    let (mut left, mut all) = (0.0, 0.0);
    for sample in samples {
        let told: f64 = sample.counts.iter().zip(slopes).map(|(x, b)| x * b).sum();
        left += (sample.cost - told).powi(2);
        all += (sample.cost - mean).powi(2);
    }
    if all > 0.0 { 1.0 - left / all } else { 1.0 }
}
