//! Ratios of two variants, computed for each pair of slices and summarized over all pairs, so that
//! disturbances by the rest of the VM, which affect both slices of a pair, cancel out.

/// The ratios of all pairs of slices in a run.
#[derive(Clone, Debug, Default)]
pub struct Ratios {
    ratios: Vec<f64>,
}

impl Ratios {
    /// Adds the ratio of a pair. A pair in which either value is 0 is skipped: it has no ratio.
    pub fn add_pair(&mut self, value: f64, baseline: f64) {
        if value > 0.0 && baseline > 0.0 {
            self.ratios.push(value / baseline);
        }
    }

    /// Number of pairs that have a ratio.
    pub fn pair_count(&self) -> usize {
        self.ratios.len()
    }

    /// Median over the pairs; for an even number the mean of the two middle ratios.
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

    /// Smallest and largest ratio; `None` without any pair.
    pub fn range(&self) -> Option<(f64, f64)> {
        let smallest = self.ratios.iter().copied().reduce(f64::min)?;
        let largest = self.ratios.iter().copied().reduce(f64::max)?;
        Some((smallest, largest))
    }

    /// Formats as `median (smallest-largest)`, or a dash without any pair.
    pub fn render(&self) -> String {
        match (self.median(), self.range()) {
            (Some(median), Some((smallest, largest))) => {
                format!("{median:.2} ({smallest:.2}-{largest:.2})")
            }
            _ => "-".to_owned(),
        }
    }
}
