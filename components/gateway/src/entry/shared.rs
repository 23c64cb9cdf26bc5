//! The state that the tasks of a gateway share, including its decision logic.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use admin::Clock;
use gateway_core::{Event, Gateway, GatewayConfig, PathOutcome, Probe, ServerNotice};
use ids::{FastMap, HostId, Incarnation, RequestId, Timestamp};
use platform::{configuration, headers::NoticeHeaders};
use registry::unpack_text;
use schema::{peer::PeerMessage, registry::ConfigDocument};
use tokio::sync::{Notify, mpsc};
use transport::Transport;

use super::{events, metrics::Metrics, pool::Pool};
use crate::peers;

fn decode_config(document: &ConfigDocument) -> Result<GatewayConfig, String> {
    let text = unpack_text(&document.packed_text).map_err(|e| e.to_string())?;
    configuration::decode(&text).map_err(|e| e.to_string())
}

/// State shared by the tasks of a gateway, all of which run on one thread.
pub(crate) struct Shared {
    core: RefCell<Gateway>,
    pub(crate) clock: Clock,
    transport: Transport,
    peer_port: u16,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    /// Wakes requests that wait for a server.
    wakers: RefCell<FastMap<RequestId, Rc<Notify>>>,
    /// Connections to be opened to learn whether servers have crashed.
    probe_tx: mpsc::UnboundedSender<Probe>,
    /// Notified when the next poll may be due earlier.
    pub(crate) poll_due: Notify,
    /// Notified when a configuration was received.
    pub(crate) config_changed: Notify,
}

impl Shared {
    pub(crate) fn new(
        core: Gateway,
        clock: Clock,
        transport: Transport,
        (own_ip, peer_port): (Ipv4Addr, u16),
        metrics: Metrics,
        probe_tx: mpsc::UnboundedSender<Probe>,
    ) -> Self {
        Self {
            core: RefCell::new(core),
            clock,
            transport,
            peer_port,
            pool: Pool::new(own_ip),
            metrics,
            wakers: RefCell::default(),
            probe_tx,
            poll_due: Notify::new(),
            config_changed: Notify::new(),
        }
    }

    /// Calls `f` with the decision logic, then executes the resulting actions: sends reports, logs
    /// events and wakes requests.
    pub(crate) fn with_core<T>(&self, f: impl FnOnce(&mut Gateway, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let result = f(&mut core, now);
        let (reports, loans, limit_messages) =
            (core.take_reports(), core.take_retry_budget_messages(), core.take_limit_messages());
        let rate_messages = core.take_rate_messages();
        let work_reports = core.take_work_reports();
        let (quarantine_messages, probes) =
            (core.take_quarantine_messages(), core.take_server_probes());
        let (events, wakeups) = (core.take_events(), core.take_wakeups());
        drop(core);
        for outgoing in reports {
            for to in outgoing.to {
                self.send(to, PeerMessage::ServerLoad(outgoing.report.clone()));
            }
        }
        for (to, report) in work_reports {
            self.send(to, PeerMessage::ServerWork(report));
        }
        for (to, message) in loans {
            self.send(to, PeerMessage::RetryBudget(message));
        }
        for (to, message) in limit_messages {
            self.send(to, PeerMessage::ServerLimit(message));
        }
        for (to, message) in rate_messages {
            self.send(to, PeerMessage::OrganisationRate(message));
        }
        for (to, message) in quarantine_messages {
            self.send(to, PeerMessage::Quarantine(message));
        }
        for probe in probes {
            // The receiver ends with the process.
            let _ = self.probe_tx.send(probe);
        }
        for event in &events {
            if let Event::ServerLeaving { address, .. } = event {
                self.pool.close_idle(*address);
            }
            self.metrics.count_event(event);
            events::log_event(event);
        }
        for id in wakeups {
            if let Some(waker) = self.wakers.borrow().get(&id) {
                waker.notify_one();
            }
        }
        result
    }

    /// Sends a message, which may be lost, to another host.
    pub(crate) fn send(&self, to: HostId, message: PeerMessage) {
        self.transport.send(to, peers::address_of(to, self.peer_port), message);
    }

    /// Decodes and applies a configuration.
    pub(crate) fn apply_config(&self, document: &ConfigDocument) {
        match decode_config(document) {
            Ok(config) => self.with_core(|core, _| core.set_config(config)),
            // Control hosts accept only what they can decode, but a newer release may know more
            // formats than this one.
            Err(e) => {
                log::error!(
                    version = document.version.0,
                    error:% = e;
                    "cannot decode the configuration"
                );
                self.with_core(|core, _| core.on_undecoded_config(document.version));
            }
        }
        self.config_changed.notify_waiters();
        self.poll_due.notify_one();
    }

    /// Processes what a backend server says of itself in the response to a request that was sent at
    /// `sent_at`.
    pub(crate) fn process_notice(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        sent_at: Timestamp,
        found: NoticeHeaders,
    ) {
        for header in found.invalid {
            self.metrics.count_invalid_notice(header);
            log::warn!(server_address:% = address, header:% = header; "invalid header in a response");
        }
        if found.notice != ServerNotice::default() {
            self.with_core(|core, now| {
                core.on_server_notice(now, address, incarnation, sent_at, found.notice);
            });
        }
    }

    /// Returns whether a server still takes new requests of this gateway.
    pub(crate) fn may_send(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        has_permit: bool,
    ) -> bool {
        self.core.borrow().may_send(self.clock.now(), address, incarnation, has_permit)
    }

    /// Records what happened on a new connection to a server.
    pub(crate) fn record_path(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        outcome: PathOutcome,
    ) {
        self.with_core(|core, now| core.on_path_outcome(now, address, incarnation, outcome));
    }

    /// Returns whether an address is that of another gateway.
    pub(crate) fn is_gateway(&self, address: SocketAddr) -> bool {
        peers::hosts_of(&[address]).iter().any(|it| self.core.borrow().is_entry_host(*it))
    }

    /// Returns whether an idle connection to a server may be kept.
    pub(crate) fn may_keep_connection(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> bool {
        self.core.borrow().may_keep_connection(self.clock.now(), address, incarnation)
    }

    /// Registers and returns the notification that wakes a waiting request.
    pub(crate) fn register_waker(&self, id: RequestId) -> Rc<Notify> {
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(id, waker.clone());
        waker
    }

    pub(crate) fn remove_waker(&self, id: RequestId) {
        self.wakers.borrow_mut().remove(&id);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.core.borrow().in_flight()
    }

    /// Waits until the messages that were queued for other hosts are written or dropped.
    pub(crate) async fn flush(&self) {
        self.transport.flush().await;
    }

    pub(crate) fn transport_stats(&self) -> transport::StatsSnapshot {
        self.transport.stats()
    }
}
