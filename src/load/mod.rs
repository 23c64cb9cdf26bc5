//! Load generator with a fixed request rate.
//!
//! It sends requests on up to two lanes at the same time: through the fleet and, for comparison,
//! directly to a backend server.

mod connection;
mod report;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use self::connection::{LoadRequest, PersistentConnection};
pub use self::report::{LaneReport, LoadReport};

/// Upper bound on the rate, in requests per second.
pub const MAX_RATE: u32 = 20_000;

/// Upper bound on the duration of a run, in seconds.
pub const MAX_SECONDS: u32 = 600;

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Caller addresses of entry hosts, assigned to the connections in turn.
    pub entries: Vec<SocketAddr>,
    /// Backend server of the direct lane, if wanted.
    pub direct: Option<SocketAddr>,
    /// Path of every request.
    pub path: String,
    /// Organisation on whose behalf the requests are sent.
    pub organisation: String,
    /// Prefix of the idempotency keys of POST requests; without it, the tool sends GET requests
    /// without keys.
    pub key_prefix: Option<String>,
    /// Requests per second on each lane.
    pub rate: u32,
    /// Duration of the run.
    pub duration: Duration,
    /// Number of connections of each lane.
    pub connections: usize,
}

/// Runs the load and returns the latencies and outcomes of each lane.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let through = run_lane(plan, plan.entries.clone(), 0);
    match plan.direct {
        Some(direct) => {
            let (through, direct) = tokio::join!(through, run_lane(plan, vec![direct], 1));
            LoadReport { through, direct: Some(direct) }
        }
        None => LoadReport { through: through.await, direct: None },
    }
}

/// Request in the queue of a lane. Its latency counts from `queued_at`, so that it includes the
/// wait for a free connection.
struct QueuedRequest {
    number: u64,
    queued_at: Instant,
}

async fn run_lane(plan: &LoadPlan, addresses: Vec<SocketAddr>, lane: u32) -> LaneReport {
    let (tx, rx) = mpsc::channel(plan.connections * 1024);
    let rx = Arc::new(tokio::sync::Mutex::new(rx));
    let mut workers = JoinSet::new();
    for worker in 0..plan.connections {
        let connection = PersistentConnection::new(addresses[worker % addresses.len()]);
        workers.spawn(run_worker(plan.clone(), lane, connection, rx.clone()));
    }
    let interval = Duration::from_secs(1) / plan.rate;
    // Offsets the lanes by half an interval, so that they do not send at the same moments.
    let start = Instant::now() + interval * lane / 2;
    let total = u64::from(plan.rate) * plan.duration.as_secs();
    let mut unsent = 0;
    for number in 0..total {
        let send_at = start + Duration::from_nanos(interval.as_nanos() as u64 * number);
        sleep_until(send_at).await;
        if tx.try_send(QueuedRequest { number, queued_at: Instant::now() }).is_err() {
            unsent += 1;
        }
    }
    drop(tx);
    let mut report = LaneReport::new(unsent);
    for part in workers.join_all().await {
        report.merge(&part);
    }
    report
}

async fn run_worker(
    plan: LoadPlan,
    lane: u32,
    mut connection: PersistentConnection,
    rx: Arc<tokio::sync::Mutex<mpsc::Receiver<QueuedRequest>>>,
) -> LaneReport {
    let mut report = LaneReport::new(0);
    loop {
        let Some(queued) = rx.lock().await.recv().await else { return report };
        let key = plan.key_prefix.as_ref().map(|it| format!("{it}{lane}-{}", queued.number));
        let method = if key.is_some() { Method::POST } else { Method::GET };
        let organisation = plan.organisation.clone();
        let request = LoadRequest { method, path: plan.path.clone(), organisation, key };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, connection.send(request)).await;
        let latency = queued.queued_at.elapsed();
        match answer {
            Ok(Ok(outcome)) => report.record(latency, &outcome),
            Ok(Err(_)) => report.record(latency, "broken"),
            Err(_) => report.record(latency, "timed-out"),
        }
    }
}
