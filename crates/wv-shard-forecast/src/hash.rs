//! 64-bit hash of keys.

/// FNV-1a followed by the MurmurHash3 finalizer.
pub fn hash(key: &[u8]) -> u64 {
    let fnv =
        key.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3));
    // FNV-1a alone gives similar keys similar hashes.
    let mixed = (fnv ^ (fnv >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
