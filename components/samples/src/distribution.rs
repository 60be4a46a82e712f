//! Histogram with logarithmic buckets; a bucket is at most an eighth of its values wide.

const SUB_BITS: u32 = 3;
const SUB_BUCKETS: u64 = 1 << SUB_BITS;
const BUCKETS: usize = ((u64::BITS - SUB_BITS + 1) as usize) << SUB_BITS;
const PERMILLE: u64 = 1_000;

/// Histogram of `u64` values.
#[derive(Clone, Debug)]
pub struct Distribution {
    counts: Box<[u32]>,
    total: u64,
}

impl Default for Distribution {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS].into_boxed_slice(),
            total: 0,
        }
    }
}

impl Distribution {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a value.
    pub fn record(&mut self, number: u64) {
        self.counts[bucket_of(number)] += 1;
        self.total += 1;
    }

    /// Number of values added.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The quantile at `permille`, rounded up to the largest value of its bucket. `None` if the
    /// histogram is empty.
    pub fn quantile(&self, permille: u64) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let rank = (self.total * permille).div_ceil(PERMILLE).max(1);
        let mut seen = 0;
        let reaches = |&count: &u32| {
            seen += u64::from(count);
            seen >= rank
        };
        self.counts.iter().position(reaches).map(upper_end)
    }
}

fn bucket_of(number: u64) -> usize {
    if number < SUB_BUCKETS {
        return number as usize;
    }
    let exponent = number.ilog2() - SUB_BITS;
    let sub = (number >> exponent) - SUB_BUCKETS;
    ((u64::from(exponent + 1) << SUB_BITS) + sub) as usize
}

fn upper_end(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    if bucket < SUB_BUCKETS {
        return bucket;
    }
    let exponent = (bucket >> SUB_BITS) - 1;
    let start = (SUB_BUCKETS + bucket % SUB_BUCKETS) << exponent;
    start + ((1 << exponent) - 1)
}
