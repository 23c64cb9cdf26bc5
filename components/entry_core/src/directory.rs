//! Answers callers that ask which addresses to use.

use claims::Ticket;
use ids::{DataCentreName, Millis, Timestamp, WallTime};
use membership::{Member, MemberRole, MemberState};
use routing::{CallerLocation, DirectoryAnswer, EntryHost, EntryHostState};

use crate::core::EntryCore;

/// Requests in flight at which an entry host counts as fully loaded.
const FULL_LOAD: u32 = 500;

/// The answer to a caller that asks which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryPage {
    /// The addresses in the order of use.
    pub answer: DirectoryAnswer,
    /// Starts the idempotency keys that the caller makes while it keeps the answer.
    pub ticket: Ticket,
}

impl EntryCore {
    /// The addresses for a caller near `data_centre`, or near this host.
    pub fn directory(
        &mut self,
        _now: Timestamp,
        wall: WallTime,
        data_centre: Option<DataCentreName>,
    ) -> DirectoryPage {
        let known = data_centre.and_then(|dc| {
            let region = self.config.as_ref()?.region_of(&dc)?.clone();
            Some(CallerLocation { region, data_centre: dc })
        });
        let caller = known.unwrap_or_else(|| CallerLocation {
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
        });
        let own = self.fleet.membership().own();
        let membership = self.fleet.membership();
        let others =
            membership.members().filter(|it| it.host != own.host && membership.reachable(it.host));
        let hosts: Vec<_> = others.chain([&own]).filter_map(entry_host).collect();
        let answer = self.directory.answer(&caller, &hosts);
        let home = answer.addresses.first().map_or(&own.data_centre, |it| &it.data_centre);
        let ticket = Ticket { home: home.clone(), epoch: self.claims.map().epoch(), minted: wall };
        DirectoryPage { answer, ticket }
    }

    /// How long a caller may keep an answer at most.
    pub fn max_directory_keep() -> Millis {
        routing::Directory::max_ttl()
    }
}

fn entry_host(member: &Member) -> Option<EntryHost> {
    let MemberRole::Entry(address) = member.role else { return None };
    let state = match member.state {
        MemberState::Serving if member.in_flight >= FULL_LOAD => EntryHostState::Overloaded,
        MemberState::Serving => EntryHostState::Serving,
        MemberState::Draining => EntryHostState::Draining,
        MemberState::Joining | MemberState::Stopped | MemberState::Dead => EntryHostState::Dead,
    };
    Some(EntryHost {
        host: member.host,
        region: member.region.clone(),
        data_centre: member.data_centre.clone(),
        address,
        load_milli: member.in_flight.saturating_mul(1000) / FULL_LOAD,
        state,
    })
}
