//! Checks that the configuration version in force at each entry host never decreases.

use std::{net::SocketAddr, time::Duration};

use schema::entry_status::EntryStatusPage;
use tokio::{sync::watch, task::JoinSet};

use super::{Fleet, get};

/// Time between two status requests to a host.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Polls the version in force at each entry host until [`Self::finish`] is called.
pub struct VersionMonitor {
    stop: watch::Sender<bool>,
    tasks: JoinSet<Samples>,
}

/// The versions that were seen at one entry host.
#[derive(Debug, Default)]
struct Samples {
    count: u64,
    newest: u64,
    /// Previous and lower next version.
    decreases: Vec<(u64, u64)>,
}

impl VersionMonitor {
    /// Starts to poll all entry hosts.
    pub fn start(fleet: &Fleet) -> Self {
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        for host in &fleet.entries {
            tasks.spawn(sample(host.admin_address, stop.subscribe()));
        }
        Self { stop, tasks }
    }

    /// Stops the polling; panics if a version decreased or a host never reported one.
    pub async fn finish(self) {
        self.stop.send_replace(true);
        for samples in self.tasks.join_all().await {
            assert!(samples.count > 0, "an entry host reported no version");
            assert!(samples.decreases.is_empty(), "versions decreased: {samples:?}");
        }
    }
}

async fn sample(address: SocketAddr, stop: watch::Receiver<bool>) -> Samples {
    let mut samples = Samples::default();
    while !*stop.borrow() {
        if let Some(version) = version_in_force(address).await {
            samples.count += 1;
            if version < samples.newest {
                samples.decreases.push((samples.newest, version));
            }
            samples.newest = samples.newest.max(version);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

/// Returns the version in force; a host that has just started has none.
async fn version_in_force(address: SocketAddr) -> Option<u64> {
    let response = get(address, "/v1/status", &[]).await.ok()?;
    let page: EntryStatusPage = serde_json::from_slice(&response.body).ok()?;
    (page.version.0 > 0).then_some(page.version.0)
}
