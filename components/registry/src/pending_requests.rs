//! Requests that wait until their log entry is committed.

use std::collections::BTreeMap;

use ids::{DataCentreName, LogIndex, Millis, RequestId, Term, Timestamp};
use schema::registry::Leave;

/// How long a request waits for its log entry to be committed.
///
/// Callers turn to another control host after a second without an answer; failing just before that
/// tells them the reason.
pub(crate) const REQUEST_TIMEOUT: Millis = Millis(900);

/// How a request is answered once its log entry is committed.
#[derive(Debug, Clone)]
pub(crate) enum OnCommit {
    /// With [`Answer::Accepted`](crate::Answer::Accepted).
    Accept,
    /// With [`Answer::Accepted`](crate::Answer::Accepted) if the departure is recorded, and with
    /// [`Answer::UnknownServer`](crate::Answer::UnknownServer) otherwise.
    AcceptLeave(Leave),
    /// With the newest configuration.
    ReadConfig,
    /// With the control host nearest to the data centre of the announced server.
    AcceptAnnouncement(DataCentreName),
}

/// A request whose entry is in the log but not committed yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    pub(crate) on_commit: OnCommit,
    term: Term,
    deadline: Timestamp,
}

/// The pending requests, by the index of their log entry.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_index: BTreeMap<LogIndex, Vec<PendingRequest>>,
}

impl PendingRequests {
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        index: LogIndex,
        term: Term,
        id: RequestId,
        on_commit: OnCommit,
    ) {
        let request = PendingRequest { id, on_commit, term, deadline: now + REQUEST_TIMEOUT };
        self.by_index.entry(index).or_default().push(request);
    }

    /// Removes the requests at a committed index and returns those proposed in `term`.
    pub(crate) fn take_committed(&mut self, index: LogIndex, term: Term) -> Vec<PendingRequest> {
        let mut requests = self.by_index.remove(&index).unwrap_or_default();
        requests.retain(|it| it.term == term);
        requests
    }

    /// Removes and returns all requests.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.by_index).into_values().flatten().collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<PendingRequest> {
        self.take_if(|it| now >= it.deadline)
    }

    /// Removes and returns all requests proposed in terms other than `term`.
    pub(crate) fn take_from_other_terms(&mut self, term: Term) -> Vec<PendingRequest> {
        self.take_if(|it| it.term != term)
    }

    fn take_if(&mut self, predicate: impl Fn(&PendingRequest) -> bool) -> Vec<PendingRequest> {
        let mut taken = Vec::new();
        for requests in self.by_index.values_mut() {
            taken.extend(requests.extract_if(.., |it| predicate(it)));
        }
        self.by_index.retain(|_, requests| !requests.is_empty());
        taken
    }
}
