//! Straight lines through measured points.

/// `value = base + slope × size`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
}

impl Line {
    /// The line through points of size and value; `None` for fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - size).powi(2)).sum();
        let both = points
            .iter()
            .map(|point| (point.0 - size) * (point.1 - value));
        let both: f64 = both.sum();
        (spread > 0.0).then(|| Line {
            base: value - both / spread * size,
            slope: both / spread,
        })
    }

    /// Value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
