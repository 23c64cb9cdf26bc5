//! Tracks which hosts of the fleet are live, by heartbeats, indirect probes and gossip.

mod gossip;
mod joining;
mod lifecycle;
mod links;
mod membership;
mod probing;
mod reachability;
mod ring;
mod settings;
mod table;
mod topology;
mod updates;

pub use schema::membership::{Member, MemberRole, MemberState, MembershipMessage};

pub use crate::{
    membership::{Membership, MembershipAction},
    settings::{MembershipSettings, Seed, Timing},
};

/// Returns the address at which callers reach an entry host; control hosts have none.
pub fn caller_address(member: &Member) -> Option<std::net::SocketAddr> {
    match member.role {
        MemberRole::Entry(address) => Some(address),
        MemberRole::Control => None,
    }
}
