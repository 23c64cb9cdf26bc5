//! Logs JSON lines without ever blocking the process.
//!
//! A separate thread takes the lines from a bounded buffer and writes them. When the reader of the
//! output is slow, lines are dropped and counted, `INFO` lines before warnings. The rate of lines
//! is limited for each fixed message.

mod buffer;
mod line;
mod rate;

use std::{
    io::{self, Write},
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

pub use crate::{
    buffer::{DropCounts, FlushHandle, LineBuffer},
    line::format_line,
    rate::{MAX_LINES_PER_SECOND, RateLimiter},
};

/// Starts logging to `output` at the level set by `RUST_LOG`, or else `info`.
///
/// Returns a handle to wait for the last lines before the process exits.
pub fn start(output: impl Write + Send + 'static) -> io::Result<FlushHandle> {
    let buffer = LineBuffer::start(output)?;
    let flush_handle = buffer.flush_handle();
    let rate_limiter = Mutex::new(RateLimiter::default());
    let drop_counts = buffer.drop_counts();
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(buffer)))
        .write_style(env_logger::WriteStyle::Never)
        .format(move |buf, record| {
            // A clock set before 1970 yields `ts_ms` 0; the line is still written.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            let mut rate_limiter =
                rate_limiter.lock().expect("no thread panics while it holds the lock");
            if !rate_limiter.allows(millis, record.args().as_str()) {
                drop_counts.count_rate_limited();
                return Ok(());
            }
            buf.write_all(&format_line(millis, record))
        })
        .init();
    Ok(flush_handle)
}
