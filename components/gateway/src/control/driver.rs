//! Feeds events to a control host's decisions and carries their actions out.

use std::sync::Arc;

use admin::Clock;
use ids::{FastMap, RequestId};
use registry::{Answer, HostAction, HostEvent, RegistryHost, RegistryStatus, Request};
use storage::{Storage, StorageError};
use tokio::sync::{mpsc, oneshot};
use transport::Transport;

use super::metrics::Metrics;
use crate::peers;

/// What the driver is told.
pub(crate) enum DriverEvent {
    /// An event for the decisions.
    Host(HostEvent),
    /// A request, and where its answer goes.
    Request(Request, oneshot::Sender<Answer>),
}

/// Owns a control host's decisions and disk.
pub(crate) struct Driver {
    host: RegistryHost,
    storage: Storage,
    transport: Arc<Transport>,
    clock: Clock,
    peer_port: u16,
    metrics: Arc<Metrics>,
    waiting: FastMap<RequestId, oneshot::Sender<Answer>>,
    next_request: RequestId,
    status: Option<RegistryStatus>,
}

impl Driver {
    pub(crate) fn new(
        host: RegistryHost,
        storage: Storage,
        transport: Arc<Transport>,
        clock: Clock,
        peer_port: u16,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            host,
            storage,
            transport,
            clock,
            peer_port,
            metrics,
            waiting: FastMap::default(),
            next_request: RequestId(0),
            status: None,
        }
    }

    /// Runs until the channel is closed or the disk fails.
    pub(crate) fn run(mut self, mut rx: mpsc::Receiver<DriverEvent>) -> Result<(), StorageError> {
        while let Some(event) = rx.blocking_recv() {
            let event = self.accept(event);
            let actions = self.host.handle(self.clock.now(), event);
            self.carry_out(actions)?;
            self.note_status();
        }
        Ok(())
    }

    fn accept(&mut self, event: DriverEvent) -> HostEvent {
        match event {
            DriverEvent::Host(event) => event,
            DriverEvent::Request(request, tx) => {
                self.next_request = self.next_request.next();
                let id = self.next_request;
                self.waiting.insert(id, tx);
                HostEvent::Request { id, request }
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<HostAction>) -> Result<(), StorageError> {
        let mut actions = actions.into_iter().peekable();
        while let Some(action) = actions.next() {
            match action {
                HostAction::Store(record) => {
                    // Adjacent records share one disk sync.
                    let mut records = vec![record];
                    while let Some(HostAction::Store(record)) =
                        actions.next_if(|it| matches!(it, HostAction::Store(_)))
                    {
                        records.push(record);
                    }
                    self.storage.write(&records)?;
                }
                HostAction::SaveSnapshot(snapshot) => self.storage.save_snapshot(&snapshot)?,
                HostAction::Send { to, message } => {
                    self.transport.send(to, peers::address_of(to, self.peer_port), message);
                }
                HostAction::Answer { id, answer } => {
                    if let Some(tx) = self.waiting.remove(&id) {
                        // Whoever asked may have gone away.
                        let _ = tx.send(answer);
                    }
                }
            }
        }
        Ok(())
    }

    /// Shows counts and a changed status to monitoring, and logs what on-call engineers look for.
    fn note_status(&mut self) {
        self.metrics.set_transport(self.transport.stats());
        let status = self.host.status(self.clock.now());
        if self.status.as_ref() == Some(&status) {
            return;
        }
        let before = self.status.as_ref();
        let role_changed =
            before.is_none_or(|it| (&it.role, it.leader) != (&status.role, status.leader));
        if role_changed {
            log::info!(
                role:% = status.role,
                term = status.term.0,
                leader:? = status.leader.map(|it| peers::address_of(it, 0).ip()),
                commit = status.commit.0;
                "role changed"
            );
        }
        let members_changed = before
            .is_none_or(|it| (&it.voters, &it.learners) != (&status.voters, &status.learners));
        if members_changed {
            log::info!(
                voters = status.voters.len(),
                learners = status.learners.len(),
                commit = status.commit.0;
                "members of the log changed"
            );
        }
        if before.is_some_and(|it| it.version != status.version) {
            log::info!(version = status.version.0, commit = status.commit.0; "configuration accepted");
        }
        if before.is_some_and(|it| it.is_current != status.is_current) {
            log::info!(is_current = status.is_current, term = status.term.0; "currency changed");
        }
        self.metrics.set(&status);
        self.status = Some(status);
    }
}
