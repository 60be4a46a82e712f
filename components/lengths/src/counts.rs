//! Counts of the texts of one class of hints.

/// Texts of one class of hints, by class of length.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// Texts that ended in the class.
    pub(crate) ended: Vec<f64>,
    /// Texts that were dropped in the class.
    pub(crate) censored: Vec<f64>,
}

/// How many texts reached a class and how many ended in it. A text that was dropped in the class
/// counts as half a text that reached it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cell {
    pub(crate) reached: f64,
    pub(crate) ended: f64,
}

impl Row {
    pub(crate) fn new(classes: usize) -> Self {
        Self {
            ended: vec![0.0; classes],
            censored: vec![0.0; classes],
        }
    }

    pub(crate) fn add_ended(&mut self, class: usize) {
        self.ended[class] += 1.0;
    }

    pub(crate) fn add_censored(&mut self, class: usize) {
        self.censored[class] += 1.0;
    }

    pub(crate) fn texts(&self) -> f64 {
        self.ended.iter().chain(&self.censored).sum()
    }

    pub(crate) fn cells(&self) -> Vec<Cell> {
        let mut behind = 0.0;
        let mut cells: Vec<Cell> = self
            .ended
            .iter()
            .zip(&self.censored)
            .rev()
            .map(|(ended, censored)| {
                let reached = behind + ended + 0.5 * censored;
                behind += ended + censored;
                Cell {
                    reached,
                    ended: *ended,
                }
            })
            .collect();
        cells.reverse();
        cells
    }

    /// Counts all texts as half a text.
    pub(crate) fn halve(&mut self) {
        let counts = self.ended.iter_mut().chain(&mut self.censored);
        counts.for_each(|count| *count *= 0.5);
    }
}

impl Cell {
    pub(crate) fn add(&mut self, other: Cell) {
        self.reached += other.reached;
        self.ended += other.ended;
    }

    /// Probability to end in the class, where `texts` texts with the probability `prior` are added.
    pub(crate) fn hazard(&self, texts: f64, prior: f64) -> f64 {
        (self.ended + texts * prior) / (self.reached + texts)
    }
}
