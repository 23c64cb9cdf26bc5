//! Resource usage of the hosts' processes.

use std::{fmt, fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use stand_in::exchange;

use crate::fleet::Fleet;

/// Longest wait for a metrics page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Clock ticks of `/proc/PID/stat` per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Position of the user time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// Resources that a process has used since its start.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// CPU time in clock ticks.
    ticks: u64,
    rss_kb: u64,
    sent_bytes: u64,
    sent_messages: u64,
}

impl Usage {
    /// Reads the usage of all hosts, control hosts first.
    pub async fn read_all(fleet: &Fleet) -> Vec<Self> {
        let mut usages = Vec::new();
        for (pid, address) in fleet.processes() {
            usages.push(Self {
                ticks: ticks(pid),
                rss_kb: rss_kb(pid),
                sent_bytes: metric(address, "peer_sent_bytes_total").await.unwrap_or(0),
                sent_messages: metric(address, "peer_sent_total").await.unwrap_or(0),
            });
        }
        usages
    }
}

/// Mean usage per host.
pub struct Mean {
    cpu_percent: f64,
    rss_kb: u64,
    bytes_per_second: f64,
    messages_per_second: f64,
}

impl fmt::Display for Mean {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cpu_percent, rss_kb, bytes_per_second, messages_per_second } = self;
        write!(f, "{cpu_percent:.2} {rss_kb} {bytes_per_second:.0} {messages_per_second:.1}")
    }
}

/// Returns the mean usage per host between two readings, which are `duration` apart.
pub fn mean(before: &[Usage], after: &[Usage], duration: Duration) -> Mean {
    let host_seconds = duration.as_secs_f64() * after.len() as f64;
    let rate = |field: fn(&Usage) -> u64| {
        let sum = |it: &[Usage]| it.iter().map(field).sum::<u64>();
        sum(after).saturating_sub(sum(before)) as f64 / host_seconds
    };
    Mean {
        cpu_percent: rate(|it| it.ticks) / TICKS_PER_SECOND * 100.0,
        rss_kb: after.iter().map(|it| it.rss_kb).sum::<u64>() / after.len() as u64,
        bytes_per_second: rate(|it| it.sent_bytes),
        messages_per_second: rate(|it| it.sent_messages),
    }
}

/// Reads a metric of a host; returns `None` if it is missing or the host does not respond.
pub async fn metric(address: SocketAddr, name: &str) -> Option<u64> {
    let request = Request::get("/metrics").body(Full::new(Bytes::new())).ok()?;
    let page = exchange(address, request, PAGE_TIMEOUT).await.ok()?.text();
    let prefix = format!("daisypaddle_{name} ");
    page.lines().find_map(|it| it.strip_prefix(&prefix))?.parse().ok()
}

fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let after_name = stat.rsplit(") ").next().expect("the process name is in parentheses");
    let fields = after_name.split(' ').skip(USER_TIME_FIELD).take(2);
    fields.map(|it| it.parse::<u64>().expect("times are numbers")).sum()
}

fn rss_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line =
        status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("the field is present");
    line.trim().trim_end_matches(" kB").parse().expect("the size is a number")
}
