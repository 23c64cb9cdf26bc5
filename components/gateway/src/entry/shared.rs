//! The decisions of this gateway, and what its tasks share.

use std::{cell::RefCell, rc::Rc};

use admin::Clock;
use gateway_core::{Gateway, GatewayConfig};
use ids::{FastMap, HostId, RequestId, Timestamp};
use platform::configuration;
use registry::unpack_text;
use schema::{peer::PeerMessage, registry::ConfigDocument};
use tokio::sync::Notify;
use transport::Transport;

use super::{metrics::Metrics, notes, pool::Pool};
use crate::peers;

fn decode_config(document: &ConfigDocument) -> Result<GatewayConfig, String> {
    let text = unpack_text(&document.packed_text).map_err(|e| e.to_string())?;
    configuration::decode(&text).map_err(|e| e.to_string())
}

/// What the tasks of a gateway share; all of them run on one thread.
pub(crate) struct Shared {
    core: RefCell<Gateway>,
    pub(crate) clock: Clock,
    transport: Transport,
    peer_port: u16,
    pub(crate) pool: Rc<Pool>,
    pub(crate) metrics: Metrics,
    /// Wakes requests that wait for a server.
    wakers: RefCell<FastMap<RequestId, Rc<Notify>>>,
    /// Told when the next poll may be due earlier.
    pub(crate) poll_due: Notify,
    /// Told when a configuration is in force.
    pub(crate) config_changed: Notify,
}

impl Shared {
    pub(crate) fn new(
        core: Gateway,
        clock: Clock,
        transport: Transport,
        peer_port: u16,
        metrics: Metrics,
    ) -> Self {
        Self {
            core: RefCell::new(core),
            clock,
            transport,
            peer_port,
            pool: Rc::new(Pool::default()),
            metrics,
            wakers: RefCell::default(),
            poll_due: Notify::new(),
            config_changed: Notify::new(),
        }
    }

    /// Runs `decide` on the decisions and carries out what follows from it.
    pub(crate) fn with_core<T>(&self, decide: impl FnOnce(&mut Gateway, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let decided = decide(&mut core, now);
        let (reports, notes, wakeups) =
            (core.take_reports(), core.take_events(), core.take_wakeups());
        drop(core);
        for out in reports {
            for to in out.to {
                self.send(to, PeerMessage::ServerLoad(out.report.clone()));
            }
        }
        for note in &notes {
            self.metrics.count_note(note);
            notes::log_note(note);
        }
        for id in wakeups {
            if let Some(waker) = self.wakers.borrow().get(&id) {
                waker.notify_one();
            }
        }
        decided
    }

    /// Sends a message that may be lost to another host.
    pub(crate) fn send(&self, to: HostId, message: PeerMessage) {
        self.transport.send(to, peers::address_of(to, self.peer_port), message);
    }

    /// Decodes a configuration and puts it in force.
    pub(crate) fn put_in_force(&self, document: &ConfigDocument) {
        match decode_config(document) {
            Ok(config) => self.with_core(|core, _| core.set_config(config)),
            // Control hosts accept only what they can decode; a newer one may know newer formats.
            Err(e) => {
                log::error!(version = document.version.0, error:% = e; "configuration not used");
            }
        }
        self.config_changed.notify_waiters();
        self.poll_due.notify_one();
    }

    /// The notification by which a request is woken while it waits.
    pub(crate) fn waker(&self, id: RequestId) -> Rc<Notify> {
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(id, waker.clone());
        waker
    }

    pub(crate) fn forget_waker(&self, id: RequestId) {
        self.wakers.borrow_mut().remove(&id);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.core.borrow().in_flight()
    }

    pub(crate) fn transport_stats(&self) -> transport::StatsSnapshot {
        self.transport.stats()
    }
}
