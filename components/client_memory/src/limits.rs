//! Limits on what a process holds for its clients.

use ids::{ByteSize, DescriptorCount, Megabytes};

/// Receive buffer of a client's socket, in bytes. It is full while a request is in work if the client
/// sends on, since nothing more is read then.
pub const RECEIVE_BUFFER_BYTES: u64 = 64 * 1024;

/// Receive buffer of a client's socket while a large body arrives, in bytes.
pub const LARGE_RECEIVE_BUFFER_BYTES: u64 = 512 * 1024;

/// Send buffer of a client's socket, in bytes. What is in it was written, but perhaps not read.
pub const SEND_BUFFER_BYTES: u64 = 32 * 1024;

/// Largest send buffer of a client's socket while a response is written that the smaller one doesn't
/// hold, in bytes.
pub const LARGE_SEND_BUFFER_BYTES: u64 = 512 * 1024;

/// Memory for the state and the buffers of one connection, and for its socket's send buffer.
pub(crate) const CONNECTION_BYTES: u64 = 64 * 1024;

/// Largest request or response that counts as small, in bytes.
pub const SMALL_BYTES: u64 = 64 * 1024;

/// Part of the memory that is for clients; the rest is for the process itself, its allocator, and
/// connections to servers and other hosts.
const CLIENT_SHARE: (u64, u64) = (5, 8);

/// Part of the clients' memory that large requests and responses leave free.
const SMALL_SHARE: (u64, u64) = (1, 6);

/// Part of the descriptors that is for clients; the rest is for servers, other hosts and files.
const DESCRIPTOR_SHARE: (u64, u64) = (3, 4);

/// Limits on what a process holds for all clients together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum of all that is held.
    pub total: ByteSize,
    /// Maximum of what clients hold whose requests or responses are large.
    pub large: ByteSize,
    /// Maximum number of connections.
    pub connections: usize,
}

impl Limits {
    /// Returns the limits of a process that has a host's memory and may open `descriptors`.
    pub fn of_host(memory: Megabytes, descriptors: DescriptorCount) -> Self {
        let share = |value: u64, (part, of): (u64, u64)| value * part / of;
        let total = share(u64::from(memory.0) * 1_000_000, CLIENT_SHARE);
        let by_descriptors = share(descriptors.0.into(), DESCRIPTOR_SHARE);
        Self {
            total: ByteSize(total),
            large: ByteSize(total - share(total, SMALL_SHARE)),
            connections: by_descriptors.min(total / CONNECTION_BYTES) as usize,
        }
    }
}
