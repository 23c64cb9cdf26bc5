//! Lines are whole JSON, bounded, and never hold up those who log.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use json_log::{LineBuffer, LineRates, MAX_LINES_PER_SECOND, format_line};
use log::{Level, Record};

/// An output whose reader takes nothing until it is told to.
struct Stalled {
    open: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            // A dropped sender opens the output too.
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

fn stalled() -> (LineBuffer, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, open) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stalled { open, is_open: false, written: written.clone() };
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

    let read: serde_json::Value = serde_json::from_str(text.trim_end()).unwrap();
    assert_eq!(text.matches('\n').count(), 1);
    assert_eq!(read["msg"], "request failed");
    assert_eq!(read["request"], "a\"1");
    assert_eq!((&read["took_ms"], &read["ts_ms"]), (&7.into(), &5.into()));
}

#[test]
fn each_kind_of_line_has_a_rate_of_its_own() {
    let mut rates = LineRates::default();

    let allowed = (0..500).filter(|_| rates.allows(1_000, Some("busy"))).count();

    assert_eq!(allowed, MAX_LINES_PER_SECOND as usize);
    assert!(rates.allows(1_000, Some("other")));
    assert!(rates.allows(2_000, Some("busy")));
}

#[test]
fn a_reader_that_has_stopped_holds_up_nobody_and_warnings_find_room() {
    let (mut buffer, open, written) = stalled();
    let counts = buffer.counts();

    for i in 0..10_000 {
        buffer.write_all(&line("INFO", i)).unwrap();
    }
    buffer.write_all(&line("WARN", 1)).unwrap();

    assert!(counts.full() > 5_000);
    let end = buffer.end();
    drop(open);
    end.wait(Duration::from_secs(20));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("WARN"));
    assert!(text.lines().count() < 3_000);
}

#[test]
fn the_last_lines_are_waited_for_but_not_for_ever() {
    let (mut buffer, _open, _) = stalled();
    buffer.write_all(&line("INFO", 1)).unwrap();

    buffer.end().wait(Duration::from_millis(50));
}
