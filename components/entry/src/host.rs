//! Starts and stops the parts of an entry host.

use std::{fs, io, net::SocketAddr, sync::Arc, time::Duration};

use admin::Clock;
use entry_core::{EntryCore, EntryCoreSettings, EntryEvent};
use schema::{peer::PeerFrame, settings::EntrySettings};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{MissedTickBehavior, timeout},
};
use transport::{FleetKeys, KeyError, Transport, TransportSettings};

use crate::{api::EntryApi, callers, memory::MemoryBudget, metrics::Metrics, shared::Shared};

/// Between two regular ticks of the decisions.
const TICK: Duration = Duration::from_millis(50);

/// Longest wait for a planned stop beyond its settings.
const STOP_GRACE: Duration = Duration::from_secs(60);

/// An entry host could not start.
#[derive(Debug, displaydoc::Display)]
pub enum EntryError {
    /// cannot read {0}: {1}
    Unreadable(String, io::Error),
    /// {0}: {1}
    Key(String, KeyError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
}

impl std::error::Error for EntryError {}

/// An entry host that runs in this process.
pub struct RunningEntry {
    /// Where callers and backend servers reach it.
    pub caller_address: SocketAddr,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub admin_address: SocketAddr,
    shared: Arc<Shared>,
    drain_limit: Duration,
    stop_admin: oneshot::Sender<()>,
    callers: JoinHandle<io::Result<()>>,
    admin: JoinHandle<io::Result<()>>,
    feeders: [JoinHandle<()>; 3],
}

impl RunningEntry {
    /// Leaves the directories, serves what still comes, finishes what is in flight and stops.
    ///
    /// Returns whether everything was finished in time.
    pub async fn stop(self) -> bool {
        self.shared.feed(EntryEvent::Drain);
        let limit = self.drain_limit + STOP_GRACE;
        let is_complete = timeout(limit, self.shared.stopped.notified()).await.is_ok();
        self.shared.closed.notify_one();
        // The servers may have ended by themselves.
        let _ = self.callers.await;
        let _ = self.stop_admin.send(());
        let _ = self.admin.await;
        for feeder in self.feeders {
            feeder.abort();
            let _ = feeder.await;
        }
        is_complete
    }
}

/// Starts an entry host.
pub async fn start(settings: EntrySettings) -> Result<RunningEntry, EntryError> {
    let clock = Clock::start();
    let incarnation = clock.incarnation();
    let file = &settings.fleet_key_file;
    let text = fs::read_to_string(file).map_err(|e| EntryError::Unreadable(file.clone(), e))?;
    let keys = FleetKeys::parse(&text).map_err(|e| EntryError::Key(file.clone(), e))?;
    let caller_socket = bind(settings.caller_address)?;
    let admin_listener = listen(settings.admin_address).await?;
    let caller_address =
        caller_socket.local_addr().map_err(|e| EntryError::Listen(settings.caller_address, e))?;
    let admin_address = local_address(&admin_listener, settings.admin_address)?;
    let transport_settings = TransportSettings {
        host: settings.host,
        incarnation,
        address: settings.peer_address,
        keys,
    };
    let (transport, frames) = Transport::bind(transport_settings)
        .await
        .map_err(|e| EntryError::Listen(settings.peer_address, e))?;
    let peer_address = transport.local_address();

    let peers = settings.control_hosts.iter().chain(&settings.seeds).cloned().collect();
    let core_settings = EntryCoreSettings {
        host: settings.host,
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        caller_address,
        peer_address,
        admin_address,
        peers,
        seed: settings.seed,
        drain: settings.drain_ms,
    };
    let core = EntryCore::new(core_settings, clock.now());
    let budget = MemoryBudget::new(settings.memory_budget_bytes.0);
    let shared = Arc::new(Shared::new(core, clock, settings.host, incarnation, transport, budget));
    let feeders = [
        tokio::spawn(feed_ticks(shared.clone())),
        tokio::spawn(feed_wakeups(shared.clone())),
        tokio::spawn(feed_frames(shared.clone(), frames)),
    ];
    let callers = tokio::spawn(callers::serve(caller_socket, shared.clone()));
    let api = EntryApi { shared: shared.clone(), metrics: Metrics::new(&shared.latency) };
    let (stop_admin, stopped) = oneshot::channel();
    let admin = tokio::spawn(admin::serve(admin_listener, Arc::new(api), ended(stopped)));
    log::info!(
        host = settings.host.0,
        caller:% = caller_address,
        peer:% = peer_address,
        admin:% = admin_address;
        "entry host started"
    );
    Ok(RunningEntry {
        caller_address,
        peer_address,
        admin_address,
        shared,
        drain_limit: settings.drain_ms.into(),
        stop_admin,
        callers,
        admin,
        feeders,
    })
}

/// Binds without listening, so that connections are refused until the host may serve.
fn bind(address: SocketAddr) -> Result<TcpSocket, EntryError> {
    let new = if address.is_ipv4() { TcpSocket::new_v4 } else { TcpSocket::new_v6 };
    let socket = new().map_err(|e| EntryError::Listen(address, e))?;
    // Connections of an earlier process may still be closing.
    socket.set_reuseaddr(true).map_err(|e| EntryError::Listen(address, e))?;
    socket.bind(address).map_err(|e| EntryError::Listen(address, e))?;
    Ok(socket)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).await.map_err(|e| EntryError::Listen(address, e))
}

fn local_address(listener: &TcpListener, wanted: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener.local_addr().map_err(|e| EntryError::Listen(wanted, e))
}

/// Completes when the sender sends or is dropped.
async fn ended(stopped: oneshot::Receiver<()>) {
    let _ = stopped.await;
}

async fn feed_ticks(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        shared.feed(EntryEvent::Tick);
    }
}

/// Ticks when something is due between the regular ticks.
async fn feed_wakeups(shared: Arc<Shared>) {
    loop {
        let wait = shared.with_core(|core, now| {
            let wakeup = core.next_wakeup()?;
            Some(Duration::from_micros(wakeup.micros_since(now).max(500)))
        });
        match wait {
            Some(wait) => {
                // An earlier wakeup ends the wait.
                if timeout(wait, shared.wakeup.notified()).await.is_err() {
                    shared.feed(EntryEvent::Tick);
                }
            }
            None => shared.wakeup.notified().await,
        }
    }
}

async fn feed_frames(shared: Arc<Shared>, mut frames: mpsc::Receiver<PeerFrame>) {
    while let Some(frame) = frames.recv().await {
        let PeerFrame { from, incarnation, message, .. } = frame;
        shared.feed(EntryEvent::Peer { from, incarnation, message });
    }
}
