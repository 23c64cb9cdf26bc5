//! The revision that stands for no list of entry hosts.

use ids::{HostId, Incarnation};

use crate::sync::HostsRevision;

impl HostsRevision {
    /// The revision held by a host that has no list of entry hosts. No control host has it, so that a
    /// poll that names it is answered soon.
    pub const NONE: Self = Self { control_host: HostId(0), incarnation: Incarnation(0), number: 0 };
}
