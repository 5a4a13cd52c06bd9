//! Fits of what was measured to terms that it may depend on.

/// The smallest size of a measured value that errors are taken relative to.
const MIN_VALUE: f64 = 1e-9;
/// The smallest divisor.
const MIN_DIVISOR: f64 = 1e-300;
/// Rounds of the descent at the most.
const MAX_ROUNDS: usize = 200_000;
/// The descent ends when no slope moves by more than this share of the largest one.
const CONVERGED: f64 = 1e-13;

/// Slopes that are never negative, by least squares of the relative errors.
#[derive(Clone, Debug, Default)]
pub struct Fit {
    /// One for each term.
    pub slopes: Vec<f64>,
    /// Root of the mean square of the relative errors.
    pub residual: f64,
    /// Relative error at the last point where the fit doesn't know it.
    pub missed: f64,
}

impl Fit {
    fn of_slopes(slopes: Vec<f64>) -> Self {
        Self {
            slopes,
            ..Self::default()
        }
    }

    /// What the slopes predict at a point, given by its terms.
    pub fn at(&self, terms: &[f64]) -> f64 {
        let parts = self.slopes.iter().zip(terms);
        parts.map(|(slope, term)| slope * term).sum()
    }

    fn relative_error(&self, terms: &[f64], measured: f64) -> f64 {
        (self.at(terms) - measured) * weight(measured)
    }
}

/// What an error of a measured value counts for.
fn weight(measured: f64) -> f64 {
    1.0 / measured.abs().max(MIN_VALUE)
}

/// The largest size of each term.
fn term_sizes(points: &[Vec<f64>]) -> Vec<f64> {
    let term_count = points.first().map_or(0, Vec::len);
    let size = |term: usize| {
        let values = points.iter().map(|point| point[term].abs());
        values.fold(MIN_DIVISOR, f64::max)
    };
    (0..term_count).map(size).collect()
}

/// The points with each term brought to the same size, and weighted as their measured values are.
fn weighted_rows(points: &[Vec<f64>], measured: &[f64], sizes: &[f64]) -> Vec<Vec<f64>> {
    let mut rows = Vec::new();
    for (point, value) in points.iter().zip(measured) {
        let terms = point.iter().zip(sizes);
        rows.push(
            terms
                .map(|(term, size)| term / size * weight(*value))
                .collect(),
        );
    }
    rows
}

/// Coordinate descent: each slope in turn takes what the others leave over.
fn slopes(points: &[Vec<f64>], measured: &[f64]) -> Vec<f64> {
    let sizes = term_sizes(points);
    let rows = weighted_rows(points, measured, &sizes);
    let mut left: Vec<f64> = measured.iter().map(|v| v * weight(*v)).collect();
    let mut slopes = vec![0.0; sizes.len()];
    for _ in 0..MAX_ROUNDS {
        let moved = descend(&rows, &mut left, &mut slopes);
        let largest = slopes.iter().fold(1.0, |most: f64, slope| most.max(*slope));
        if moved < CONVERGED * largest {
            break;
        }
    }
    let scaled = slopes.iter().zip(&sizes);
    scaled.map(|(slope, size)| slope / size).collect()
}

/// One round of the descent; returns how far the slope moved that moved farthest.
fn descend(rows: &[Vec<f64>], left: &mut [f64], slopes: &mut [f64]) -> f64 {
    let mut moved = 0.0f64;
    for (term, slope) in slopes.iter_mut().enumerate() {
        let square: f64 = rows.iter().map(|row| row[term] * row[term]).sum();
        let pairs = rows.iter().zip(left.iter());
        let along: f64 = pairs.map(|(row, left)| row[term] * left).sum();
        let next = (*slope + along / square.max(MIN_DIVISOR)).max(0.0);
        let step = next - *slope;
        for (left, row) in left.iter_mut().zip(rows) {
            *left -= step * row[term];
        }
        *slope = next;
        moved = moved.max(step.abs());
    }
    moved
}

/// Fits points, each given by its terms, to what was measured there.
pub fn fit(points: &[Vec<f64>], measured: &[f64]) -> Fit {
    let fit = Fit::of_slopes(slopes(points, measured));
    let pairs = points.iter().zip(measured);
    let errors = pairs.map(|(point, value)| fit.relative_error(point, *value));
    let square: f64 = errors.map(|error| error.powi(2)).sum();
    let residual = (square / measured.len().max(1) as f64).sqrt();
    let last = measured.len().saturating_sub(1);
    let without_last = Fit::of_slopes(slopes(&points[..last], &measured[..last]));
    let missed = if last > 0 {
        without_last.relative_error(&points[last], measured[last])
    } else {
        0.0
    };
    Fit {
        residual,
        missed,
        ..fit
    }
}
