//! Passes events to the state machine of a control host and executes the returned actions.

use std::sync::{Arc, Mutex};

use admin::Clock;
use fleet_core::{ControlHost, ControlHostAction, ControlHostEvent};
use ids::{ConfigVersion, FastMap, Millis, RequestId, Timestamp};
use membership::MemberRole;
use schema::{
    fleet_status::{FleetStatus, HostStatus, HostStatusRole},
    operator::{OperatorRequest, OperatorResponse, Origin, Role},
};
use storage::{Storage, StorageError};
use tokio::sync::{mpsc, oneshot};
use transport::Transport;

/// Number of ticks between two updates of the shared status.
const STATUS_INTERVAL_TICKS: u64 = 10;

/// Interval at which the control hosts are logged without which the log is not bootstrapped.
const MISSING_LOG_INTERVAL: Millis = Millis(5_000);

/// Input of the driver.
pub(crate) enum DriverEvent {
    /// Event for the state machine.
    Host(ControlHostEvent),
    /// Request of an operator, and the channel for its response.
    Request(Origin, OperatorRequest, oneshot::Sender<OperatorResponse>),
}

/// Copy of the host's state for the admin server.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedStatus {
    pub(crate) fleet: FleetStatus,
    pub(crate) is_leader: bool,
    pub(crate) term: u64,
    pub(crate) version: ConfigVersion,
    pub(crate) commit_index: u64,
}

/// Owns the state machine and the storage of a control host.
pub(crate) struct Driver {
    host: ControlHost,
    storage: Storage,
    transport: Arc<Transport>,
    clock: Clock,
    status: Arc<Mutex<SharedStatus>>,
    pending: FastMap<RequestId, oneshot::Sender<OperatorResponse>>,
    last_request: RequestId,
    ticks: u64,
    logged_role: Option<Role>,
    next_missing_log: Timestamp,
}

impl Driver {
    pub(crate) fn new(
        host: ControlHost,
        storage: Storage,
        transport: Arc<Transport>,
        clock: Clock,
        status: Arc<Mutex<SharedStatus>>,
    ) -> Self {
        Self {
            host,
            storage,
            transport,
            clock,
            status,
            pending: FastMap::default(),
            last_request: RequestId(0),
            ticks: 0,
            logged_role: None,
            next_missing_log: Timestamp::default(),
        }
    }

    /// Handles events until the channel is closed or the storage fails.
    pub(crate) fn run(mut self, mut rx: mpsc::Receiver<DriverEvent>) -> Result<(), StorageError> {
        let actions = self.host.ready(self.clock.now());
        self.execute(actions)?;
        while let Some(event) = rx.blocking_recv() {
            let event = self.convert_input(event);
            let is_tick = event == ControlHostEvent::Tick;
            let actions = self.host.handle(self.clock.now(), self.clock.wall(), event);
            self.execute(actions)?;
            if is_tick {
                self.after_tick();
            }
        }
        Ok(())
    }

    /// Converts an input to an event of the state machine, and stores the response channel of an
    /// operator's request.
    fn convert_input(&mut self, event: DriverEvent) -> ControlHostEvent {
        match event {
            DriverEvent::Host(event) => event,
            DriverEvent::Request(origin, body, tx) => {
                self.last_request = self.last_request.next();
                let request = self.last_request;
                self.pending.insert(request, tx);
                ControlHostEvent::Request { request, origin, body }
            }
        }
    }

    fn execute(&mut self, actions: Vec<ControlHostAction>) -> Result<(), StorageError> {
        let mut actions = actions.into_iter().peekable();
        while let Some(action) = actions.next() {
            match action {
                ControlHostAction::Store(record) => {
                    // Consecutive records share one sync to disk.
                    let mut records = vec![record];
                    while let Some(ControlHostAction::Store(record)) =
                        actions.next_if(|it| matches!(it, ControlHostAction::Store(_)))
                    {
                        records.push(record);
                    }
                    self.storage.write(&records)?;
                }
                ControlHostAction::SaveSnapshot(snapshot) => {
                    self.storage.save_snapshot(&snapshot)?;
                }
                ControlHostAction::Send(it) => self.transport.send(it.to, it.address, it.message),
                ControlHostAction::Answer { request, response } => {
                    if let Some(tx) = self.pending.remove(&request) {
                        // The operator may have closed the connection.
                        let _ = tx.send(response);
                    }
                }
            }
        }
        Ok(())
    }

    fn after_tick(&mut self) {
        self.log_role_change();
        self.log_missing_voters(self.clock.now());
        self.ticks += 1;
        if self.ticks % STATUS_INTERVAL_TICKS == 1 {
            let status = self.shared_status();
            *self.status.lock().expect("no holder panics") = status;
        }
    }

    fn log_role_change(&mut self) {
        let consensus = self.host.core().consensus();
        let role = consensus.role();
        if self.logged_role.as_ref() != Some(&role) {
            log::info!(role:% = role, term = consensus.term().0; "role changed");
            self.logged_role = Some(role);
        }
    }

    fn log_missing_voters(&mut self, now: Timestamp) {
        if now < self.next_missing_log {
            return;
        }
        let missing = self.host.core().consensus().missing_initial_voters(now);
        if missing.is_empty() {
            return;
        }
        self.next_missing_log = now + MISSING_LOG_INTERVAL;
        let missing: Vec<_> = missing.iter().map(ToString::to_string).collect();
        log::warn!(
            missing:% = missing.join(",");
            "waiting for control hosts to bootstrap the log"
        );
    }

    fn shared_status(&self) -> SharedStatus {
        let core = self.host.core();
        let fleet = self.host.fleet();
        let versions_in_force: FastMap<_, _> = fleet.dissemination().reported_versions().collect();
        let own_version = fleet.dissemination().version();
        let own_host = fleet.membership().own_record().host;
        let hosts = fleet.membership().members().map(|member| HostStatus {
            host: member.host,
            role: match member.role {
                MemberRole::Entry(_) => HostStatusRole::Entry,
                MemberRole::Control => HostStatusRole::Control,
            },
            region: member.region.clone(),
            data_centre: member.data_centre.clone(),
            state: member.state,
            version: if member.host == own_host {
                own_version
            } else {
                versions_in_force.get(&member.host).copied().unwrap_or_default()
            },
            address: member.admin_address,
        });
        SharedStatus {
            fleet: FleetStatus { hosts: hosts.collect() },
            is_leader: core.consensus().is_leader(),
            term: core.consensus().term().0,
            version: core.state().current().version,
            commit_index: core.consensus().commit_index().0,
        }
    }
}
