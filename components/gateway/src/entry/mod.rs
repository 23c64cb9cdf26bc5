//! Runs a gateway: connects its decision logic to a clock and to callers, backend servers and other
//! hosts.

mod backend;
mod callers;
mod endpoints;
mod events;
mod forward;
mod metrics;
mod pool;
mod relay;
mod shared;

use std::{path::PathBuf, rc::Rc, time::Duration};

use admin::Clock;
use client_memory::Listener;
use gateway_core::{
    Gateway, GatewaySettings as CoreSettings, KeySecret, KeyWithdrawal, Probe, ProbeOutcome,
    RetryBudgetSettings, StopSchedule,
};
use ids::{Megabytes, Timestamp};
use schema::{
    gateway_settings::GatewaySettings,
    peer::{PeerFrame, PeerMessage},
    sync::SyncMessage,
};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    clients::{ClientSettings, Clients},
    connections::Connections,
    http,
    peers::{self, StartError},
    seeds::SettingsWatch,
};
use metrics::Metrics;
use pool::ConnectError;
use shared::Shared;

/// Time to read what has arrived before connections are closed: one round of the event loop.
const READ_TIME: Duration = Duration::from_millis(1);

/// Maximum time to deliver the last messages to other hosts before the process exits.
const FLUSH_TIME_LIMIT: Duration = Duration::from_millis(100);

/// Maximum time between two checks whether a poll is due; an update may make it due earlier.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Minimum time between two checks whether a poll is due, in microseconds.
const MIN_POLL_WAIT_MICROS: u64 = 1_000;

/// Memory of a host whose settings name none.
const DEFAULT_MEMORY: Megabytes = Megabytes(160);

/// Runs a gateway until a planned stop is complete.
pub async fn run(settings: GatewaySettings, settings_path: PathBuf) -> Result<(), StartError> {
    let stop = admin::shutdown_signal().map_err(StartError::Io)?;
    let watch = SettingsWatch::start(settings_path).map_err(StartError::Io)?;
    let clock = Clock::start();
    let incarnation = clock.incarnation();
    let (transport, frames) =
        peers::bind_transport(settings.ip, settings.peer_port.get(), incarnation).await?;
    let core = Gateway::new(core_settings(&settings, incarnation, key_secret()?));
    let (probe_tx, probes) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared::new(
        core,
        clock,
        transport,
        (settings.ip, settings.peer_port.get()),
        Metrics::new(),
        probe_tx,
    ));
    let clients = Clients::new(client_settings(&settings), clock, shared.metrics.clients());
    let connections = Rc::new(Connections::new(clients));
    spawn_listeners(&settings, &shared, &connections)?;
    tokio::task::spawn_local(feed_frames(shared.clone(), frames));
    tokio::task::spawn_local(poll_registry(shared.clone()));
    tokio::task::spawn_local(probe_servers(shared.clone(), probes));
    tokio::task::spawn_local(feed_seeds(shared.clone(), watch));
    log::info!(
        host:% = settings.ip,
        data_centre:% = settings.data_centre,
        incarnation = incarnation.0,
        callers:% = settings.caller_address;
        "gateway started"
    );
    stop.await;
    drain(&settings, &shared, &connections).await;
    Ok(())
}

fn client_settings(settings: &GatewaySettings) -> ClientSettings {
    ClientSettings {
        memory: settings.memory_mb.unwrap_or(DEFAULT_MEMORY),
        descriptors: settings.max_descriptors,
        stall_time: settings.client_stall_s,
    }
}

/// Returns a random secret, under which the keys of callers are hashed.
fn key_secret() -> Result<KeySecret, StartError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|e| StartError::Io(e.into()))?;
    Ok(KeySecret(secret))
}

fn core_settings(
    settings: &GatewaySettings,
    incarnation: ids::Incarnation,
    key_secret: KeySecret,
) -> CoreSettings {
    let budget = &settings.retry_budget;
    let regions = settings.data_centres.iter().map(|it| (it.name.clone(), it.region.clone()));
    CoreSettings {
        host: peers::host_of(settings.ip),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        regions: regions.collect(),
        incarnation,
        started: Timestamp::default(),
        caller_address: settings.caller_address,
        seeds: peers::hosts_of(&settings.seeds),
        retry_budget: RetryBudgetSettings {
            share_milli: budget.share.milli.into(),
            slack_milli: budget.slack.milli,
            window: budget.window_s.0,
        },
        directory_ttl: settings.directory_keep_s.0,
        learns_work: settings.learn_work,
        seed: incarnation.0,
        key_secret,
        key_withdrawal: settings
            .key_withdrawal
            .as_ref()
            .map(|it| KeyWithdrawal { within: it.within_ms, is_strict: it.strict }),
    }
}

/// Starts all HTTP listeners; requests of callers wait there for the first configuration.
fn spawn_listeners(
    settings: &GatewaySettings,
    shared: &Rc<Shared>,
    connections: &Rc<Connections>,
) -> Result<(), StartError> {
    let callers = http::listen(settings.caller_address, Listener::Requests)?;
    let cx = shared.clone();
    let serve = http::serve(callers, Listener::Requests, connections.clone(), move |req, state| {
        callers::handle(cx.clone(), req, state)
    });
    tokio::task::spawn_local(serve);
    let readiness = http::listen(settings.readiness_address, Listener::Readiness)?;
    let directory = http::listen(settings.directory_address, Listener::Directory)?;
    let metrics =
        http::listen((settings.ip, settings.metrics_port.get()).into(), Listener::Metrics)?;
    let cx = shared.clone();
    let serve = http::serve(readiness, Listener::Readiness, connections.clone(), move |req, _| {
        endpoints::readiness(cx.clone(), req)
    });
    tokio::task::spawn_local(serve);
    let cx = shared.clone();
    let serve = http::serve(directory, Listener::Directory, connections.clone(), move |req, _| {
        endpoints::directory(cx.clone(), req)
    });
    tokio::task::spawn_local(serve);
    let cx = shared.clone();
    let serve = http::serve(metrics, Listener::Metrics, connections.clone(), move |req, _| {
        endpoints::metrics(cx.clone(), req)
    });
    tokio::task::spawn_local(serve);
    Ok(())
}

async fn feed_frames(shared: Rc<Shared>, mut frames: mpsc::Receiver<PeerFrame>) {
    while let Some(frame) = frames.recv().await {
        match frame.message {
            PeerMessage::ServerLoad(report) => {
                shared.with_core(|core, now| core.on_report(now, frame.from, &report));
            }
            PeerMessage::RetryBudget(message) => {
                shared
                    .with_core(|core, now| core.on_retry_budget_message(now, frame.from, &message));
            }
            PeerMessage::ServerLimit(message) => {
                shared.with_core(|core, now| core.on_server_limit(now, frame.from, &message));
            }
            PeerMessage::OrganisationRate(message) => {
                shared.with_core(|core, now| core.on_organisation_rate(now, frame.from, &message));
            }
            PeerMessage::ServerWork(report) => {
                shared.with_core(|core, now| core.on_work_report(now, frame.from, &report));
            }
            PeerMessage::Quarantine(message) => {
                shared.with_core(|core, now| core.on_quarantine_message(now, frame.from, &message));
            }
            PeerMessage::Sync(SyncMessage::Update(update)) => {
                let config = shared.with_core(|core, now| core.on_update(now, frame.from, update));
                if let Some(document) = config {
                    shared.apply_config(&document);
                }
                shared.poll_due.notify_one();
            }
            PeerMessage::Sync(SyncMessage::UpdateBegins(begins)) => {
                shared.with_core(|core, now| core.on_update_begins(now, frame.from, &begins));
            }
            // Other messages are for control hosts or for other kinds of fleets.
            _ => {}
        }
    }
}

/// Opens connections without requests to servers that may have crashed.
async fn probe_servers(shared: Rc<Shared>, mut probes: mpsc::UnboundedReceiver<Probe>) {
    while let Some(Probe { server, delay }) = probes.recv().await {
        let cx = shared.clone();
        tokio::task::spawn_local(async move {
            sleep(delay.into()).await;
            let outcome = match cx.pool.connect(server.address).await {
                Ok(_) => ProbeOutcome::Connected,
                Err(ConnectError::Refused) => ProbeOutcome::Refused,
                Err(ConnectError::Failed) => ProbeOutcome::Failed,
            };
            cx.with_core(|core, now| core.on_server_probe(now, server, outcome));
        });
    }
}

/// Keeps one poll in flight to a control host.
async fn poll_registry(shared: Rc<Shared>) {
    loop {
        let (poll, due_in_micros) = shared.with_core(|core, now| {
            let poll = core.poll(now);
            (poll, core.next_poll().micros_since(now))
        });
        if let Some(poll) = poll {
            shared.send(poll.to, PeerMessage::Sync(SyncMessage::Poll(poll.poll)));
        }
        let wait =
            Duration::from_micros(due_in_micros.max(MIN_POLL_WAIT_MICROS)).min(MAX_POLL_WAIT);
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.poll_due.notified() => {}
        }
    }
}

async fn feed_seeds(shared: Rc<Shared>, mut watch: SettingsWatch) {
    loop {
        watch.changed().await;
        let seeds = watch.read_seeds(config::parse_gateway_settings, |it| it.seeds);
        if let Some(seeds) = seeds {
            shared.with_core(|core, _| core.add_seeds(&peers::hosts_of(&seeds)));
        }
    }
}

/// Withdraws this gateway from the directories, serves callers that still use its address, then
/// closes all connections after their responses.
async fn drain(settings: &GatewaySettings, shared: &Rc<Shared>, connections: &Connections) {
    let (time_limit, directory_ttl) = (settings.stop_within_s.0, settings.directory_keep_s.0);
    let schedule = shared.with_core(|core, now| {
        let schedule = StopSchedule::new(now, time_limit, directory_ttl);
        core.drain(schedule);
        schedule
    });
    shared.poll_due.notify_one();
    log::info!(
        in_flight = shared.in_flight(),
        connections = connections.count(),
        limit_ms = time_limit.0;
        "planned stop begins"
    );
    let time_until = |at: Timestamp| Duration::from_micros(at.micros_since(shared.clock.now()));
    sleep(time_until(schedule.close_at)).await;
    // After a freeze the time is over before what has arrived meanwhile is read.
    sleep(READ_TIME).await;
    log::info!(
        in_flight = shared.in_flight(),
        connections = connections.count();
        "planned stop closes the connections"
    );
    if timeout(time_until(schedule.leave_at), connections.close()).await.is_err() {
        connections.log_unfinished();
    }
    if timeout(FLUSH_TIME_LIMIT, shared.flush()).await.is_err() {
        log::warn!("not all messages to other hosts were sent");
    }
    log::info!(
        in_flight = shared.in_flight(),
        connections = connections.count(),
        queued_bytes:% = shared.transport_stats().bytes_by_purpose();
        "planned stop is complete"
    );
}
