//! Runs a control host: connects its decision logic to sockets, disk and clock.

mod driver;
mod metrics;
mod requests;

use std::{
    path::{Path, PathBuf},
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use admin::Clock;
use client_memory::Listener;
use consensus::{LeaseUse, MembershipPolicy};
use ids::{HostId, Incarnation, Megabytes, Millis};
use registry::{HostEvent, RegistryHost, RegistryHostSettings};
use schema::{gateway_settings::RegistrySettings, peer::PeerFrame, sync::Place};
use storage::{Opened, Storage, StorageError};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
    time::{Instant, MissedTickBehavior, timeout, timeout_at},
};
use transport::Transport;

use crate::{
    clients::{ClientSettings, Clients},
    connections::Connections,
    http,
    peers::{self, StartError},
    seeds::SettingsWatch,
};
use driver::{Driver, DriverEvent};
use metrics::Metrics;
use requests::RequestHandler;

/// Interval of the ticks for the decision logic.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of events that wait for the driver.
const EVENT_QUEUE_LEN: usize = 4_096;

/// Time without contact after which a voter is removed, in milliseconds: longer than restarts and
/// short network failures take, so that a removed voter rarely returns.
const REMOVE_VOTER_AFTER: Millis = Millis(8_000);

/// Interval at which a start is tried again while the disk is full.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time from a stop signal until the last response is delivered: the rest of a request body,
/// the commit of its change and the delivery of the response.
const STOP_TIME_LIMIT: Duration = Duration::from_secs(2);

/// Maximum time until the driver ends after the last response.
const DRIVER_TIME_LIMIT: Duration = Duration::from_millis(500);

/// Maximum time to deliver the last messages to other hosts before the process exits.
const FLUSH_TIME_LIMIT: Duration = Duration::from_millis(200);

/// Memory of a host whose settings name none.
const DEFAULT_MEMORY: Megabytes = Megabytes(256);

/// Runs a control host until it receives a stop signal or its disk fails.
pub async fn run(settings: RegistrySettings, settings_path: PathBuf) -> Result<(), StartError> {
    let stop = admin::shutdown_signal().map_err(StartError::Io)?;
    let watch = SettingsWatch::start(settings_path).map_err(StartError::Io)?;
    let clock = Clock::start();
    let incarnation = clock.incarnation();
    let host_id = peers::host_of(settings.ip);
    let mut stop = pin!(stop);
    let opened = tokio::select! {
        () = &mut stop => return Ok(()),
        opened = open_storage(&settings, host_id, incarnation) => opened?,
    };
    let (transport, frames) =
        peers::bind_transport(settings.ip, settings.peer_port.get(), incarnation).await?;
    let transport = Arc::new(transport);
    let regions = settings.data_centres.iter().map(|it| (it.name.clone(), it.region.clone()));
    let host_settings = RegistryHostSettings {
        consensus: consensus_settings(&settings, incarnation.0),
        place: Place { region: settings.region.clone(), data_centre: settings.data_centre.clone() },
        regions: regions.collect(),
        incarnation,
        is_new_fleet: settings.bootstrap,
    };
    let host = RegistryHost::restore(host_settings, opened.persisted, clock.now());
    let metrics = Arc::new(Metrics::new());
    let driver = Driver::new(
        host,
        opened.storage,
        transport.clone(),
        clock,
        settings.peer_port.get(),
        metrics.clone(),
    );
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
    let mut driver = tokio::task::spawn_blocking(move || driver.run(rx));
    let clients = Clients::new(client_settings(&settings), clock, metrics.clients());
    let connections = Rc::new(Connections::new(clients));
    spawn_listeners(&settings, &connections, &tx, metrics)?;
    let mut inputs = JoinSet::new();
    inputs.spawn_local(feed_ticks(tx.clone()));
    inputs.spawn_local(feed_seeds(watch, tx.clone()));
    inputs.spawn_local(feed_frames(frames, tx.clone()));
    log::info!(
        host:% = settings.ip,
        bootstrap = settings.bootstrap,
        incarnation = incarnation.0,
        requests:% = settings.request_address;
        "control host started"
    );
    tokio::select! {
        () = &mut stop => {}
        result = &mut driver => {
            let result = result.expect("the driver does not panic");
            return result.map_err(StartError::Storage);
        }
    }
    log::info!(
        host:% = settings.ip,
        connections = connections.count(),
        queued_bytes:% = transport.stats().bytes_by_purpose();
        "planned stop begins"
    );
    let result = finish(&connections, inputs, tx, driver, &transport).await;
    log::info!(
        host:% = settings.ip,
        connections = connections.count(),
        queued_bytes:% = transport.stats().bytes_by_purpose();
        "control host stops"
    );
    result.map_err(StartError::Storage)
}

fn client_settings(settings: &RegistrySettings) -> ClientSettings {
    ClientSettings {
        memory: settings.memory_mb.unwrap_or(DEFAULT_MEMORY),
        descriptors: settings.max_descriptors,
        stall_time: settings.client_stall_s,
    }
}

/// Starts the listeners for requests and for metrics.
fn spawn_listeners(
    settings: &RegistrySettings,
    connections: &Rc<Connections>,
    tx: &mpsc::Sender<DriverEvent>,
    metrics: Arc<Metrics>,
) -> Result<(), StartError> {
    let metrics_address = (settings.ip, settings.metrics_port.get()).into();
    let metrics_listener = http::listen(metrics_address, Listener::Metrics)?;
    let request_listener = http::listen(settings.request_address, Listener::Requests)?;
    let close = connections.close_signal();
    let request_handler = Rc::new(RequestHandler::new(settings, tx.clone(), close));
    let serve = http::serve(
        request_listener,
        Listener::Requests,
        connections.clone(),
        move |req, state| request_handler.clone().handle(req, state),
    );
    tokio::task::spawn_local(serve);
    let serve =
        http::serve(metrics_listener, Listener::Metrics, connections.clone(), move |req, _| {
            metrics::handle(metrics.clone(), req)
        });
    tokio::task::spawn_local(serve);
    Ok(())
}

/// Completes a planned stop: answers the requests that were read, while the log is still replicated,
/// then ends the driver and delivers its last messages.
async fn finish(
    connections: &Connections,
    mut inputs: JoinSet<()>,
    tx: mpsc::Sender<DriverEvent>,
    driver: JoinHandle<Result<(), StorageError>>,
    transport: &Transport,
) -> Result<(), StorageError> {
    let deadline = Instant::now() + STOP_TIME_LIMIT;
    // The driver may have ended already, and its error is returned below; or a slow disk holds it up.
    let _ = timeout_at(deadline, tx.send(DriverEvent::Host(HostEvent::Stop))).await;
    if timeout_at(deadline, connections.close()).await.is_err() {
        connections.log_unfinished();
    }
    inputs.shutdown().await;
    let end = async {
        // The driver may have ended already.
        let _ = tx.send(DriverEvent::End).await;
        driver.await.expect("the driver does not panic")
    };
    let result = match timeout(DRIVER_TIME_LIMIT, end).await {
        Ok(result) => result,
        Err(_) => {
            // What a slow disk has not stored was not acknowledged.
            log::warn!("the process ends before the driver");
            Ok(())
        }
    };
    if timeout(FLUSH_TIME_LIMIT, transport.flush()).await.is_err() {
        log::warn!("not all messages to other hosts were sent");
    }
    result
}

/// Opens the data folder, and waits while its disk is full.
async fn open_storage(
    settings: &RegistrySettings,
    host: HostId,
    incarnation: Incarnation,
) -> Result<Opened, StartError> {
    let folder: &Path = settings.data_folder.as_ref();
    let mut is_logged = false;
    loop {
        match Storage::open(folder, host, incarnation, settings.bootstrap) {
            Ok(opened) => return Ok(opened),
            Err(e) if e.is_disk_full() => {
                if !is_logged {
                    log::error!(error:% = e; "cannot write to the disk; waiting for room to start");
                }
                is_logged = true;
                tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
            }
            Err(e) => return Err(StartError::Storage(e)),
        }
    }
}

fn consensus_settings(settings: &RegistrySettings, seed: u64) -> consensus::Settings {
    let lost_disks = settings.lost_disks.0 as usize;
    consensus::Settings {
        voters: peers::hosts_of(&settings.seeds),
        seed,
        membership_policy: MembershipPolicy::Open {
            min_voters: 2 * lost_disks + 1,
            remove_after: REMOVE_VOTER_AFTER,
        },
        lease_use: LeaseUse::Advisory,
    }
}

async fn feed_ticks(tx: mpsc::Sender<DriverEvent>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if tx.send(DriverEvent::Host(HostEvent::Tick)).await.is_err() {
            return;
        }
    }
}

async fn feed_frames(mut frames: mpsc::Receiver<PeerFrame>, tx: mpsc::Sender<DriverEvent>) {
    while let Some(frame) = frames.recv().await {
        let PeerFrame { from, incarnation, message, .. } = frame;
        let event = HostEvent::Peer { from, incarnation, message };
        if tx.send(DriverEvent::Host(event)).await.is_err() {
            return;
        }
    }
}

async fn feed_seeds(mut watch: SettingsWatch, tx: mpsc::Sender<DriverEvent>) {
    loop {
        watch.changed().await;
        let seeds = watch.read_seeds(config::parse_registry_settings, |it| it.seeds);
        let Some(seeds) = seeds else { continue };
        let event = HostEvent::SeedsChanged(peers::hosts_of(&seeds));
        if tx.send(DriverEvent::Host(event)).await.is_err() {
            return;
        }
    }
}
