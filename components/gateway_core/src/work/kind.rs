//! The kinds that a request belongs to, from the most to the least specific.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use super::RequestLook;

/// Number of kinds that a request belongs to.
const KINDS: usize = 4;

/// Maximum number of path segments that tell requests apart.
const MAX_SEGMENTS: usize = 6;

/// Length from which a path segment counts as an id rather than a word, in bytes.
const MIN_ID_LEN: usize = 24;

/// The kinds of a request; 0 where nothing is learned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RequestKinds([u64; KINDS]);

impl RequestKinds {
    pub(crate) fn of(look: RequestLook<'_>) -> Self {
        let RequestLook { route, organisation, method, path, body } = look;
        let mut shape = FxHasher::default();
        (route, method).hash(&mut shape);
        hash_shape(path, &mut shape);
        let shape = shape.finish();
        let size = u64::BITS - body.0.leading_zeros();
        Self([
            hash_of((0_u8, shape, size, organisation)),
            hash_of((1_u8, shape, size)),
            hash_of((2_u8, shape)),
            hash_of((3_u8, route, organisation)),
        ])
    }

    /// Returns the kinds, the most specific one first.
    pub(super) fn all(&self) -> impl Iterator<Item = u64> {
        self.0.into_iter().filter(|it| *it != 0)
    }
}

/// Hashes a path without its ids and numbers.
fn hash_shape(path: &str, hasher: &mut FxHasher) {
    for segment in path.split('/').take(MAX_SEGMENTS) {
        let is_id = segment.len() >= MIN_ID_LEN || segment.bytes().any(|it| it.is_ascii_digit());
        match is_id {
            true => 0_u8.hash(hasher),
            false => segment.hash(hasher),
        }
    }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish().max(1)
}
