//! Ratios of two variants, pair by pair, and what they come to over all pairs.

/// Ratios of the pairs of a run.
#[derive(Clone, Debug, Default)]
pub struct Ratios {
    ratios: Vec<f64>,
}

impl Ratios {
    /// Adds a pair; one without a value on either side says nothing and is left out.
    pub fn add(&mut self, value: f64, baseline: f64) {
        if value > 0.0 && baseline > 0.0 {
            self.ratios.push(value / baseline);
        }
    }

    /// Number of pairs.
    pub fn pairs(&self) -> usize {
        self.ratios.len()
    }

    /// Median over the pairs; the mean of the two in the middle where there is no one.
    pub fn median(&self) -> Option<f64> {
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        match sorted.len() {
            0 => None,
            odd if odd % 2 == 1 => Some(sorted[middle]),
            _ => Some((sorted[middle - 1] + sorted[middle]) / 2.0),
        }
    }

    /// Smallest and largest.
    pub fn range(&self) -> Option<(f64, f64)> {
        let smallest = self.ratios.iter().copied().reduce(f64::min)?;
        let largest = self.ratios.iter().copied().reduce(f64::max)?;
        Some((smallest, largest))
    }

    /// `median (smallest-largest)`, or a dash.
    pub fn text(&self) -> String {
        match (self.median(), self.range()) {
            (Some(median), Some((smallest, largest))) => {
                format!("{median:.2} ({smallest:.2}-{largest:.2})")
            }
            _ => "-".to_owned(),
        }
    }
}
