//! Mapping of names to partitions. Every process and release must compute the same mapping.

/// Partition to which a name maps.
pub fn partition_of(name: &str, partitions: u32) -> u32 {
    (name_hash(name) % u64::from(partitions.max(1))) as u32
}

/// FNV-1a, whose values do not differ between processes and releases.
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
