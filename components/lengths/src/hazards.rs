//! Probabilities to end in each class of lengths, from counts that borrow from each other.
//!
//! The distribution that all texts give for a hint follows from Bayes' rule: how likely a length is,
//! times how likely its hint is. Both factors are distributions of one variable, so few texts are
//! enough to learn them, and the maximum of all lengths bounds those of each hint. The second factor
//! takes the ratio of hint to length as independent of the length; where there are enough texts of
//! a hint, they replace it.

use crate::classes::{HINT_CLASSES, LengthClasses, NO_HINT};
use crate::counts::{Cell, Row};
use crate::prior::{Prior, RATIO_CLASSES};

/// Weight, in texts, of uniform lengths against the lengths of all texts.
const UNIFORM_TEXTS: f64 = 1.0;
/// Probability to end in each quarter octave behind the longest text, once lengths are learnt. Texts
/// there are expected to become twice as long; uniform lengths would make them a hundred times as
/// long.
const TAIL_HAZARD: f64 = 0.3;
/// Number of texts from which the probability behind the longest text is more [`TAIL_HAZARD`] than
/// uniform.
const TAIL_TEXTS: f64 = 20.0;
/// Weight, in texts, of the prior distribution of the ratio of hint to length.
const RATIO_TEXTS: f64 = 10.0;
/// Weight, in texts, of the prior distribution of texts without a hint.
const UNHINTED_TEXTS: f64 = 10.0;
/// Weight, in texts, of texts of all hints against those of neighbouring hints.
const ALL_TEXTS: f64 = 40.0;
/// Weight, in texts, of texts of neighbouring hints against those of the hint.
const NEIGHBOUR_TEXTS: f64 = 40.0;
/// Largest probability to end in a class; another length may always come.
const HAZARD_MAX: f64 = 0.98;
/// Probability below which a class and all behind it are too unlikely for a ratio of the two.
const PROBABILITY_MIN: f64 = 1e-200;

/// Probability to end in each class of lengths, for each class of hints.
pub(crate) fn hazards(classes: &LengthClasses, prior: &Prior, rows: &[Row]) -> Vec<Vec<f64>> {
    let cells: Vec<Vec<Cell>> = rows.iter().map(Row::cells).collect();
    let lengths = length_shares(classes, prior, &cells);
    let ratios = ratio_shares(classes, prior, &cells);
    (0..HINT_CLASSES)
        .map(|hint| {
            let all = match hint {
                NO_HINT => unhinted_hazards(prior, &cells),
                _ => hinted_hazards(&prior.ratio_classes[hint], &lengths, &ratios),
            };
            all.iter()
                .enumerate()
                .map(|(class, all)| {
                    let near = neighbours(&cells, hint, class).hazard(ALL_TEXTS, *all);
                    let hazard = cells[hint][class].hazard(NEIGHBOUR_TEXTS, near);
                    hazard.min(HAZARD_MAX)
                })
                .collect()
        })
        .collect()
}

/// Probability of each class of lengths among all texts with a hint.
fn length_shares(classes: &LengthClasses, prior: &Prior, cells: &[Vec<Cell>]) -> Vec<f64> {
    let mut surviving = 1.0;
    let texts = total(&cells[1..], 0).reached;
    let learnt = texts / (texts + TAIL_TEXTS);
    (0..classes.count())
        .map(|class| {
            let uniform = prior.uniform_hazards[class];
            let tail = uniform + learnt * (TAIL_HAZARD - uniform).max(0.0);
            let hazard = total(&cells[1..], class).hazard(UNIFORM_TEXTS, tail);
            let share = surviving * hazard;
            surviving -= share;
            share
        })
        .collect()
}

/// Probability of a class of hints for a length, by the ratio of the two.
fn ratio_shares(classes: &LengthClasses, prior: &Prior, cells: &[Vec<Cell>]) -> Vec<f64> {
    let mut counts = vec![Cell::default(); RATIO_CLASSES];
    for class in 0..classes.count() {
        let ended = total(&cells[1..], class).ended;
        if ended <= 0.0 {
            continue;
        }
        for (hint, row) in cells.iter().enumerate() {
            if let Some(ratio_class) = prior.ratio_class(hint, class) {
                counts[ratio_class].add(Cell {
                    reached: ended,
                    ended: row[class].ended,
                });
            }
        }
    }
    counts
        .iter()
        .zip(&prior.ratio_shares)
        .map(|(cell, share)| cell.hazard(RATIO_TEXTS, *share))
        .collect()
}

fn hinted_hazards(ratio_classes: &[usize], lengths: &[f64], ratios: &[f64]) -> Vec<f64> {
    let shares = lengths
        .iter()
        .zip(ratio_classes)
        .map(|(length, ratio_class)| length * ratios[*ratio_class]);
    let mut behind = 0.0;
    let mut hazards: Vec<f64> = shares
        .rev()
        .map(|share| {
            behind += share;
            match behind > PROBABILITY_MIN {
                true => share / behind,
                false => HAZARD_MAX,
            }
        })
        .collect();
    hazards.reverse();
    hazards
}

/// Texts without a hint borrow from all texts.
fn unhinted_hazards(prior: &Prior, cells: &[Vec<Cell>]) -> Vec<f64> {
    prior
        .unhinted_hazards
        .iter()
        .enumerate()
        .map(|(class, hazard)| total(cells, class).hazard(UNHINTED_TEXTS, *hazard))
        .collect()
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
