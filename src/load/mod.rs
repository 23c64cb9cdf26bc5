//! A bounded load at a fixed rate, through the fleet and directly to a backend server side by side.

mod connection;
mod report;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use self::connection::{KeptConnection, LoadRequest};
pub use self::report::{LaneReport, LoadReport};

/// The highest rate, in requests a second.
pub const MAX_RATE: u32 = 20_000;

/// The longest run, in seconds.
pub const MAX_SECONDS: u32 = 600;

/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What is sent, where and how often.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Entry hosts, used in turn.
    pub entries: Vec<SocketAddr>,
    /// A backend server that is asked directly, for comparison.
    pub direct: Option<SocketAddr>,
    /// The path of every request.
    pub path: String,
    /// The organisation that the requests are sent for.
    pub organisation: String,
    /// Prefix of the idempotency keys; without it, requests are GET requests without a key.
    pub key_prefix: Option<String>,
    /// Requests a second on each lane.
    pub rate: u32,
    /// Length of the run.
    pub length: Duration,
    /// Connections of each lane.
    pub connections: usize,
}

/// Runs the load and reports latencies and outcomes of both lanes.
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

/// A request and when it was handed to the connections; the latency counts from then, so that a
/// wait for a free connection is not hidden.
struct Due {
    number: u64,
    at: Instant,
}

async fn run_lane(plan: &LoadPlan, addresses: Vec<SocketAddr>, lane: u32) -> LaneReport {
    let (tx, rx) = mpsc::channel(plan.connections * 1024);
    let rx = Arc::new(tokio::sync::Mutex::new(rx));
    let mut workers = JoinSet::new();
    for worker in 0..plan.connections {
        let connection = KeptConnection::new(addresses[worker % addresses.len()]);
        workers.spawn(work(plan.clone(), lane, connection, rx.clone()));
    }
    let interval = Duration::from_secs(1) / plan.rate;
    // The lanes send in turn, not in step.
    let start = Instant::now() + interval * lane / 2;
    let total = u64::from(plan.rate) * plan.length.as_secs();
    let mut unsent = 0;
    for number in 0..total {
        let at = start + Duration::from_nanos(interval.as_nanos() as u64 * number);
        sleep_until(at).await;
        if tx.try_send(Due { number, at: Instant::now() }).is_err() {
            unsent += 1;
        }
    }
    drop(tx);
    let mut report = LaneReport::new(unsent);
    for part in workers.join_all().await {
        report.add(&part);
    }
    report
}

async fn work(
    plan: LoadPlan,
    lane: u32,
    mut connection: KeptConnection,
    rx: Arc<tokio::sync::Mutex<mpsc::Receiver<Due>>>,
) -> LaneReport {
    let mut report = LaneReport::new(0);
    loop {
        let Some(due) = rx.lock().await.recv().await else { return report };
        let key = plan.key_prefix.as_ref().map(|it| format!("{it}{lane}-{}", due.number));
        let method = if key.is_some() { Method::POST } else { Method::GET };
        let organisation = plan.organisation.clone();
        let request = LoadRequest { method, path: plan.path.clone(), organisation, key };
        let answer = tokio::time::timeout(ANSWER_LIMIT, connection.send(request)).await;
        let latency = due.at.elapsed();
        match answer {
            Ok(Ok(outcome)) => report.note(latency, &outcome),
            Ok(Err(_)) => report.note(latency, "broken"),
            Err(_) => report.note(latency, "timed-out"),
        }
    }
}
