//! Resource usage of the processes of a gateway fleet.

use std::{fmt, fs, net::SocketAddr, time::Duration};

use crate::gateway;

/// Clock ticks of `/proc/PID/stat` per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Position of the user time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// Resources that a process has used since its start.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// CPU time in clock ticks.
    ticks: u64,
    /// Voluntary context switches of all threads.
    wakeups: u64,
    rss_kb: u64,
    sent_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process whose metrics page is at `metrics`.
    pub fn read(pid: u32, metrics: SocketAddr) -> Self {
        Self {
            ticks: ticks(pid),
            wakeups: wakeups(pid),
            rss_kb: status_field(&format!("/proc/{pid}/status"), "VmRSS:"),
            sent_bytes: sent_bytes(metrics),
        }
    }
}

/// Mean usage per host.
pub struct Mean {
    cpu_percent: f64,
    wakeups_per_second: f64,
    rss_kb: u64,
    bytes_per_second: f64,
}

impl fmt::Display for Mean {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cpu_percent, wakeups_per_second, rss_kb, bytes_per_second } = self;
        write!(f, "{cpu_percent:.2} {wakeups_per_second:.1} {rss_kb} {bytes_per_second:.0}")
    }
}

/// Returns the mean usage per host between two readings, which are `duration` apart.
pub fn mean(before: &[Usage], after: &[Usage], duration: Duration) -> Mean {
    let host_seconds = duration.as_secs_f64() * after.len() as f64;
    let rate = |read: fn(&Usage) -> u64| {
        let sum = |it: &[Usage]| it.iter().map(read).sum::<u64>();
        sum(after).saturating_sub(sum(before)) as f64 / host_seconds
    };
    Mean {
        cpu_percent: rate(|it| it.ticks) / TICKS_PER_SECOND * 100.0,
        wakeups_per_second: rate(|it| it.wakeups),
        rss_kb: after.iter().map(|it| it.rss_kb).sum::<u64>() / after.len() as u64,
        bytes_per_second: rate(|it| it.sent_bytes),
    }
}

fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let after_name = stat.rsplit(") ").next().expect("the process name is in parentheses");
    let fields = after_name.split(' ').skip(USER_TIME_FIELD).take(2);
    fields.map(|it| it.parse::<u64>().expect("times are numbers")).sum()
}

/// Returns the number of voluntary context switches of all threads of a process.
fn wakeups(pid: u32) -> u64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("the process runs");
    let paths = threads.map(|it| it.expect("threads are listed").path().join("status"));
    let switches = paths.map(|it| status_field(&it.to_string_lossy(), "voluntary_ctxt_switches:"));
    switches.sum()
}

fn status_field(path: &str, name: &str) -> u64 {
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|it| it.strip_prefix(name)).expect("the field is present");
    line.trim().trim_end_matches(" kB").parse().expect("the field is a number")
}

fn sent_bytes(metrics: SocketAddr) -> u64 {
    let page = gateway::call(metrics, "GET", "/metrics", &[], b"").expect("the page is served");
    let page = String::from_utf8(page.body).expect("the page is text");
    let value = page.lines().find_map(|it| it.strip_prefix("daisypaddle_peer_sent_bytes_total "));
    value.expect("the metric is present").parse().expect("the metric is a number")
}
