//! Chooses the same host for a key on every host that sees the same live hosts.

use std::hash::{Hash, Hasher};

use ids::HostId;

/// The host with the highest hash together with `key`; `None` without hosts.
pub(crate) fn coordinator<K: Hash + ?Sized>(key: &K, hosts: &[HostId]) -> Option<HostId> {
    hosts.iter().copied().max_by_key(|host| (score(key, *host), *host))
}

fn score<K: Hash + ?Sized>(key: &K, host: HostId) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    key.hash(&mut hasher);
    let key = hasher.finish();
    mix(key ^ mix(u64::from(host.0) + 1))
}

/// Spreads the bits of a number over all bits (the finaliser of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
