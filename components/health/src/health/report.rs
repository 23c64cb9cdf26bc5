//! Reports for operators.

use ids::{ServerId, Timestamp};

use crate::{
    health::Health,
    types::{ServerReport, ServerStatus},
};

impl Health {
    /// Returns the status of a server on this host and the reasons for it.
    pub fn explain(&self, now: Timestamp, server: &ServerId) -> Option<ServerReport> {
        let record = self.servers.get(server)?;
        let watch = record.watch.as_ref();
        let in_rotation =
            self.rotation(&record.known.service).iter().any(|it| it.server == *server);
        let until = watch.and_then(|it| it.ejector.state().ejected_until());
        Some(ServerReport {
            server: server.clone(),
            status: record.status,
            avoided_here: record.path.is_avoided(),
            held_by_floor: in_rotation && record.status == ServerStatus::Ejected,
            watchers: record.watchers.clone(),
            verdicts: record.verdicts.report(),
            evidence: watch.map(|it| it.evidence.by_data_centre()).unwrap_or_default(),
            comes_back_in: until.map(|it| it.since(now)),
        })
    }

    /// Iterates over the status of each known server on this host, sorted by id.
    pub fn statuses(&self) -> impl Iterator<Item = (&ServerId, ServerStatus)> {
        self.servers.iter().map(|(id, record)| (id, record.status))
    }
}
