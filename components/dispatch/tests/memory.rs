//! Slots of a model replica that its KV memory allows.

use dispatch::slots_within_memory;

#[test]
fn can_limit_free_slots_to_the_memory_of_a_replica() {
    struct Case {
        /// Which failure the case guards against.
        name: &'static str,
        running: u32,
        free_tokens: u64,
        largest: &'static [u32],
        slots: u32,
    }
    let cases = [
        Case {
            name: "fewer items wait than fit",
            running: 2,
            free_tokens: 5_000,
            largest: &[1_000, 900],
            slots: 4,
        },
        Case {
            name: "the largest items together exceed the memory",
            running: 2,
            free_tokens: 5_000,
            largest: &[3_000, 2_000, 10],
            slots: 2,
        },
        Case {
            name: "not even one item fits beside the running ones",
            running: 1,
            free_tokens: 2_999,
            largest: &[3_000, 10],
            slots: 0,
        },
        Case {
            name: "an item larger than the whole memory must not wait for ever",
            running: 0,
            free_tokens: 2_999,
            largest: &[3_000, 10],
            slots: 1,
        },
        Case {
            name: "more memory than slots",
            running: 2,
            free_tokens: u64::MAX,
            largest: &[1, 1, 1, 1, 1, 1, 1],
            slots: 4,
        },
        Case {
            name: "no item waits",
            running: 2,
            free_tokens: 0,
            largest: &[],
            slots: 4,
        },
    ];
    for case in cases {
        let slots = slots_within_memory(4, case.running, case.free_tokens, case.largest);
        assert_eq!(slots, case.slots, "{}", case.name);
    }
}

checks::seeded! {
    fn any_choice_of_items_fits_into_the_memory(sizes: Vec<u16>, picked: Vec<usize>, free: u16) -> bool {
        // Whatever items the placement picks for the slots, their sum must not exceed the memory.
        let free_tokens = u64::from(free) * 4;
        let mut largest: Vec<u32> = sizes.iter().map(|size| u32::from(*size)).collect();
        largest.sort_unstable_by_key(|size| std::cmp::Reverse(*size));
        let slots = slots_within_memory(6, 1, free_tokens, &largest) as usize;
        let mut left = largest;
        let mut tokens = 0;
        for pick in picked.into_iter().take(slots) {
            if left.is_empty() {
                break;
            }
            tokens += u64::from(left.remove(pick % left.len()));
        }
        tokens <= free_tokens
    }
}
