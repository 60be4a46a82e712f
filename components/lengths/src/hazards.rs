//! Probabilities to end in each class of lengths, from counts that borrow from each other.

use crate::classes::{HINT_CLASSES, LengthClasses, NO_HINT};
use crate::counts::{Cell, Row};

/// Weight, in texts, of the distribution around the hint against texts of all hints.
const PRIOR_TEXTS: f64 = 20.0;
/// Weight, in texts, of texts of all hints against those of neighbouring hints.
const ALL_TEXTS: f64 = 10.0;
/// Weight, in texts, of texts of neighbouring hints against those of the hint.
const NEIGHBOUR_TEXTS: f64 = 10.0;
/// Largest probability to end in a class; another length may always come.
const HAZARD_MAX: f64 = 0.98;
/// Lengths relative to the hint are counted by quarter octaves from 2^-16 to 2^16 times the hint.
const RELATIVE_OFFSET: f64 = 64.0;
const RELATIVE_CLASSES: usize = 129;

/// What is known of a class of hints before any text.
#[derive(Clone, Debug)]
pub(crate) struct HintPrior {
    /// Median length by the hint, in events.
    pub(crate) median_events: f64,
    /// Probability to end in each class of lengths.
    pub(crate) hazards: Vec<f64>,
}

/// Probability to end in each class of lengths, for each class of hints.
pub(crate) fn hazards(
    classes: &LengthClasses,
    priors: &[HintPrior],
    rows: &[Row],
) -> Vec<Vec<f64>> {
    let cells: Vec<Vec<Cell>> = rows.iter().map(Row::cells).collect();
    let relative = relative_cells(classes, priors, &cells);
    (0..HINT_CLASSES)
        .map(|hint| {
            let prior = &priors[hint];
            (0..classes.count())
                .map(|class| {
                    let prior_hazard = prior.hazards[class];
                    let all = match hint {
                        NO_HINT => total(&cells, class).hazard(PRIOR_TEXTS, prior_hazard),
                        _ => {
                            let width = classes.width(class);
                            let cell = relative[relative_class(classes, class, prior)];
                            from_rate(cell.hazard(PRIOR_TEXTS, rate(prior_hazard, width)), width)
                        }
                    };
                    let near = neighbours(&cells, hint, class).hazard(ALL_TEXTS, all);
                    let hazard = cells[hint][class].hazard(NEIGHBOUR_TEXTS, near);
                    hazard.min(HAZARD_MAX)
                })
                .collect()
        })
        .collect()
}

/// Texts of all hints by length relative to the hint: those that ended, and the quarter octaves
/// that texts passed through.
fn relative_cells(classes: &LengthClasses, priors: &[HintPrior], cells: &[Vec<Cell>]) -> Vec<Cell> {
    let mut relative = vec![Cell::default(); RELATIVE_CLASSES];
    for (prior, cells) in priors.iter().zip(cells).skip(1) {
        for (class, cell) in cells.iter().enumerate() {
            // A text passes through half of the class that it ends in.
            let passed = (cell.reached - 0.5 * cell.ended) * classes.width(class);
            relative[relative_class(classes, class, prior)].add(Cell {
                reached: passed,
                ended: cell.ended,
            });
        }
    }
    relative
}

fn relative_class(classes: &LengthClasses, class: usize, prior: &HintPrior) -> usize {
    let quarter_octaves = classes.relative(class, prior.median_events).round();
    let number = (quarter_octaves + RELATIVE_OFFSET).max(0.0) as usize;
    number.min(RELATIVE_CLASSES - 1)
}

fn neighbours(cells: &[Vec<Cell>], hint: usize, class: usize) -> Cell {
    let mut sum = Cell::default();
    if hint == NO_HINT {
        return sum;
    }
    let near = [hint - 1, hint + 1];
    for hint in near.into_iter().filter(|hint| *hint != NO_HINT) {
        if let Some(cells) = cells.get(hint) {
            sum.add(cells[class]);
        }
    }
    sum
}

fn total(cells: &[Vec<Cell>], class: usize) -> Cell {
    let mut sum = Cell::default();
    cells.iter().for_each(|cells| sum.add(cells[class]));
    sum
}

/// Rate of ending per quarter octave that gives a probability over a class.
fn rate(hazard: f64, width: f64) -> f64 {
    -(-hazard).ln_1p() / width
}

fn from_rate(rate: f64, width: f64) -> f64 {
    -(-rate * width).exp_m1()
}
