//! Hash functions that must give the same results on every entry host.

use ids::HostId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes text with 64-bit FNV-1a.
pub(crate) fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Mixes the bits of a number with the finaliser of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the rendezvous hashing score of a host for a key; the highest score wins.
pub(crate) fn host_score(key: u64, host: HostId) -> u64 {
    mix(key ^ mix(u64::from(host.0) + 1))
}
