//! Linear regression through measured points.

/// The line `value = base + slope × size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value of the line at size 0.
    pub base: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points `(size, value)` by least squares; `None` if there are fewer than two
    /// different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let sum_of_squares: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        let sum_of_products = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value));
        let sum_of_products: f64 = sum_of_products.sum();
        (sum_of_squares > 0.0).then(|| Line {
            base: mean_value - sum_of_products / sum_of_squares * mean_size,
            slope: sum_of_products / sum_of_squares,
        })
    }

    /// Value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
