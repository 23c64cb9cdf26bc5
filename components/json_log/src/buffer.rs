//! A bounded buffer between those who log and the output.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that wait for the output at most; at 250 bytes each, half a megabyte.
const MAX_WAITING_LINES: usize = 2_048;

/// Waiting lines from which normal lines are dropped, so that warnings still find room.
const CROWDED_LINES: usize = MAX_WAITING_LINES / 2;

/// Bytes that are written at once.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Between two looks whether all lines are written.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// How many lines were dropped.
#[derive(Debug, Default)]
pub struct DropCounts {
    full: AtomicU64,
    over_rate: AtomicU64,
}

impl DropCounts {
    /// Lines dropped since the output was slow.
    pub fn full(&self) -> u64 {
        self.full.load(Ordering::Relaxed)
    }

    /// Lines left out since there were too many of their kind.
    pub fn over_rate(&self) -> u64 {
        self.over_rate.load(Ordering::Relaxed)
    }

    pub(crate) fn note_over_rate(&self) {
        self.over_rate.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits for the last lines at the end of the process.
#[derive(Debug, Clone)]
pub struct LogEnd {
    waiting: Arc<AtomicUsize>,
}

impl LogEnd {
    /// Waits until all lines are written, but not longer than `limit`.
    pub fn wait(&self, limit: Duration) {
        let looks = limit.as_millis() / LOOK_INTERVAL.as_millis();
        for _ in 0..looks {
            if self.waiting.load(Ordering::Acquire) == 0 {
                return;
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }
}

/// Takes lines without ever waiting.
pub struct LineBuffer {
    tx: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    counts: Arc<DropCounts>,
}

impl LineBuffer {
    /// Starts the thread that writes to `output`; it ends when the buffer is dropped.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_WAITING_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let counts = Arc::new(DropCounts::default());
        let writer = waiting.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_all(&rx, &writer, output))?;
        Ok(Self { tx, waiting, counts })
    }

    /// How many lines were dropped.
    pub fn counts(&self) -> Arc<DropCounts> {
        self.counts.clone()
    }

    /// To wait for the last lines.
    pub fn end(&self) -> LogEnd {
        LogEnd { waiting: self.waiting.clone() }
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_crowded = self.waiting.load(Ordering::Relaxed) >= CROWDED_LINES;
        if is_crowded && is_normal(line) {
            self.counts.full.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        match self.tx.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                self.counts.full.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn is_normal(line: &[u8]) -> bool {
    let level = br#""level":"INFO""#;
    line.windows(level.len()).any(|it| it == level)
}

/// Writes until the channel is closed or the output fails.
fn write_all(rx: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut output: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut buf = first;
        let mut lines = 1;
        while buf.len() < MAX_WRITE_BYTES
            && let Ok(next) = rx.try_recv()
        {
            buf.extend_from_slice(&next);
            lines += 1;
        }
        // Nobody reads the logs any more; there is nowhere left to say so.
        if output.write_all(&buf).and_then(|()| output.flush()).is_err() {
            return;
        }
        waiting.fetch_sub(lines, Ordering::Release);
    }
}
