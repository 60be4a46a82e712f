//! Hashes of the prompt blocks that engines report in their cache events.
//!
//! The hash of a block covers the prompt up to the block's end, so that two prompts share a block
//! only if they share everything before it.
//!
//! Only the stand-in engine uses these hashes so far. Entries will need the same hashes once they
//! read cache events.

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hashes (FNV-1a, 64 bits) of the complete blocks of a prompt, in their order.
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut hash = FNV_OFFSET;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            hash
        })
        .collect()
}
