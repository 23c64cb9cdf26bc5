//! Directory requests: which entry hosts a caller should use.

use claims::Ticket;
use ids::{DataCentreName, Millis, Timestamp, WallTime};
use membership::{Member, MemberRole, MemberState};
use routing::{CallerLocation, DirectoryAnswer, EntryHost, EntryHostState};

use crate::core::EntryCore;

/// Number of unanswered requests at which an entry host counts as fully loaded.
const FULL_LOAD_REQUESTS: u32 = 500;

/// Answer to a directory request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryResponse {
    /// Addresses in order of preference, and how long the caller may cache them.
    pub answer: DirectoryAnswer,
    /// Prefix of the idempotency keys that the caller creates while it caches the answer.
    pub ticket: Ticket,
}

impl EntryCore {
    /// Returns the addresses for a caller in `data_centre`, or in this host's data centre if
    /// `data_centre` is missing or unknown.
    pub fn directory(
        &mut self,
        _now: Timestamp,
        wall: WallTime,
        data_centre: Option<DataCentreName>,
    ) -> DirectoryResponse {
        let location = data_centre.and_then(|dc| {
            let region = self.config.as_ref()?.region_of(&dc)?.clone();
            Some(CallerLocation { region, data_centre: dc })
        });
        let caller = location.unwrap_or_else(|| CallerLocation {
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
        });
        let own = self.fleet.membership().own_record();
        let membership = self.fleet.membership();
        let others =
            membership.members().filter(|it| it.host != own.host && membership.reachable(it.host));
        let hosts: Vec<_> = others.chain([&own]).filter_map(entry_host).collect();
        let answer = self.directory.answer(&caller, &hosts);
        let home = answer.addresses.first().map_or(&own.data_centre, |it| &it.data_centre);
        let ticket = Ticket { home: home.clone(), epoch: self.claims.map().epoch(), minted: wall };
        DirectoryResponse { answer, ticket }
    }

    /// Returns the longest time that a caller may cache an answer.
    pub fn max_directory_keep() -> Millis {
        routing::Directory::max_keep()
    }
}

fn entry_host(member: &Member) -> Option<EntryHost> {
    let MemberRole::Entry(address) = member.role else { return None };
    let state = match member.state {
        MemberState::Serving if member.in_flight >= FULL_LOAD_REQUESTS => {
            EntryHostState::Overloaded
        }
        MemberState::Serving => EntryHostState::Serving,
        MemberState::Draining => EntryHostState::Draining,
        MemberState::Joining | MemberState::Stopped | MemberState::Dead => EntryHostState::Dead,
    };
    Some(EntryHost {
        host: member.host,
        region: member.region.clone(),
        data_centre: member.data_centre.clone(),
        address,
        load_milli: member.in_flight.saturating_mul(1000) / FULL_LOAD_REQUESTS,
        state,
    })
}
