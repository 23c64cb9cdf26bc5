//! Measures the CPU time and the size of a log line:
//!
//! `cargo run --release -p json_log --example line_cost`

#![allow(clippy::print_stderr)]

use std::{
    fs,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::Duration,
};

/// Lines per measurement.
const LINES: u32 = 400;

/// Lines per burst and the pause after it; stays below the rate limit of 50 lines per second.
const BURSTS: [(u32, Duration); 2] =
    [(1, Duration::from_millis(25)), (40, Duration::from_millis(1_050))];

/// Counts the bytes written to it.
struct ByteCounter(Arc<AtomicU64>);

impl Write for ByteCounter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(data.len() as u64, Ordering::Relaxed);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn main() -> io::Result<()> {
    let bytes = Arc::new(AtomicU64::new(0));
    let flush_handle = json_log::start(ByteCounter(bytes.clone()))?;
    for (burst_len, pause) in BURSTS {
        let start = (cpu_time_micros()?, bytes.load(Ordering::Relaxed));
        write_lines(burst_len, pause);
        flush_handle.wait(Duration::from_secs(1));
        let micros = cpu_time_micros()? - start.0;
        let size = bytes.load(Ordering::Relaxed) - start.1;
        let lines = f64::from(LINES);
        eprintln!(
            "{burst_len} in a row: {:.1} microseconds and {:.0} bytes a line",
            micros as f64 / lines,
            size as f64 / lines
        );
    }
    Ok(())
}

fn write_lines(burst_len: u32, pause: Duration) {
    for number in 0..LINES {
        log::info!(
            request = format!("8b2a3e42{number:08x}"),
            route = "r-y54n4d4",
            service = "puje52d",
            attempts = "i-3e39323053:answered",
            waited_ms = 3,
            took_ms = 401,
            version = 138;
            "request answered"
        );
        if (number + 1) % burst_len == 0 {
            sleep(pause);
        }
    }
}

/// Returns the CPU time of all threads of this process, in microseconds.
fn cpu_time_micros() -> io::Result<u64> {
    let mut nanos = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let cpu_time = text.split(' ').next().and_then(|it| it.parse::<u64>().ok());
        nanos += cpu_time.ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(nanos / 1_000)
}
