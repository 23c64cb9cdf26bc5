//! The process of a host.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
};

use ids::HostId;

/// Held while free ports are chosen and while a process is spawned: between fork and exec a child
/// holds copies of the parent's sockets, so ports that were just released are still bound.
pub static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A host's process, which is killed when dropped.
pub struct Process {
    folder: PathBuf,
    host: HostId,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    /// Describes a process without starting it.
    pub fn new(folder: &Path, host: HostId) -> Self {
        Self { folder: folder.to_owned(), host, child: None, starts: 0 }
    }

    /// Writes the settings file and starts the binary; its log goes to a file.
    pub fn start(&mut self, binary: &str, settings: &str, flags: &[&str]) {
        assert!(self.child.is_none(), "host {} is already running", self.host);
        let path = self.folder.join(format!("settings-{}.yaml", self.host));
        fs::write(&path, settings).unwrap();
        self.starts += 1;
        let log = self.folder.join(format!("host-{}-{}.log", self.host, self.starts));
        let guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&path)
            .args(flags)
            .stdin(Stdio::null())
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        drop(guard);
        self.child = Some(child);
    }

    /// Returns whether the test has started the process and not ended it.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status().unwrap();
        assert!(status.success());
    }

    /// Requests a planned stop, waits for it and returns the exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        let mut child = self.child.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || child.wait().unwrap().code());
        wait.await.unwrap()
    }

    /// Returns the log since the latest start.
    pub fn log(&self) -> String {
        let log = self.folder.join(format!("host-{}-{}.log", self.host, self.starts));
        fs::read_to_string(log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- host {} ---\n{}", self.host, self.log());
        }
    }
}
