//! Feeds events to the control host's decisions and carries their actions out.

use std::sync::{Arc, Mutex};

use admin::Clock;
use fleet_core::{ControlHost, ControlHostAction, ControlHostEvent};
use ids::{ConfigVersion, FastMap, RequestId};
use membership::MemberRole;
use schema::{
    fleet_status::{FleetStatus, HostStatus, HostStatusRole},
    operator::{OperatorRequest, OperatorResponse, Origin, Role},
};
use storage::{Storage, StorageError};
use tokio::sync::{mpsc, oneshot};
use transport::Transport;

/// Ticks between two copies of the fleet's status.
const STATUS_TICKS: u64 = 10;

/// What the driver is told.
pub(crate) enum DriverEvent {
    /// An event for the decisions.
    Host(ControlHostEvent),
    /// A request of an operator, and where its answer goes.
    Request(Origin, OperatorRequest, oneshot::Sender<OperatorResponse>),
}

/// What the admin server reads.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedStatus {
    pub(crate) fleet: FleetStatus,
    pub(crate) leads: bool,
    pub(crate) term: u64,
    pub(crate) version: ConfigVersion,
    pub(crate) commit: u64,
}

/// Owns a control host's decisions and disk.
pub(crate) struct Driver {
    host: ControlHost,
    storage: Storage,
    transport: Arc<Transport>,
    clock: Clock,
    status: Arc<Mutex<SharedStatus>>,
    waiting: FastMap<RequestId, oneshot::Sender<OperatorResponse>>,
    next_request: RequestId,
    ticks: u64,
    role: Option<Role>,
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
            waiting: FastMap::default(),
            next_request: RequestId(0),
            ticks: 0,
            role: None,
        }
    }

    /// Runs until the channel is closed or the disk fails.
    pub(crate) fn run(mut self, mut rx: mpsc::Receiver<DriverEvent>) -> Result<(), StorageError> {
        let ready = self.host.ready(self.clock.now());
        self.carry_out(ready)?;
        while let Some(event) = rx.blocking_recv() {
            let event = self.accept(event);
            let is_tick = event == ControlHostEvent::Tick;
            let actions = self.host.handle(self.clock.now(), self.clock.wall(), event);
            self.carry_out(actions)?;
            if is_tick {
                self.after_tick();
            }
        }
        Ok(())
    }

    fn accept(&mut self, event: DriverEvent) -> ControlHostEvent {
        match event {
            DriverEvent::Host(event) => event,
            DriverEvent::Request(origin, body, tx) => {
                self.next_request = self.next_request.next();
                let request = self.next_request;
                self.waiting.insert(request, tx);
                ControlHostEvent::Request { request, origin, body }
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<ControlHostAction>) -> Result<(), StorageError> {
        let mut actions = actions.into_iter().peekable();
        while let Some(action) = actions.next() {
            match action {
                ControlHostAction::Store(record) => {
                    // Adjacent records share one disk sync.
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
                    if let Some(tx) = self.waiting.remove(&request) {
                        // The operator may have gone away.
                        let _ = tx.send(response);
                    }
                }
            }
        }
        Ok(())
    }

    fn after_tick(&mut self) {
        self.log_role();
        self.ticks += 1;
        if self.ticks % STATUS_TICKS == 1 {
            let status = self.shared_status();
            *self.status.lock().expect("no holder panics") = status;
        }
    }

    fn log_role(&mut self) {
        let consensus = self.host.core().consensus();
        let role = consensus.role();
        if self.role.as_ref() != Some(&role) {
            log::info!(role:% = role, term = consensus.term().0; "role changed");
            self.role = Some(role);
        }
    }

    fn shared_status(&self) -> SharedStatus {
        let core = self.host.core();
        let fleet = self.host.fleet();
        let versions: FastMap<_, _> = fleet.dissemination().reported_versions().collect();
        let own_version = fleet.dissemination().version();
        let own = fleet.membership().own_record().host;
        let hosts = fleet.membership().members().map(|member| HostStatus {
            host: member.host,
            role: match member.role {
                MemberRole::Entry(_) => HostStatusRole::Entry,
                MemberRole::Control => HostStatusRole::Control,
            },
            region: member.region.clone(),
            data_centre: member.data_centre.clone(),
            state: member.state,
            version: if member.host == own {
                own_version
            } else {
                versions.get(&member.host).copied().unwrap_or_default()
            },
            address: member.admin_address,
        });
        SharedStatus {
            fleet: FleetStatus { hosts: hosts.collect() },
            leads: core.consensus().is_leader(),
            term: core.consensus().term().0,
            version: core.state().current().version,
            commit: core.consensus().commit_index().0,
        }
    }
}
