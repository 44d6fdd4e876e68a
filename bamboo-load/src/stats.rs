//! Linear regression.

use std::fmt;

/// Slope of a fitted line, and the largest residual relative to the largest absolute y value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fit {
    slope: f64,
    max_residual: f64,
}

impl fmt::Display for Fit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:.4} (spread {:.0}%)",
            self.slope,
            self.max_residual * 100.0
        )
    }
}

/// Fits a line by least squares. The slope is 0 if all x values are equal.
pub(crate) fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let largest_y = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let relative_residual =
        |(x, y): &(f64, f64)| (y - (mean_y + slope * (x - mean_x))).abs() / largest_y;
    Fit {
        slope,
        max_residual: points.iter().map(relative_residual).fold(0.0, f64::max),
    }
}
