//! 64-bit hash mixing (splitmix64).

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Combines two values into one hash.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_add(1).wrapping_mul(GOLDEN_GAMMA);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Maps a hash to the open interval (0, 1).
pub(crate) fn to_unit_interval(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
}
