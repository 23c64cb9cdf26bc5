//! Logs as JSON lines that never block the process.
//!
//! Lines go through a buffer of fixed size to a thread that writes them. When the reader of the
//! output is slow, lines are dropped and counted, those of normal work before warnings. Each kind
//! of line, known by its fixed message, has a rate of its own.

mod buffer;
mod line;
mod rate;

use std::{
    io::{self, Write},
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

pub use crate::{
    buffer::{DropCounts, LineBuffer, LogEnd},
    line::format_line,
    rate::{LineRates, MAX_LINES_PER_SECOND},
};

/// Starts logging to `output`; `RUST_LOG` chooses the level, `info` without it.
///
/// Returns what waits for the last lines.
pub fn start(output: impl Write + Send + 'static) -> io::Result<LogEnd> {
    let buffer = LineBuffer::start(output)?;
    let end = buffer.end();
    let rates = Mutex::new(LineRates::default());
    let rate_counts = buffer.counts();
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(buffer)))
        .write_style(env_logger::WriteStyle::Never)
        .format(move |buf, record| {
            // A clock before 1970 shows as `ts_ms` 0 in the line itself: no line is lost for it.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            let mut rates = rates.lock().expect("no holder panics");
            if !rates.allows(millis, record.args().as_str()) {
                rate_counts.note_over_rate();
                return Ok(());
            }
            buf.write_all(&format_line(millis, record))
        })
        .init();
    Ok(end)
}
