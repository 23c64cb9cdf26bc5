//! Watches that the version in force at an entry host only rises.

use std::{net::SocketAddr, time::Duration};

use schema::entry_status::EntryStatusPage;
use tokio::{sync::watch, task::JoinSet};

use super::{Fleet, get};

/// Between two looks at one host.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Samples the version in force at each entry host until it is finished.
pub struct VersionWatch {
    stop: watch::Sender<bool>,
    tasks: JoinSet<Samples>,
}

/// What was seen at one entry host.
#[derive(Debug, Default)]
struct Samples {
    count: u64,
    newest: u64,
    falls: Vec<(u64, u64)>,
}

impl VersionWatch {
    /// Begins to sample all entry hosts.
    pub fn start(fleet: &Fleet) -> Self {
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        for host in &fleet.entries {
            tasks.spawn(sample(host.admin_address, stop.subscribe()));
        }
        Self { stop, tasks }
    }

    /// Ends the sampling; fails if a version fell, or if a host was never seen.
    pub async fn finish(self) {
        self.stop.send_replace(true);
        for samples in self.tasks.join_all().await {
            assert!(samples.count > 0, "an entry host was never seen");
            assert!(samples.falls.is_empty(), "versions fell: {samples:?}");
        }
    }
}

async fn sample(address: SocketAddr, stop: watch::Receiver<bool>) -> Samples {
    let mut samples = Samples::default();
    while !*stop.borrow() {
        if let Some(version) = version_in_force(address).await {
            samples.count += 1;
            if version < samples.newest {
                samples.falls.push((samples.newest, version));
            }
            samples.newest = samples.newest.max(version);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

/// The version in force; a host that was just started has none.
async fn version_in_force(address: SocketAddr) -> Option<u64> {
    let answer = get(address, "/v1/status", &[]).await.ok()?;
    let page: EntryStatusPage = serde_json::from_slice(&answer.body).ok()?;
    (page.version.0 > 0).then_some(page.version.0)
}
