//! Passes events to the decision logic of a control host and executes the resulting actions.

use std::sync::Arc;

use admin::Clock;
use ids::{FastMap, Millis, RequestId, Timestamp};
use registry::{Answer, HostAction, HostEvent, RegistryHost, RegistryStatus, Request};
use storage::{Storage, StorageError};
use tokio::sync::{mpsc, oneshot};
use transport::Transport;

use super::metrics::Metrics;
use crate::peers;

/// Interval at which a failed disk is tried again.
const DISK_RETRY_INTERVAL: Millis = Millis(250);

/// Interval at which the control hosts are logged without which the log is not bootstrapped.
const MISSING_LOG_INTERVAL: Millis = Millis(5_000);

/// An event for the driver.
pub(crate) enum DriverEvent {
    /// An event for the decision logic.
    Host(HostEvent),
    /// A request, and the channel for its answer.
    Request(Request, oneshot::Sender<Answer>),
    /// Ends the driver, though connections may still hold senders of its channel.
    End,
}

/// Owns the decision logic and the disk of a control host.
pub(crate) struct Driver {
    host: RegistryHost,
    storage: Storage,
    transport: Arc<Transport>,
    clock: Clock,
    peer_port: u16,
    metrics: Arc<Metrics>,
    pending_answers: FastMap<RequestId, oneshot::Sender<Answer>>,
    next_request: RequestId,
    last_status: Option<RegistryStatus>,
    /// When a failed disk is tried again; `None` while the disk takes writes.
    retry_disk_at: Option<Timestamp>,
    next_missing_log: Timestamp,
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
            pending_answers: FastMap::default(),
            next_request: RequestId(0),
            last_status: None,
            retry_disk_at: None,
            next_missing_log: Timestamp::default(),
        }
    }

    /// Runs until it is told to end, the channel is closed or the folder can't be read.
    pub(crate) fn run(mut self, mut rx: mpsc::Receiver<DriverEvent>) -> Result<(), StorageError> {
        while let Some(event) = rx.blocking_recv() {
            self.retry_disk()?;
            let event = match event {
                DriverEvent::Host(event) => event,
                DriverEvent::Request(request, tx) => self.accept(request, tx),
                DriverEvent::End => break,
            };
            let actions = self.host.handle(self.clock.now(), event);
            if let Err(e) = self.execute(actions) {
                self.continue_without_disk(&e)?;
            }
            self.report_status();
            self.log_missing_voters(self.clock.now());
        }
        Ok(())
    }

    fn log_missing_voters(&mut self, now: Timestamp) {
        if now < self.next_missing_log {
            return;
        }
        let missing = self.host.missing_initial_voters(now);
        if missing.is_empty() {
            return;
        }
        self.next_missing_log = now + MISSING_LOG_INTERVAL;
        let missing: Vec<_> =
            missing.iter().map(|it| peers::address_of(*it, 0).ip().to_string()).collect();
        log::warn!(
            missing:% = missing.join(",");
            "waiting for control hosts to bootstrap the log"
        );
    }

    /// Continues in memory after a failed write. The remaining actions of the failed event are
    /// dropped, since they may tell others of what is not on disk.
    fn continue_without_disk(&mut self, cause: &StorageError) -> Result<(), StorageError> {
        log::error!(
            error:% = cause,
            term = self.host.status(self.clock.now()).term.0;
            "cannot write to the disk; continuing without a vote"
        );
        let now = self.clock.now();
        self.retry_disk_at = Some(now + DISK_RETRY_INTERVAL);
        let persisted = self.storage.last_written()?;
        let actions = self.host.disk_failed(now, persisted);
        self.execute(actions)
    }

    /// Tries a failed disk again at regular intervals.
    fn retry_disk(&mut self) -> Result<(), StorageError> {
        let now = self.clock.now();
        if self.retry_disk_at.is_none_or(|it| now < it) {
            return Ok(());
        }
        match self.storage.recover() {
            Ok(persisted) => {
                self.retry_disk_at = None;
                log::info!(entries = persisted.entries.len(); "the disk takes writes again");
                let actions = self.host.disk_recovered(now, persisted);
                self.execute(actions)
            }
            Err(e) => {
                self.retry_disk_at = Some(now + DISK_RETRY_INTERVAL);
                log::debug!(error:% = e; "the disk still takes no writes");
                Ok(())
            }
        }
    }

    /// Returns the event for a request whose answer goes to a channel.
    fn accept(&mut self, request: Request, tx: oneshot::Sender<Answer>) -> HostEvent {
        self.next_request = self.next_request.next();
        let id = self.next_request;
        self.pending_answers.insert(id, tx);
        HostEvent::Request { id, request }
    }

    fn execute(&mut self, actions: Vec<HostAction>) -> Result<(), StorageError> {
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
                    if let Some(tx) = self.pending_answers.remove(&id) {
                        // The sender of the request may have disconnected.
                        let _ = tx.send(answer);
                    }
                }
            }
        }
        Ok(())
    }

    /// Updates the metrics, and logs changes of the status that matter for diagnosis.
    fn report_status(&mut self) {
        self.metrics.set_transport(self.transport.stats());
        let status = self.host.status(self.clock.now());
        if self.last_status.as_ref() == Some(&status) {
            return;
        }
        let last = self.last_status.as_ref();
        let role_changed =
            last.is_none_or(|it| (&it.role, it.leader) != (&status.role, status.leader));
        if role_changed {
            log::info!(
                role:% = status.role,
                term = status.term.0,
                leader:? = status.leader.map(|it| peers::address_of(it, 0).ip()),
                commit = status.commit.0;
                "role changed"
            );
        }
        let members_changed =
            last.is_none_or(|it| (&it.voters, &it.learners) != (&status.voters, &status.learners));
        if members_changed {
            log::info!(
                voters = status.voters.len(),
                learners = status.learners.len(),
                commit = status.commit.0;
                "members of the log changed"
            );
        }
        if last.is_some_and(|it| it.version != status.version) {
            log::info!(
                version = status.version.0,
                commit = status.commit.0;
                "configuration accepted"
            );
        }
        if last.is_some_and(|it| it.unregistered_departures < status.unregistered_departures) {
            log::info!(
                departures = status.unregistered_departures,
                commit = status.commit.0;
                "departure of an unregistered server recorded"
            );
        }
        if last.is_some_and(|it| it.is_current != status.is_current) {
            log::info!(is_current = status.is_current, term = status.term.0; "currency changed");
        }
        self.metrics.set_status(&status);
        self.last_status = Some(status);
    }
}
