//! Lines are complete JSON objects, their number is bounded, and writing them never blocks.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use json_log::{LineBuffer, MAX_LINES_PER_SECOND, RateLimiter, format_line};
use log::{Level, Record};

/// An output that blocks until `open` receives a message or its sender is dropped.
struct StalledOutput {
    open: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            // An error means that the sender was dropped, which opens the output as well.
            let _ = self.open.recv();
            self.is_open = true;
        }
        self.written.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stalled_buffer() -> (LineBuffer, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, open) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput { open, is_open: false, written: written.clone() };
    (LineBuffer::start(output).unwrap(), tx, written)
}

fn line(level: &str, number: usize) -> Vec<u8> {
    format!("{{\"level\":\"{level}\",\"number\":{number}}}\n").into_bytes()
}

#[test]
fn a_record_is_one_line_of_json() {
    let pairs = [("request", log::kv::Value::from("a\"1")), ("took_ms", log::kv::Value::from(7))];
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("request failed"))
        .key_values(&pairs)
        .build();

    let text = String::from_utf8(format_line(5, &record)).unwrap();

    let parsed: serde_json::Value = serde_json::from_str(text.trim_end()).unwrap();
    assert_eq!(text.matches('\n').count(), 1);
    assert_eq!(parsed["msg"], "request failed");
    assert_eq!(parsed["request"], "a\"1");
    assert_eq!((&parsed["took_ms"], &parsed["ts_ms"]), (&7.into(), &5.into()));
}

#[test]
fn each_message_has_its_own_rate_limit() {
    let mut rate_limiter = RateLimiter::default();

    let allowed = (0..500).filter(|_| rate_limiter.allows(1_000, Some("busy"))).count();

    assert_eq!(allowed, MAX_LINES_PER_SECOND as usize);
    assert!(rate_limiter.allows(1_000, Some("other")));
    assert!(rate_limiter.allows(2_000, Some("busy")));
}

#[test]
fn a_stalled_output_blocks_no_writer_and_warnings_are_kept() {
    let (mut buffer, open, written) = stalled_buffer();
    let drop_counts = buffer.drop_counts();

    for i in 0..10_000 {
        buffer.write_all(&line("INFO", i)).unwrap();
    }
    buffer.write_all(&line("WARN", 1)).unwrap();

    assert!(drop_counts.buffer_full() > 5_000);
    let flush_handle = buffer.flush_handle();
    drop(open);
    flush_handle.wait(Duration::from_secs(20));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("WARN"));
    assert!(text.lines().count() < 3_000);
}

#[test]
fn the_wait_for_buffered_lines_is_bounded() {
    let (mut buffer, _open, _) = stalled_buffer();
    buffer.write_all(&line("INFO", 1)).unwrap();

    buffer.flush_handle().wait(Duration::from_millis(50));
}
