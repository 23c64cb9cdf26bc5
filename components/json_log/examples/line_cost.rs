//! Measures the processor time and the bytes of a log line:
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

/// Lines that are written in each measurement.
const LINES: u32 = 400;

/// Lines in a row, and the pause after them: within the rate of a kind, 50 a second.
const PACES: [(u32, Duration); 2] =
    [(1, Duration::from_millis(25)), (40, Duration::from_millis(1_050))];

/// Counts what is written.
struct Counting(Arc<AtomicU64>);

impl Write for Counting {
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
    let end = json_log::start(Counting(bytes.clone()))?;
    for (in_row, pause) in PACES {
        let before = (run_time_micros()?, bytes.load(Ordering::Relaxed));
        write_lines(in_row, pause);
        end.wait(Duration::from_secs(1));
        let micros = run_time_micros()? - before.0;
        let size = bytes.load(Ordering::Relaxed) - before.1;
        let lines = f64::from(LINES);
        eprintln!(
            "{in_row} in a row: {:.1} microseconds and {:.0} bytes a line",
            micros as f64 / lines,
            size as f64 / lines
        );
    }
    Ok(())
}

fn write_lines(in_row: u32, pause: Duration) {
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
        if (number + 1) % in_row == 0 {
            sleep(pause);
        }
    }
}

/// Time that all threads of this process have run, in microseconds.
fn run_time_micros() -> io::Result<u64> {
    let mut nanos = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let run_time = text.split(' ').next().and_then(|it| it.parse::<u64>().ok());
        nanos += run_time.ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(nanos / 1_000)
}
