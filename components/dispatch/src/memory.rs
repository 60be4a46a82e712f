//! Slots of a model replica that its KV memory allows.

/// Number of a replica's free slots that may be filled so that its texts fit into the
/// `free_tokens` of its memory, whichever items are placed there. `largest` has the sizes of the
/// largest items that may be placed, in tokens and in descending order; more items than that are
/// not placed. An idle replica always has a slot: it refuses an item that exceeds its whole memory
/// for good, and without an attempt such an item would wait for ever.
pub fn slots_within_memory(
    free_slots: u32,
    running: u32,
    free_tokens: u64,
    largest: &[u32],
) -> u32 {
    let mut needed_tokens = 0;
    let fitting = largest.iter().take_while(|tokens| {
        needed_tokens += u64::from(**tokens);
        needed_tokens <= free_tokens
    });
    let fitting = match fitting.count() {
        all if all == largest.len() => free_slots,
        some => some as u32,
    };
    let at_least = u32::from(running == 0);
    fitting.max(at_least).min(free_slots)
}
