//! Watches the processes of the fleets that the current thread has started.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
};

/// Number of lines at the end of a log that are printed when a test fails.
const PRINTED_LINES: usize = 40;

thread_local! {
    static WATCHES: RefCell<Vec<Weak<Mutex<Processes>>>> = const { RefCell::new(Vec::new()) };
}

type Processes = BTreeMap<Ipv4Addr, Watched>;

struct Watched {
    id: u32,
    log: PathBuf,
    /// Whether a test has told the process to end.
    may_end: bool,
}

/// The processes of a fleet, none of which may end unless a test ends it.
pub struct Watch(Arc<Mutex<Processes>>);

impl Watch {
    /// Starts a watch without processes; [`check_processes`] covers it on this thread.
    pub fn start() -> Self {
        let processes = Arc::default();
        WATCHES.with_borrow_mut(|it| it.push(Arc::downgrade(&processes)));
        Self(processes)
    }

    /// Adds a process in place of the earlier one of the same host.
    pub fn add(&self, ip: Ipv4Addr, id: u32, log: PathBuf) {
        self.lock().insert(ip, Watched { id, log, may_end: false });
    }

    /// Records that a test ends the process of a host.
    pub fn expect_end(&self, ip: Ipv4Addr) {
        if let Some(process) = self.lock().get_mut(&ip) {
            process.may_end = true;
        }
    }

    /// Returns a message on the first process that has ended although no test ended it.
    pub fn find_ended(&self) -> Option<String> {
        let processes = self.lock();
        let (ip, ended) = processes.iter().find(|(_, it)| !it.may_end && is_zombie(it.id))?;
        Some(format!("the process of host {ip} has ended; its log:\n{}", log_end(&ended.log)))
    }

    /// Returns a message on a process that has ended although no test ended it, and expects its end.
    pub fn take_ended(&self) -> Option<String> {
        let message = self.find_ended();
        self.lock().values_mut().filter(|it| is_zombie(it.id)).for_each(|it| it.may_end = true);
        message
    }

    /// Prints the ends of the logs of all hosts.
    pub fn print_logs(&self) {
        for (ip, process) in self.lock().iter() {
            eprintln!("--- host {ip} ---\n{}", log_end(&process.log));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Processes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Panics if a process of a fleet of this thread has ended although no test ended it.
pub fn check_processes() {
    let watches: Vec<_> = WATCHES.with_borrow_mut(|watches| {
        watches.retain(|it| it.strong_count() > 0);
        watches.iter().filter_map(Weak::upgrade).map(Watch).collect()
    });
    if let Some(message) = watches.iter().find_map(Watch::find_ended) {
        panic!("{message}");
    }
}

/// Returns whether a child has ended and was not waited for.
fn is_zombie(id: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name of the program, in parentheses, may contain spaces.
    stat.rsplit(')').next().is_some_and(|it| it.trim_start().starts_with('Z'))
}

/// Returns the last lines of a log.
fn log_end(path: &Path) -> String {
    let log = fs::read(path).unwrap_or_default();
    let log = String::from_utf8_lossy(&log);
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(PRINTED_LINES)..].join("\n")
}
