//! Rendezvous hashing: every host with the same list of live hosts picks the same one for a key.

use std::hash::{Hash, Hasher};

use ids::HostId;

/// Returns the host with the highest score for `key`, or `None` if there are no hosts.
pub fn coordinator<K: Hash + ?Sized>(key: &K, hosts: &[HostId]) -> Option<HostId> {
    hosts.iter().copied().max_by_key(|host| (score(key, *host), *host))
}

fn score<K: Hash + ?Sized>(key: &K, host: HostId) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    key.hash(&mut hasher);
    let key = hasher.finish();
    mix(key ^ mix(u64::from(host.0) + 1))
}

/// Mixes every input bit into all output bits (the finaliser of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
