//! Which hosts of the fleet are alive, decided from heartbeats and indirect probes.

mod gossip;
mod joining;
mod lifecycle;
mod links;
mod membership;
mod probing;
mod reach;
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

/// Where callers reach the host, when it is an entry host.
pub fn caller_address(member: &Member) -> Option<std::net::SocketAddr> {
    match member.role {
        MemberRole::Entry(address) => Some(address),
        MemberRole::Control => None,
    }
}
