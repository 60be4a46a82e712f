//! Tests of the estimate of lengths, with texts drawn from known distributions.

use lengths::{EventsLeft, LengthModel};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TOKENS_PER_EVENT: u32 = 80;
/// Length at which texts are cut.
const LENGTH_MAX: u64 = 153;

/// How hints relate to lengths.
#[derive(Clone, Copy)]
struct Hints {
    /// Standard deviation of the logarithm of hint / length.
    deviation: f64,
    /// Factor of all hints.
    factor: f64,
    /// Share of hints that are ten times too long or too short.
    wrong_share: f64,
}

/// A text with its hint.
#[derive(Clone, Copy)]
struct Text {
    hint_tokens: u32,
    events: u64,
}

/// Draws texts with a median of 9 events and a long tail that is cut.
fn texts(hints: Hints, count: usize, randoms: &mut StdRng) -> Vec<Text> {
    let text = |_| {
        let length = 9.0 * (1.1 * checks::normal(|| randoms.random())).exp();
        let wrong = match (randoms.random::<f64>() / hints.wrong_share) as u64 {
            0 if randoms.random() => 10.0,
            0 => 0.1,
            _ => 1.0,
        };
        let error =
            hints.factor * wrong * (hints.deviation * checks::normal(|| randoms.random())).exp();
        let hint_tokens = length * error * f64::from(TOKENS_PER_EVENT);
        Text {
            hint_tokens: hint_tokens.max(1.0) as u32,
            events: (length.ceil() as u64).clamp(1, LENGTH_MAX),
        }
    };
    (0..count).map(text).collect()
}

fn learnt(texts: &[Text]) -> LengthModel {
    let mut model = LengthModel::new(TOKENS_PER_EVENT);
    for text in texts {
        model.record_complete(text.hint_tokens, text.events);
    }
    model
}

/// How well a model estimates texts that it did not learn from.
#[derive(Debug)]
struct Quality {
    /// Mean of the estimates over the mean of the events left.
    bias: f64,
    /// Share of the texts that take longer than the high estimate.
    above_high: f64,
    /// Mean error over the mean of the events left.
    error: f64,
    count: usize,
}

impl Quality {
    /// Whether the estimates are right up to the chance of the texts that were learnt and compared.
    fn is_right(&self) -> bool {
        let within = 0.08 + 2.0 / (self.count as f64).sqrt();
        (self.bias - 1.0).abs() < within && (self.above_high - 0.1).abs() < within
    }
}

/// Compares the estimates with the events that texts still took after `generated` events.
fn quality(model: &LengthModel, texts: &[Text], generated: u64) -> Quality {
    let (mut left, mut estimated, mut error, mut above, mut count) = (0.0, 0.0, 0.0, 0, 0);
    for text in texts.iter().filter(|text| text.events > generated) {
        let EventsLeft { mean, high } = model.events_left(text.hint_tokens, generated);
        let actual = text.events - generated;
        left += actual as f64;
        estimated += mean as f64;
        error += actual.abs_diff(mean) as f64;
        above += u32::from(actual > high);
        count += 1;
    }
    Quality {
        bias: estimated / left,
        above_high: f64::from(above) / count as f64,
        error: error / left,
        count,
    }
}

/// Error of an estimate that knows neither hints nor events.
fn error_of_mean(texts: &[Text]) -> f64 {
    let sum: u64 = texts.iter().map(|text| text.events).sum();
    let mean = sum as f64 / texts.len() as f64;
    let error: f64 = texts
        .iter()
        .map(|text| (text.events as f64 - mean).abs())
        .sum();
    error / sum as f64
}

#[test]
fn can_estimate_the_events_left_from_hints_of_any_quality() {
    // Texts that are expected to end too early keep a step waiting at a slow replica; those that
    // are expected to end too late take fast slots from others.
    struct Case {
        name: &'static str,
        hints: Hints,
        /// Largest error before the first event, relative to that without hints.
        error_share: f64,
    }
    let hints = |deviation, factor, wrong_share| Hints {
        deviation,
        factor,
        wrong_share,
    };
    let cases = [
        Case {
            name: "hints right in the median, off by a third",
            hints: hints(0.3, 1.0, 0.0),
            error_share: 0.55,
        },
        Case {
            name: "hints right in the median, often far off",
            hints: hints(0.8, 1.0, 0.0),
            error_share: 0.9,
        },
        Case {
            name: "one hint in five wrong by ten",
            hints: hints(0.3, 1.0, 0.2),
            error_share: 0.85,
        },
        Case {
            name: "all hints ten times too long",
            hints: hints(0.3, 10.0, 0.0),
            error_share: 0.55,
        },
        Case {
            name: "all hints ten times too short",
            hints: hints(0.3, 0.1, 0.0),
            error_share: 0.6,
        },
    ];
    for case in cases {
        let mut randoms = StdRng::seed_from_u64(checks::seed());
        let model = learnt(&texts(case.hints, 8_000, &mut randoms));
        let others = texts(case.hints, 8_000, &mut randoms);
        for generated in [0, 2, 5, 10, 20, 40, 80] {
            let found = quality(&model, &others, generated);
            let name = format!("{}, {generated} events: {found:?}", case.name);
            assert!(found.is_right(), "{name}");
        }
        let (found, without) = (quality(&model, &others, 0).error, error_of_mean(&others));
        assert!(
            found < case.error_share * without,
            "{}: {found} against {without} without hints",
            case.name
        );
    }
}

#[test]
fn can_use_the_hint_before_anything_is_learnt() {
    // A front that has just started places its first step by the hints alone.
    let model = LengthModel::new(TOKENS_PER_EVENT);
    for events in [4, 16, 64] {
        let hint_tokens = events * TOKENS_PER_EVENT;
        let left = model.events_left(hint_tokens, 0);
        let events = u64::from(events);
        assert!((events..3 * events).contains(&left.mean), "{left:?}");
        assert!((2 * events..6 * events).contains(&left.high), "{left:?}");
        // A text that is far beyond its hint probably still takes some time.
        let beyond = model.events_left(hint_tokens, 4 * events);
        assert!((events..5 * events).contains(&beyond.mean), "{beyond:?}");
    }
    let unhinted = model.events_left(0, 0);
    assert!((8..=24).contains(&unhinted.mean), "{unhinted:?}");
}

#[test]
fn can_learn_from_a_few_texts() {
    // The first steps of a trainer have no other texts to learn from.
    let hints = Hints {
        deviation: 0.3,
        factor: 10.0,
        wrong_share: 0.0,
    };
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let others = texts(hints, 4_000, &mut randoms);
    let unlearnt = quality(&LengthModel::new(TOKENS_PER_EVENT), &others, 0);
    let model = learnt(&texts(hints, 200, &mut randoms));
    let found = quality(&model, &others, 0);
    assert!(unlearnt.bias > 5.0, "{unlearnt:?}");
    assert!((found.bias - 1.0).abs() < 0.2, "{found:?}");
}

#[test]
fn can_estimate_texts_without_hints() {
    let hints = Hints {
        deviation: 0.0,
        factor: 1.0,
        wrong_share: 0.0,
    };
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let unhinted = |count, randoms: &mut StdRng| {
        let mut texts = texts(hints, count, randoms);
        texts.iter_mut().for_each(|text| text.hint_tokens = 0);
        texts
    };
    let model = learnt(&unhinted(8_000, &mut randoms));
    let others = unhinted(8_000, &mut randoms);
    for generated in [0, 10, 40] {
        let found = quality(&model, &others, generated);
        assert!(found.is_right(), "{generated}: {found:?}");
    }
}

#[test]
fn can_learn_the_maximum_of_a_long_tail() {
    // A text near the maximum ends soon, whatever its hint says; without the maximum it would be
    // moved for events that it never makes.
    let hints = Hints {
        deviation: 0.8,
        factor: 1.0,
        wrong_share: 0.0,
    };
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let model = learnt(&texts(hints, 16_000, &mut randoms));
    for hint_tokens in [0, 80, 800, 8_000, 60_000] {
        for generated in 0..LENGTH_MAX {
            let left = model.events_left(hint_tokens, generated);
            assert!(
                left.high <= LENGTH_MAX - generated,
                "hint {hint_tokens}, {generated} events: {left:?}"
            );
        }
        // A longer text may still come.
        let beyond = model.events_left(hint_tokens, LENGTH_MAX + 50);
        assert!(beyond.mean >= 1, "{beyond:?}");
    }
}

#[test]
fn can_count_texts_that_were_dropped_without_shortening_the_estimate() {
    // The longest texts of each step are dropped when the step ends. If they counted as complete,
    // long texts would be expected to end early, and left where they are.
    let hints = Hints {
        deviation: 0.5,
        factor: 1.0,
        wrong_share: 0.0,
    };
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let mut censored = LengthModel::new(TOKENS_PER_EVENT);
    let mut shortened = LengthModel::new(TOKENS_PER_EVENT);
    for text in texts(hints, 16_000, &mut randoms) {
        // Steps end after different times.
        let dropped_at: u64 = randoms.random_range(15..60);
        if text.events > dropped_at {
            censored.record_censored(text.hint_tokens, dropped_at);
            shortened.record_complete(text.hint_tokens, dropped_at);
        } else {
            censored.record_complete(text.hint_tokens, text.events);
            shortened.record_complete(text.hint_tokens, text.events);
        }
    }
    let others = texts(hints, 16_000, &mut randoms);
    for generated in [0, 10, 25] {
        let found = quality(&censored, &others, generated);
        assert!(found.bias > 0.9, "{generated}: {found:?}");
        assert!(found.bias < 1.3, "{generated}: {found:?}");
        let wrong = quality(&shortened, &others, generated);
        assert!(wrong.bias < 0.95 * found.bias, "{generated}: {wrong:?}");
    }
}

#[test]
fn can_tell_a_maximum_from_steps_that_end() {
    // All steps end after the same time. If the longest complete texts showed a maximum, texts near
    // it would be expected to end at once.
    let hints = Hints {
        deviation: 0.5,
        factor: 1.0,
        wrong_share: 0.0,
    };
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let mut model = LengthModel::new(TOKENS_PER_EVENT);
    for text in texts(hints, 8_000, &mut randoms) {
        match text.events > 60 {
            true => model.record_censored(text.hint_tokens, 60),
            false => model.record_complete(text.hint_tokens, text.events),
        }
    }
    let others = texts(hints, 8_000, &mut randoms);
    for generated in [20, 40, 55] {
        let found = quality(&model, &others, generated);
        assert!(found.bias > 0.75, "{generated}: {found:?}");
    }
}

#[test]
fn can_continue_from_a_snapshot_of_bounded_size() {
    // The next owner must not learn the lengths again, and what is kept for it must stay small.
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let mut model = LengthModel::new(TOKENS_PER_EVENT);
    for _ in 0..100_000 {
        // Hints and lengths of all classes.
        let hint_tokens = (randoms.random::<f64>() * 17.0).exp2() as u32 - 1;
        let events = (randoms.random::<f64>() * 17.0).exp2() as u64;
        match randoms.random() {
            true => model.record_complete(hint_tokens, events),
            false => model.record_censored(hint_tokens, events),
        }
    }
    let bytes = postcard::to_stdvec(&model.snapshot()).expect("the snapshot encodes");
    assert!(bytes.len() <= 4_096, "{} bytes", bytes.len());

    let hints = Hints {
        deviation: 0.5,
        factor: 1.0,
        wrong_share: 0.0,
    };
    let model = learnt(&texts(hints, 1_500, &mut randoms));
    let bytes = postcard::to_stdvec(&model.snapshot()).expect("the snapshot encodes");
    let snapshot = postcard::from_bytes(&bytes).expect("the snapshot decodes");
    let restored = LengthModel::restore(&snapshot);
    assert_eq!(restored.snapshot(), model.snapshot());
    // The estimates of the model may lack the newest texts.
    for hint_tokens in [0, 400, 800, 1_600, 8_000] {
        for generated in [0, 10, 50, 150] {
            let left = model.events_left(hint_tokens, generated);
            let again = restored.events_left(hint_tokens, generated);
            let difference = left.mean.abs_diff(again.mean);
            assert!(difference <= 1 + left.mean / 20, "{left:?} {again:?}");
        }
    }
}

#[test]
fn can_ignore_parts_of_a_snapshot_that_do_not_fit() {
    // A snapshot of another release may have more classes.
    let mut snapshot = learnt(&[]).snapshot();
    snapshot.tokens_per_event = 0;
    snapshot.rows.push(lengths::RowSnapshot {
        hint_class: 200,
        ended: vec![1; 500],
        censored: vec![],
    });
    snapshot.rows.push(lengths::RowSnapshot {
        hint_class: 3,
        ended: vec![u16::MAX; 500],
        censored: vec![u16::MAX; 500],
    });
    let left = LengthModel::restore(&snapshot).events_left(64, 3);
    assert!(left.mean >= 1 && left.high >= left.mean);
}

checks::seeded! {
    // Guards against panics and impossible estimates: after any texts, an estimate for any hint
    // and any number of events is at least one event, and not longer than all texts and hints.
    fn any_texts_give_an_estimate(
        texts: Vec<(u32, u32, bool)>,
        hint_tokens: u32,
        generated: u64,
        tokens_per_event: u32
    ) -> bool {
        let mut model = LengthModel::new(tokens_per_event);
        for (hint_tokens, events, complete) in texts {
            match complete {
                true => model.record_complete(hint_tokens, u64::from(events)),
                false => model.record_censored(hint_tokens, u64::from(events)),
            }
        }
        let restored = LengthModel::restore(&model.snapshot());
        [model, restored].iter().all(|model| {
            [generated, generated % 200, 0].into_iter().all(|generated| {
                let left = model.events_left(hint_tokens, generated);
                left.mean >= 1 && left.high >= left.mean && left.high < 100_000
            })
        })
    }

    // Guards against estimates that jump: a further event makes a text's end at most a little
    // earlier, as lengths below the new number are ruled out.
    fn a_further_event_does_not_bring_the_end_closer(
        lengths: Vec<u8>,
        hint_tokens: u16
    ) -> bool {
        let mut model = LengthModel::new(TOKENS_PER_EVENT);
        for events in lengths {
            model.record_complete(u32::from(hint_tokens), u64::from(events));
        }
        (0..150).all(|generated| {
            let end = |generated| {
                generated + model.events_left(u32::from(hint_tokens), generated).mean
            };
            end(generated + 1) + 1 >= end(generated)
        })
    }
}
