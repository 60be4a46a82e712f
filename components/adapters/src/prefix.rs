//! Names of the prompt blocks that engines report in their cache events.
//!
//! A block's hash covers all the text up to its end, so that two prompts share a block
//! only when they share everything before it.
//!
//! Not wired yet: only the stand-in engine names its blocks so. The entry will need the
//! same names once it reads cache events.

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes (FNV-1a, 64 bits) of the whole blocks of a prompt, first block first.
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
