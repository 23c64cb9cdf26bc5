//! Status pages of an entry host.

use entry_core::{EntryCore, EntryStatus};
use ids::{Millis, ServerId, Timestamp};
use schema::entry_status::{EntryStatusPage, EvidenceLine, MemberLine, ServerPage};

/// Returns the status of the host, its members and its backend servers.
pub(crate) fn status_page(core: &EntryCore, now: Timestamp) -> EntryStatusPage {
    let EntryStatus {
        mode, version, claim_epoch, claims_held, in_flight, members, servers, ..
    } = core.status(now);
    let members = members.into_iter().map(|it| MemberLine {
        host: it.host,
        data_centre: it.data_centre,
        state: it.state,
        in_flight: it.in_flight,
    });
    EntryStatusPage {
        mode,
        version,
        claim_epoch,
        claims_held: claims_held as u64,
        in_flight: in_flight as u64,
        members: members.collect(),
        servers: servers.iter().filter_map(|it| server_page(core, now, &it.server)).collect(),
    }
}

/// Returns the health of a backend server and the reasons for it.
pub(crate) fn server_page(
    core: &EntryCore,
    now: Timestamp,
    server: &ServerId,
) -> Option<ServerPage> {
    let report = core.explain(now, server)?;
    let announcement = core.announcement(server)?;
    let evidence = report
        .evidence
        .into_iter()
        .map(|it| EvidenceLine { data_centre: it.data_centre, milli_nats: it.milli_nats });
    let verdicts = report.verdicts.iter();
    Some(ServerPage {
        server: server.clone(),
        service: announcement.service.clone(),
        data_centre: announcement.data_centre.clone(),
        address: announcement.address,
        announced: announcement.state,
        status: format!("{:?}", report.status),
        avoided_here: report.avoided_here,
        held_by_floor: report.held_by_floor,
        watchers: report.watchers,
        verdicts: verdicts.map(|it| format!("host {}: {:?}", it.watcher, it.stage)).collect(),
        evidence: evidence.collect(),
        comes_back_in_ms: report.comes_back_in.unwrap_or(Millis(0)),
    })
}
