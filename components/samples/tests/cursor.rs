//! Encoding of cursors, and refusal of those that are invalid or belong to another step.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

mod support;

use samples::{Cursor, CursorError, CursorKeys, Group, Step, StepKey};
use support::{key, keys, step_of};

fn other(key: StepKey, prompt: &str) -> Step {
    let group = Group {
        prompt: prompt.to_owned(),
        samples: 16,
    };
    Step::new(key, vec![group], 64).unwrap()
}

#[test]
fn errors_when_a_cursor_belongs_to_another_step() {
    struct Case {
        name: &'static str,
        step: Step,
        error: CursorError,
    }
    let mut customer = key(7);
    customer.customer = "collective".parse().unwrap();
    let mut service = key(7);
    service.service = "price-llm".parse().unwrap();
    let cases = [
        Case {
            name: "another customer",
            step: other(customer, "a"),
            error: CursorError::OtherTrainer,
        },
        Case {
            name: "another model",
            step: other(service, "a"),
            error: CursorError::OtherTrainer,
        },
        Case {
            name: "another step",
            step: other(key(8), "a"),
            error: CursorError::OtherStep(7),
        },
        Case {
            name: "another content",
            step: other(key(7), "b"),
            error: CursorError::OtherPost,
        },
    ];
    let text = Cursor::start(&other(key(7), "a")).seal(&keys());
    for case in cases {
        let opened = Cursor::open(&text, &keys(), &case.step);
        assert_eq!(opened, Err(case.error), "{}", case.name);
    }
}

#[test]
fn can_open_a_cursor_with_either_of_two_keys() {
    let step = step_of(2, 8);
    let cursor = Cursor::start(&step).with_received([3, 5]);
    let old = cursor.seal(&CursorKeys::new([1; 32], None));
    let rotating = CursorKeys::new([2; 32], Some([1; 32]));
    let rotated = CursorKeys::new([2; 32], None);
    assert_eq!(Cursor::open(&old, &rotating, &step), Ok(cursor.clone()));
    let new = cursor.seal(&rotating);
    assert_eq!(Cursor::open(&new, &rotated, &step), Ok(cursor));
    let refused = Cursor::open(&old, &rotated, &step);
    assert_eq!(refused, Err(CursorError::Damaged));
}

#[test]
fn can_encode_the_largest_step_in_a_kilobyte() {
    let step = step_of(512, 8);
    // Alternating slots are the worst case of the run-length encoding.
    let cursor = Cursor::start(&step).with_received((0..4_096).step_by(2));
    let text = cursor.seal(&keys());
    assert!(text.len() <= 1_024, "{} bytes", text.len());
    assert_eq!(Cursor::open(&text, &keys(), &step), Ok(cursor));
}

checks::seeded! {
    fn can_decode_any_encoded_set_of_slots(positions: Vec<u32>, groups: u8) -> bool {
        let step = step_of(u32::from(groups % 64) + 1, 7);
        let positions = positions.into_iter().map(|position| position % step.total());
        let cursor = Cursor::start(&step).with_received(positions);
        Cursor::open(&cursor.seal(&keys()), &keys(), &step) == Ok(cursor)
    }

    fn errors_when_any_letter_is_changed(position: usize, letter: u8) -> bool {
        let step = step_of(4, 8);
        let mut text = Cursor::start(&step).with_received([1, 2, 9]).seal(&keys()).into_bytes();
        let position = position % text.len();
        let letter = b'A' + letter % 26;
        let same = text[position] == letter;
        text[position] = letter;
        let text = String::from_utf8(text).unwrap();
        same || Cursor::open(&text, &keys(), &step) == Err(CursorError::Damaged)
    }

    fn errors_when_a_cursor_is_truncated_or_arbitrary(text: String, length: usize) -> bool {
        let step = step_of(4, 8);
        let whole = Cursor::start(&step).seal(&keys());
        let truncated = &whole[..length % whole.len()];
        let refused = |text: &str| Cursor::open(text, &keys(), &step) == Err(CursorError::Damaged);
        refused(truncated) && refused(&text)
    }
}
