//! Hashes of the names of things.

/// A hash of the whole name, spread over all 64 bits.
pub fn hash(thing: &[u8]) -> u64 {
    let folded = thing
        .iter()
        .fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3));
    // The finisher of a known mixer: neighbouring names must not have neighbouring hashes.
    let mixed = (folded ^ (folded >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
