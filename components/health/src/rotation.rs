//! Rotation of a service on this host: the servers that routing may choose, and their weights.

use ids::ServerId;

use crate::types::{KnownState, RotationEntry, ServerStatus};

/// Weight of a server with a full share of requests.
pub(crate) const FULL_WEIGHT: u32 = 1000;

/// Weight of a server on probation, in thousandths of a full share.
pub(crate) const PROBATION_WEIGHT: u32 = 50;

/// Weight of a server that is still warming up, in thousandths of a full share.
pub(crate) const STARTING_WEIGHT: u32 = 200;

/// State of one server that the rotation depends on.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    pub(crate) state: KnownState,
    pub(crate) status: ServerStatus,
    pub(crate) avoided: bool,
    pub(crate) weight: u32,
}

impl Candidate {
    /// Returns whether the server counts towards the floor.
    fn is_healthy(&self) -> bool {
        let in_rotation = matches!(self.status, ServerStatus::InRotation | ServerStatus::Suspect);
        self.state == KnownState::Serving && in_rotation && !self.avoided
    }
}

/// Builds the rotation of a service from all its servers, in the same order.
///
/// Ejected servers are left out only if at least `floor` healthy servers remain; otherwise they are
/// kept as last resorts. Draining servers are always left out. Missing and avoided servers are kept
/// as last resorts and do not count towards the floor.
pub(crate) fn build_rotation(candidates: &[Candidate], floor: u32) -> Vec<RotationEntry> {
    let healthy = candidates.iter().filter(|it| it.is_healthy()).count();
    let may_eject = healthy >= floor as usize;
    let entries = candidates.iter().filter_map(|it| rotation_entry(it, may_eject));
    entries.collect()
}

fn rotation_entry(candidate: &Candidate, may_eject: bool) -> Option<RotationEntry> {
    let ejected = candidate.status == ServerStatus::Ejected;
    if candidate.state == KnownState::Draining || (ejected && may_eject) {
        return None;
    }
    let last_resort = ejected || candidate.avoided || candidate.state == KnownState::Missing;
    let server = candidate.server.clone();
    Some(RotationEntry { server, weight: candidate.weight.max(1), last_resort })
}
