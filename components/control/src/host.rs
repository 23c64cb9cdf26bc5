//! Starts and stops the tasks of a control host.

use std::{
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use admin::Clock;
use fleet_core::{ControlHost, ControlHostEvent, ControlHostSettings, FleetSettings};
use ids::Incarnation;
use membership::{MemberRole, MembershipSettings, Timing};
use schema::settings::ControlSettings;
use storage::{Storage, StorageError};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::MissedTickBehavior,
};
use transport::{FleetKeys, KeyError, Transport, TransportSettings};

use crate::{
    api::ControlApi,
    driver::{Driver, DriverEvent, SharedStatus},
    metrics::Metrics,
    tokens::{OperatorTokens, TokenError},
};

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of events that wait for the driver.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Errors that prevent a control host from starting or make it stop.
#[derive(Debug, displaydoc::Display)]
pub enum ControlError {
    /// cannot read {0}: {1}
    Unreadable(String, io::Error),
    /// {0}: {1}
    Key(String, KeyError),
    /// {0}: {1}
    Token(String, TokenError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// {0}
    Storage(StorageError),
}

impl std::error::Error for ControlError {}

/// Handle of a control host that runs in this process.
pub struct RunningControl {
    /// Address for operators and monitoring.
    pub admin_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    event_tx: mpsc::Sender<DriverEvent>,
    stop_admin: oneshot::Sender<()>,
    admin_server: JoinHandle<io::Result<()>>,
    driver: JoinHandle<Result<(), StorageError>>,
    input_tasks: [JoinHandle<()>; 2],
}

impl RunningControl {
    /// Completes when the host has stopped because its storage failed.
    pub async fn failed(&mut self) -> ControlError {
        match (&mut self.driver).await {
            Ok(Err(e)) => ControlError::Storage(e),
            Ok(Ok(())) | Err(_) => panic!("the driver ended while its channel was open"),
        }
    }

    /// Tells the other hosts that this host stops, finishes the operators' requests in flight and
    /// stops.
    pub async fn stop(self) -> Result<(), ControlError> {
        // The driver may have stopped already; its error is returned below.
        let _ = self.event_tx.send(DriverEvent::Host(ControlHostEvent::Stop)).await;
        let _ = self.stop_admin.send(());
        let _ = self.admin_server.await;
        self.input_tasks.iter().for_each(JoinHandle::abort);
        drop(self.event_tx);
        for task in self.input_tasks {
            let _ = task.await;
        }
        match self.driver.await {
            Ok(result) => result.map_err(ControlError::Storage),
            Err(_) => Ok(()),
        }
    }
}

/// Starts a control host.
///
/// With `bootstrap`, a host whose data folder is empty creates a new cluster.
pub async fn start(
    settings: ControlSettings,
    bootstrap: bool,
) -> Result<RunningControl, ControlError> {
    let clock = Clock::start();
    let keys = read_file(&settings.fleet_key_file)?;
    let keys = FleetKeys::parse(&keys)
        .map_err(|e| ControlError::Key(settings.fleet_key_file.clone(), e))?;
    let tokens = read_file(&settings.operator_tokens_file)?;
    let tokens = OperatorTokens::parse(&tokens)
        .map_err(|e| ControlError::Token(settings.operator_tokens_file.clone(), e))?;
    let incarnation = clock.incarnation();
    let folder = Path::new(&settings.data_folder);
    let opened = Storage::open(folder, settings.host, incarnation, bootstrap)
        .map_err(ControlError::Storage)?;
    let transport_settings = TransportSettings {
        host: settings.host,
        incarnation,
        address: settings.peer_address,
        keys,
    };
    let (transport, frames) = Transport::bind(transport_settings)
        .await
        .map_err(|e| ControlError::Listen(settings.peer_address, e))?;
    let transport = Arc::new(transport);
    let listener = TcpListener::bind(settings.admin_address)
        .await
        .map_err(|e| ControlError::Listen(settings.admin_address, e))?;
    let admin_address =
        listener.local_addr().map_err(|e| ControlError::Listen(settings.admin_address, e))?;
    let peer_address = transport.local_address();

    let host_settings = host_settings(&settings, incarnation, peer_address, admin_address);
    let host = ControlHost::restore(host_settings, opened.persisted, clock.now());
    let status = Arc::new(Mutex::new(SharedStatus::default()));
    let driver = Driver::new(host, opened.storage, transport.clone(), clock, status.clone());
    let (event_tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let driver = tokio::task::spawn_blocking(move || driver.run(rx));
    let input_tasks = [
        tokio::spawn(send_ticks(event_tx.clone())),
        tokio::spawn(forward_frames(frames, event_tx.clone())),
    ];
    let api = ControlApi {
        tokens,
        event_tx: event_tx.clone(),
        status,
        transport,
        metrics: Metrics::new(),
    };
    let (stop_admin, stopped) = oneshot::channel();
    let admin_server = tokio::spawn(admin::serve(listener, Arc::new(api), async {
        // Dropping the sender stops the server as well.
        let _ = stopped.await;
    }));
    log::info!(
        host = settings.host.0,
        peer:% = peer_address,
        admin:% = admin_address;
        "control host started"
    );
    Ok(RunningControl {
        admin_address,
        peer_address,
        event_tx,
        stop_admin,
        admin_server,
        driver,
        input_tasks,
    })
}

fn host_settings(
    settings: &ControlSettings,
    incarnation: Incarnation,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
) -> ControlHostSettings {
    let voters = settings.voters.iter().map(|it| it.host).collect();
    let membership = MembershipSettings {
        host: settings.host,
        role: MemberRole::Control,
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        peer_address,
        admin_address,
        seed: settings.seed,
        timing: Timing::default(),
    };
    let peers = settings.voters.iter().chain(&settings.seeds).cloned().collect();
    ControlHostSettings {
        consensus: consensus::Settings {
            voters,
            seed: settings.seed ^ u64::from(settings.host.0),
            membership_policy: consensus::MembershipPolicy::Listed,
            lease_use: consensus::LeaseUse::Reads,
        },
        fleet: FleetSettings { membership, peers },
    }
}

fn read_file(path: &str) -> Result<String, ControlError> {
    fs::read_to_string(path).map_err(|e| ControlError::Unreadable(path.to_owned(), e))
}

async fn send_ticks(tx: mpsc::Sender<DriverEvent>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if tx.send(DriverEvent::Host(ControlHostEvent::Tick)).await.is_err() {
            return;
        }
    }
}

async fn forward_frames(
    mut frames: mpsc::Receiver<schema::peer::PeerFrame>,
    tx: mpsc::Sender<DriverEvent>,
) {
    while let Some(frame) = frames.recv().await {
        let event = ControlHostEvent::Peer { from: frame.from, message: frame.message };
        if tx.send(DriverEvent::Host(event)).await.is_err() {
            return;
        }
    }
}
