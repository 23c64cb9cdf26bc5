//! Composes the replicated log with the state that it replicates.

use consensus::{Consensus, ProposeError, Settings};
use ids::{Blob, HostId, LogIndex, Timestamp, WallTime};
use schema::{
    control_state::{ClaimMap, Command},
    storage::Persisted,
};

use crate::{
    action::{Action, Event},
    requests::Requests,
    state::{Applied, ReplicatedState},
};

/// Entries after which the log is replaced by a snapshot.
const MAX_LOG_ENTRIES: u64 = 1000;

/// Bytes of commands after which the log is replaced by a snapshot.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;

/// All decisions of a control host.
pub struct ControlCore {
    pub(crate) host: HostId,
    pub(crate) consensus: Consensus,
    pub(crate) state: ReplicatedState,
    pub(crate) requests: Requests,
    pub(crate) actions: Vec<Action>,
    applied: LogIndex,
    log_bytes: usize,
}

impl ControlCore {
    /// Resumes from what the disk holds.
    pub fn restore(settings: Settings, persisted: Persisted, now: Timestamp) -> Self {
        let host = persisted.identity.host;
        let state = ReplicatedState::restore(&persisted.snapshot.data);
        let applied = persisted.snapshot.index;
        let consensus = Consensus::restore(settings, persisted, now);
        let mut core = Self {
            host,
            consensus,
            state,
            requests: Requests::default(),
            actions: Vec::new(),
            applied,
            log_bytes: 0,
        };
        core.publish_config();
        core.publish_claim_map();
        core
    }

    /// Decides what to do about an event.
    pub fn handle(&mut self, now: Timestamp, wall_time: WallTime, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {
                let actions = self.consensus.tick(now);
                self.carry_out(actions);
            }
            Event::Message { from, message } => {
                let actions = self.consensus.handle(now, from, message);
                self.carry_out(actions);
            }
            Event::Request { request, origin, body } => {
                self.handle_request(now, wall_time, request, origin, body);
            }
            Event::ReplaceClaimMap(map) => self.replace_claim_map(now, map),
        }
        self.propose_waiting(now);
        self.compact();
        std::mem::take(&mut self.actions)
    }

    /// The replicated log.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// The replicated state as far as this host knows it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Adds a command to the log.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        command: &Command,
    ) -> Result<LogIndex, ProposeError> {
        let data = Blob::from(schema::encode(command));
        let proposed = self.consensus.propose(now, data);
        self.carry_out(proposed.actions);
        proposed.outcome
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<consensus::Action>) {
        self.abandon_earlier_terms();
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
        self.abandon_without_lead();
    }

    fn apply(&mut self, index: LogIndex, data: &Blob) {
        let command: Command =
            schema::decode(data.as_slice()).expect("accepted commands are whole");
        self.applied = index;
        self.log_bytes += data.as_slice().len();
        let before = self.state.current().version;
        let applied = self.state.apply(command);
        if self.state.current().version > before {
            self.publish_config();
        }
        match applied {
            Applied::Submit(outcome) => self.answer_submit(index, outcome),
            Applied::ClaimMap => self.publish_claim_map(),
            Applied::Nothing => {}
        }
    }

    fn restore_state(&mut self, index: LogIndex, data: &Blob) {
        let before = self.state.current().version;
        let epoch = self.state.claim_map().epoch;
        self.state = ReplicatedState::restore(data);
        self.applied = index;
        self.log_bytes = 0;
        if self.state.current().version > before {
            self.publish_config();
        }
        if self.state.claim_map().epoch > epoch {
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

    /// Replaces a long log by a snapshot of the state.
    fn compact(&mut self) {
        let entries = self.applied.0.saturating_sub(self.consensus.snapshot_index().0);
        if entries < MAX_LOG_ENTRIES && self.log_bytes < MAX_LOG_BYTES {
            return;
        }
        self.log_bytes = 0;
        let actions = self.consensus.compact(self.applied, self.state.save());
        self.carry_out(actions);
    }
}
