//! Fits of what was measured to terms that it may depend on.

/// Slopes that are never negative, by least squares of the relative errors.
#[derive(Clone, Debug, Default)]
pub struct Fit {
    pub slopes: Vec<f64>,
    /// Root of the mean square of the relative errors.
    pub residual: f64,
    /// Relative error at the last point where the fit doesn't know it.
    pub missed: f64,
}

impl Fit {
    /// What the slopes predict at a point.
    pub fn at(&self, x: &[f64]) -> f64 {
        self.slopes.iter().zip(x).map(|(s, x)| s * x).sum()
    }
}

/// Coordinate descent: each slope in turn takes what the others leave over.
fn slopes(x: &[Vec<f64>], y: &[f64]) -> Vec<f64> {
    let terms = x.first().map_or(0, Vec::len);
    let weight = |i: usize| 1.0 / y[i].abs().max(1e-9);
    let size: Vec<f64> = (0..terms)
        .map(|k| x.iter().map(|r| r[k].abs()).fold(1e-300, f64::max))
        .collect();
    let rows: Vec<Vec<f64>> = x
        .iter()
        .enumerate()
        .map(|(i, r)| {
            r.iter()
                .zip(&size)
                .map(|(v, s)| v / s * weight(i))
                .collect()
        })
        .collect();
    let mut left: Vec<f64> = y.iter().enumerate().map(|(i, v)| v * weight(i)).collect();
    let mut b = vec![0.0; terms];
    for _ in 0..200_000 {
        let mut moved = 0.0f64;
        for k in 0..terms {
            let square: f64 = rows.iter().map(|r| r[k] * r[k]).sum();
            let along: f64 = rows.iter().zip(&left).map(|(r, l)| r[k] * l).sum();
            let next = (b[k] + along / square.max(1e-300)).max(0.0);
            let step = next - b[k];
            left.iter_mut()
                .zip(&rows)
                .for_each(|(l, r)| *l -= step * r[k]);
            b[k] = next;
            moved = moved.max(step.abs());
        }
        if moved < 1e-13 * b.iter().fold(1.0, |m: f64, v| m.max(*v)) {
            break;
        }
    }
    b.iter().zip(&size).map(|(b, s)| b / s).collect()
}

/// Fits rows of terms to what was measured.
pub fn fit(x: &[Vec<f64>], y: &[f64]) -> Fit {
    let f = Fit {
        slopes: slopes(x, y),
        ..Fit::default()
    };
    let off = |f: &Fit, i: usize| (f.at(&x[i]) - y[i]) / y[i].abs().max(1e-9);
    let square: f64 = (0..y.len()).map(|i| off(&f, i).powi(2)).sum();
    let last = y.len().saturating_sub(1);
    let without = Fit {
        slopes: slopes(&x[..last], &y[..last]),
        ..Fit::default()
    };
    Fit {
        residual: (square / y.len().max(1) as f64).sqrt(),
        missed: if last > 0 { off(&without, last) } else { 0.0 },
        ..f
    }
}
