//! Applies the replicated log to the replicated state and turns events into actions.

use consensus::{Consensus, ProposeError, Settings};
use ids::{Blob, HostId, LogIndex, Timestamp, WallTime};
use schema::{
    control_state::{ClaimMap, Command},
    storage::Persisted,
};

use crate::{
    action::{Action, Event},
    requests::PendingSubmits,
    state::{Applied, ReplicatedState},
};

/// Number of applied entries after which the log is compacted into a snapshot.
const MAX_LOG_ENTRIES: u64 = 1000;

/// Total size of applied commands after which the log is compacted into a snapshot, in bytes.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;

/// The replicated log of a control host and the state that it replicates.
pub struct ControlCore {
    pub(crate) host: HostId,
    pub(crate) consensus: Consensus,
    pub(crate) state: ReplicatedState,
    pub(crate) submits: PendingSubmits,
    pub(crate) actions: Vec<Action>,
    applied: LogIndex,
    /// Size of the commands applied since the latest snapshot.
    log_bytes: usize,
}

impl ControlCore {
    /// Resumes from the persisted log and snapshot.
    ///
    /// The first call of [`Self::handle`] also returns the restored configuration and claim map.
    pub fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        let host = persisted.identity.host;
        let state = ReplicatedState::restore(&persisted.snapshot.data);
        let applied = persisted.snapshot.index;
        let consensus = Consensus::restore(settings, persisted, now);
        let mut core = Self {
            host,
            consensus,
            state,
            submits: PendingSubmits::default(),
            actions: Vec::new(),
            applied,
            log_bytes: 0,
        };
        core.publish_config();
        core.publish_claim_map();
        core
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Timestamp, wall_time: WallTime, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {
                let actions = self.consensus.tick(now);
                self.handle_consensus_actions(actions);
            }
            Event::Message { from, message } => {
                let actions = self.consensus.handle(now, from, message);
                self.handle_consensus_actions(actions);
            }
            Event::Request { request, origin, body } => {
                self.handle_request(now, wall_time, request, origin, body);
            }
            Event::ReplaceClaimMap(map) => self.replace_claim_map(now, map),
        }
        self.propose_queued(now);
        self.compact();
        std::mem::take(&mut self.actions)
    }

    /// Returns the replicated log.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the replicated state, up to the last entry that this host has applied.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Proposes a command for the log; returns the index of its entry.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        command: &Command,
    ) -> Result<LogIndex, ProposeError> {
        let data = Blob::from(schema::encode(command));
        let proposed = self.consensus.propose(now, data);
        self.handle_consensus_actions(proposed.actions);
        proposed.outcome
    }

    pub(crate) fn handle_consensus_actions(&mut self, actions: Vec<consensus::Action>) {
        self.abandon_stale_submit();
        for action in actions {
            match action {
                consensus::Action::Store(record) => self.actions.push(Action::Store(record)),
                consensus::Action::SaveSnapshot(snapshot) => {
                    self.actions.push(Action::SaveSnapshot(snapshot));
                }
                consensus::Action::Send { to, message } => {
                    self.actions.push(Action::Send { to, message });
                }
                consensus::Action::Apply { index, data } => self.apply(index, &data),
                consensus::Action::RestoreState { index, data } => self.restore_state(index, &data),
                consensus::Action::MembersChanged(members) => {
                    self.actions.push(Action::MembersChanged(members));
                }
            }
        }
        self.abandon_unless_leader();
    }

    fn apply(&mut self, index: LogIndex, data: &Blob) {
        let command: Command =
            schema::decode(data.as_slice()).expect("a committed command decodes");
        self.applied = index;
        self.log_bytes += data.as_slice().len();
        let previous = self.state.current().version;
        let applied = self.state.apply(command);
        if self.state.current().version > previous {
            self.publish_config();
        }
        match applied {
            Applied::Submit(outcome) => self.answer_submit(index, outcome),
            Applied::ClaimMap => self.publish_claim_map(),
            Applied::Nothing => {}
        }
    }

    fn restore_state(&mut self, index: LogIndex, data: &Blob) {
        let previous_version = self.state.current().version;
        let previous_epoch = self.state.claim_map().epoch;
        self.state = ReplicatedState::restore(data);
        self.applied = index;
        self.log_bytes = 0;
        if self.state.current().version > previous_version {
            self.publish_config();
        }
        if self.state.claim_map().epoch > previous_epoch {
            self.publish_claim_map();
        }
    }

    fn publish_config(&mut self) {
        let current = self.state.current().clone();
        if current.version.0 == 0 {
            return;
        }
        self.actions.push(Action::ConfigCommitted {
            version: current.version,
            digest: current.digest,
            text: current.text,
        });
    }

    fn publish_claim_map(&mut self) {
        let map = self.state.claim_map().clone();
        if map.epoch.0 > 0 {
            self.actions.push(Action::ClaimMapCommitted(map));
        }
    }

    fn replace_claim_map(&mut self, now: Timestamp, map: ClaimMap) {
        if self.consensus.lease_read_index(now).is_ok() {
            let _ = self.propose(now, &Command::ClaimMap(map));
        }
    }

    /// Compacts the log into a snapshot of the state once it exceeds a limit.
    fn compact(&mut self) {
        let entries = self.applied.0.saturating_sub(self.consensus.snapshot_index().0);
        if entries < MAX_LOG_ENTRIES && self.log_bytes < MAX_LOG_BYTES {
            return;
        }
        self.log_bytes = 0;
        let actions = self.consensus.compact(self.applied, self.state.save());
        self.handle_consensus_actions(actions);
    }
}
