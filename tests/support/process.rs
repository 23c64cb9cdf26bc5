//! One process of the fleet.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
};

use ids::HostId;

/// Held while ports are chosen and while a process is spawned: a process that is not yet executed
/// holds the parent's sockets, and with them ports that seem free.
pub static SPAWNING: Mutex<()> = Mutex::new(());

/// A process that is killed when dropped.
pub struct Process {
    folder: PathBuf,
    host: HostId,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    /// A process that does not run yet.
    pub fn new(folder: &Path, host: HostId) -> Self {
        Self { folder: folder.to_owned(), host, child: None, starts: 0 }
    }

    /// Starts a binary with its settings; its log goes to a file.
    pub fn start(&mut self, binary: &str, settings: &str, extra: &[&str]) {
        assert!(self.child.is_none(), "host {} runs already", self.host);
        let path = self.folder.join(format!("settings-{}.yaml", self.host));
        fs::write(&path, settings).unwrap();
        self.starts += 1;
        let log = self.folder.join(format!("host-{}-{}.log", self.host, self.starts));
        let spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&path)
            .args(extra)
            .stdin(Stdio::null())
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        drop(spawning);
        self.child = Some(child);
    }

    /// Whether the process was started and not ended by the test.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let _spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status().unwrap();
        assert!(status.success());
    }

    /// Asks for a planned stop and returns the exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        let mut child = self.child.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || child.wait().unwrap().code());
        wait.await.unwrap()
    }

    /// The log of the newest start.
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
