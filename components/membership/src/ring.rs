//! Selects the hosts of one data centre that monitor each other.

use ids::HostId;

/// Up to this number of peers, each host monitors all others.
const FULL_MESH_MAX_PEERS: usize = 6;

/// Hashes `value` with the output function of the SplitMix64 generator.
pub(crate) fn splitmix64(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the neighbours of `host` in ascending order; `hosts` contains `host` too.
///
/// The hosts form a ring, ordered by hash. The neighbours of a host are those at three distances
/// in both directions, so that an update reaches every host in few hops while the number of
/// neighbours does not grow with the size of the data centre.
pub(crate) fn neighbours(hosts: &[HostId], host: HostId) -> Vec<HostId> {
    let mut ring = hosts.to_vec();
    ring.sort_by_key(|it| (splitmix64(u64::from(it.0)), *it));
    let Some(position) = ring.iter().position(|it| *it == host) else {
        return Vec::new();
    };
    let mut neighbours = if ring.len() <= FULL_MESH_MAX_PEERS + 1 {
        ring
    } else {
        peers_at_distances(&ring, position)
    };
    neighbours.retain(|it| *it != host);
    neighbours.sort_unstable();
    neighbours.dedup();
    neighbours
}

fn peers_at_distances(ring: &[HostId], position: usize) -> Vec<HostId> {
    let root = ceil_cube_root(ring.len());
    [1, root, root * root]
        .into_iter()
        .flat_map(|distance| {
            let ahead = (position + distance) % ring.len();
            let behind = (position + ring.len() - distance % ring.len()) % ring.len();
            [ring[ahead], ring[behind]]
        })
        .collect()
}

/// Returns the smallest integer, but at least 2, whose cube is at least `count`.
fn ceil_cube_root(count: usize) -> usize {
    (2..).find(|it| it * it * it >= count).unwrap_or(2)
}
