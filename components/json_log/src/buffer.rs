//! A bounded buffer between the threads that log and the output.

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

/// Maximum number of buffered lines; half a megabyte at 250 bytes per line.
const MAX_PENDING_LINES: usize = 2_048;

/// Number of buffered lines from which `INFO` lines are dropped, to leave space for warnings.
const INFO_DROP_THRESHOLD: usize = MAX_PENDING_LINES / 2;

/// Size of a write, in bytes, from which no more lines are added to it.
const BATCH_BYTES: usize = 64 * 1024;

/// Interval at which [`FlushHandle::wait`] checks whether all lines are written.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counters of dropped lines.
#[derive(Debug, Default)]
pub struct DropCounts {
    buffer_full: AtomicU64,
    rate_limited: AtomicU64,
}

impl DropCounts {
    /// Returns the number of lines dropped because the output was slow.
    pub fn buffer_full(&self) -> u64 {
        self.buffer_full.load(Ordering::Relaxed)
    }

    /// Returns the number of lines dropped by the rate limit.
    pub fn rate_limited(&self) -> u64 {
        self.rate_limited.load(Ordering::Relaxed)
    }

    pub(crate) fn count_rate_limited(&self) {
        self.rate_limited.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits until the buffered lines are written; used before the process exits.
#[derive(Debug, Clone)]
pub struct FlushHandle {
    pending: Arc<AtomicUsize>,
}

impl FlushHandle {
    /// Waits until all lines are written or `timeout` has passed.
    pub fn wait(&self, timeout: Duration) {
        let polls = timeout.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if self.pending.load(Ordering::Acquire) == 0 {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Buffers lines without blocking; drops lines when the buffer is full.
pub struct LineBuffer {
    tx: SyncSender<Vec<u8>>,
    pending: Arc<AtomicUsize>,
    drop_counts: Arc<DropCounts>,
}

impl LineBuffer {
    /// Starts the thread that writes to `output`, which ends when the buffer is dropped.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_PENDING_LINES);
        let pending = Arc::new(AtomicUsize::new(0));
        let drop_counts = Arc::new(DropCounts::default());
        let pending_in_writer = pending.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&rx, &pending_in_writer, output))?;
        Ok(Self { tx, pending, drop_counts })
    }

    /// Returns the counters of dropped lines.
    pub fn drop_counts(&self) -> Arc<DropCounts> {
        self.drop_counts.clone()
    }

    /// Returns a handle to wait for the buffered lines.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle { pending: self.pending.clone() }
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let drops_info = self.pending.load(Ordering::Relaxed) >= INFO_DROP_THRESHOLD;
        if drops_info && is_info(line) {
            self.drop_counts.buffer_full.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        self.pending.fetch_add(1, Ordering::Relaxed);
        match self.tx.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.pending.fetch_sub(1, Ordering::Relaxed);
                self.drop_counts.buffer_full.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn is_info(line: &[u8]) -> bool {
    let level = br#""level":"INFO""#;
    line.windows(level.len()).any(|it| it == level)
}

/// Writes lines in batches until the channel is closed or the output fails.
fn write_lines(rx: &Receiver<Vec<u8>>, pending: &AtomicUsize, mut output: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut buf = first;
        let mut lines = 1;
        while buf.len() < BATCH_BYTES
            && let Ok(next) = rx.try_recv()
        {
            buf.extend_from_slice(&next);
            lines += 1;
        }
        // Without a working output, the error can't be logged either.
        if output.write_all(&buf).and_then(|()| output.flush()).is_err() {
            return;
        }
        pending.fetch_sub(lines, Ordering::Release);
    }
}
