//! The rotation of a service on this host: which servers routing may choose, and the floor.

use ids::ServerId;

use crate::types::{KnownState, RotationEntry, ServerStatus};

/// A full share of the work, in thousandths.
pub(crate) const FULL_WEIGHT: u32 = 1000;

/// Share of a server on probation, in thousandths.
pub(crate) const PROBATION_WEIGHT: u32 = 50;

/// Share of a server that is not yet warm, in thousandths.
pub(crate) const STARTING_WEIGHT: u32 = 200;

/// What the rotation depends on, for one server.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    pub(crate) state: KnownState,
    pub(crate) status: ServerStatus,
    pub(crate) avoided: bool,
    pub(crate) weight: u32,
}

impl Candidate {
    /// Whether the server counts towards the floor.
    fn is_healthy(&self) -> bool {
        let in_rotation = matches!(self.status, ServerStatus::InRotation | ServerStatus::Suspect);
        self.state == KnownState::Serving && in_rotation && !self.avoided
    }
}

/// Builds a rotation from the servers of a service, sorted by id.
///
/// Ejected servers are left out only when at least `floor` believed-healthy servers stay;
/// otherwise they stay as a last resort. Draining servers are always left out. Missing and
/// avoided servers stay as a last resort and do not count towards the floor.
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
