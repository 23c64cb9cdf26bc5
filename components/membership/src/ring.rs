//! Which hosts of one data centre watch each other.

use ids::HostId;

/// With no more other hosts than this, each watches each.
const FULL_MESH: usize = 6;

/// Scrambles the bits of `value`.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The neighbours of `host` among `hosts`, which hold it too, in ascending order.
///
/// The hosts stand on a ring in scrambled order. Each has the hosts at three distances
/// in both directions as neighbours, so that a change reaches every host in few steps
/// while the number of neighbours stays the same at every size.
pub(crate) fn neighbours(hosts: &[HostId], host: HostId) -> Vec<HostId> {
    let mut ring = hosts.to_vec();
    ring.sort_by_key(|it| (mix(u64::from(it.0)), *it));
    let Some(position) = ring.iter().position(|it| *it == host) else {
        return Vec::new();
    };
    let mut found = if ring.len() <= FULL_MESH + 1 { ring } else { at_distances(&ring, position) };
    found.retain(|it| *it != host);
    found.sort_unstable();
    found.dedup();
    found
}

fn at_distances(ring: &[HostId], position: usize) -> Vec<HostId> {
    let step = cube_root(ring.len());
    [1, step, step * step]
        .into_iter()
        .flat_map(|distance| {
            let ahead = (position + distance) % ring.len();
            let behind = (position + ring.len() - distance % ring.len()) % ring.len();
            [ring[ahead], ring[behind]]
        })
        .collect()
}

/// The smallest number from 2 whose cube is at least `count`.
fn cube_root(count: usize) -> usize {
    (2..).find(|it| it * it * it >= count).unwrap_or(2)
}
