//! Starts and stops the tasks of an entry host.

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

/// Interval between two regular ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum wait for a wakeup: wakeups that are due earlier share one tick.
const MIN_WAKEUP_WAIT_MICROS: u64 = 500;

/// Maximum time that a planned stop may take beyond its drain time.
const STOP_GRACE: Duration = Duration::from_secs(60);

/// Errors of starting an entry host.
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

/// Handle of an entry host that runs in this process.
pub struct RunningEntry {
    /// Address for callers and backend servers.
    pub caller_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for operators and monitoring.
    pub admin_address: SocketAddr,
    shared: Arc<Shared>,
    drain_time: Duration,
    stop_admin: oneshot::Sender<()>,
    caller_server: JoinHandle<io::Result<()>>,
    admin_server: JoinHandle<io::Result<()>>,
    input_tasks: [JoinHandle<()>; 3],
}

impl RunningEntry {
    /// Leaves the directories, serves requests that still arrive, finishes those in flight and
    /// stops.
    ///
    /// Returns whether all requests were finished in time.
    pub async fn stop(self) -> bool {
        self.shared.handle_event(EntryEvent::Drain);
        let time_limit = self.drain_time + STOP_GRACE;
        let is_drained = timeout(time_limit, self.shared.stopped.notified()).await.is_ok();
        self.shared.close_to_callers.notify_one();
        // Either server may have ended earlier with an error.
        let _ = self.caller_server.await;
        let _ = self.stop_admin.send(());
        let _ = self.admin_server.await;
        for task in self.input_tasks {
            task.abort();
            let _ = task.await;
        }
        is_drained
    }
}

/// Starts an entry host.
pub async fn start(settings: EntrySettings) -> Result<RunningEntry, EntryError> {
    let clock = Clock::start();
    let incarnation = clock.incarnation();
    let key_file = &settings.fleet_key_file;
    let text =
        fs::read_to_string(key_file).map_err(|e| EntryError::Unreadable(key_file.clone(), e))?;
    let keys = FleetKeys::parse(&text).map_err(|e| EntryError::Key(key_file.clone(), e))?;
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
    let input_tasks = [
        tokio::spawn(send_ticks(shared.clone())),
        tokio::spawn(send_wakeup_ticks(shared.clone())),
        tokio::spawn(forward_frames(shared.clone(), frames)),
    ];
    let caller_server = tokio::spawn(callers::serve(caller_socket, shared.clone()));
    let api = EntryApi { shared: shared.clone(), metrics: Metrics::new(&shared.latency) };
    let (stop_admin, stop_rx) = oneshot::channel();
    let admin_server =
        tokio::spawn(admin::serve(admin_listener, Arc::new(api), wait_for_stop(stop_rx)));
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
        drain_time: settings.drain_ms.into(),
        stop_admin,
        caller_server,
        admin_server,
        input_tasks,
    })
}

/// Binds without listening, so that connections are refused until the host is ready to serve.
fn bind(address: SocketAddr) -> Result<TcpSocket, EntryError> {
    let new_socket = if address.is_ipv4() { TcpSocket::new_v4 } else { TcpSocket::new_v6 };
    let socket = new_socket().map_err(|e| EntryError::Listen(address, e))?;
    // Connections of an earlier process may still be in TIME_WAIT.
    socket.set_reuseaddr(true).map_err(|e| EntryError::Listen(address, e))?;
    socket.bind(address).map_err(|e| EntryError::Listen(address, e))?;
    Ok(socket)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).await.map_err(|e| EntryError::Listen(address, e))
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener.local_addr().map_err(|e| EntryError::Listen(address, e))
}

/// Completes when the sender sends or is dropped.
async fn wait_for_stop(rx: oneshot::Receiver<()>) {
    let _ = rx.await;
}

async fn send_ticks(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        shared.handle_event(EntryEvent::Tick);
    }
}

/// Sends a tick when the state machine needs one between the regular ticks.
async fn send_wakeup_ticks(shared: Arc<Shared>) {
    loop {
        let wait = shared.with_core(|core, now| {
            let wakeup = core.next_wakeup()?;
            Some(Duration::from_micros(wakeup.micros_since(now).max(MIN_WAKEUP_WAIT_MICROS)))
        });
        match wait {
            Some(wait) => {
                // A notification means that an earlier wakeup is due: the wait starts again.
                if timeout(wait, shared.wakeup.notified()).await.is_err() {
                    shared.handle_event(EntryEvent::Tick);
                }
            }
            None => shared.wakeup.notified().await,
        }
    }
}

async fn forward_frames(shared: Arc<Shared>, mut frames: mpsc::Receiver<PeerFrame>) {
    while let Some(frame) = frames.recv().await {
        let PeerFrame { from, incarnation, message, .. } = frame;
        shared.handle_event(EntryEvent::Peer { from, incarnation, message });
    }
}
