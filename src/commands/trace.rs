//! Collects the log lines of one request from the log files of several hosts.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader},
};

use ids::Millis;
use serde_json::Value;

use crate::cli::{self, ExitError};

/// Structured line of a log file.
struct LogLine {
    file: String,
    text: String,
    fields: Value,
}

impl LogLine {
    /// Returns the time on the writing host's clock, in milliseconds, or 0 if the line has none.
    fn time_ms(&self) -> u64 {
        self.fields["ts_ms"].as_u64().unwrap_or(0)
    }

    /// Returns whether any field has this value.
    fn has_value(&self, id: &str) -> bool {
        let fields = self.fields.as_object().into_iter().flatten();
        fields.filter_map(|(_, value)| value.as_str()).any(|it| it == id)
    }

    /// Returns the backend servers of the attempts in the line.
    fn servers(&self) -> Vec<String> {
        let attempts = self.fields["attempts"].as_str().unwrap_or_default();
        let servers = attempts.split(' ').filter_map(|it| it.rsplit_once(':'));
        servers.map(|(server, _)| server.to_owned()).collect()
    }
}

/// Selects the lines to print.
struct LineFilter<'a> {
    id: &'a str,
    /// Servers about which lines from `from_ms` until `until_ms` are selected as well.
    servers: BTreeSet<String>,
    from_ms: u64,
    until_ms: u64,
}

impl LineFilter<'_> {
    fn matches(&self, line: &LogLine) -> bool {
        line.has_value(self.id) || self.is_about_server(line)
    }

    fn is_about_server(&self, line: &LogLine) -> bool {
        let server = line.fields["server"].as_str();
        (self.from_ms..=self.until_ms).contains(&line.time_ms())
            && server.is_some_and(|it| self.servers.contains(it))
    }
}

/// Prints the lines with an id in the order of their times.
///
/// With `around`, also prints lines about the servers of its attempts that were written at most
/// this long before the first or after the last of those lines.
pub fn trace(id: &str, around: Option<Millis>, files: &[String]) -> Result<(), ExitError> {
    let mut filter = LineFilter { id, servers: BTreeSet::new(), from_ms: 0, until_ms: 0 };
    let mut lines = collect(files, &filter)?;
    if lines.is_empty() {
        return Err(ExitError::failed(format!("no log line contains the id {id}")));
    }
    if let Some(around) = around {
        let times_ms = || lines.iter().map(LogLine::time_ms).filter(|it| *it > 0);
        filter.servers = lines.iter().flat_map(LogLine::servers).collect();
        filter.from_ms = times_ms().min().unwrap_or(0).saturating_sub(around.0);
        filter.until_ms = times_ms().max().unwrap_or(0).saturating_add(around.0);
        lines = collect(files, &filter)?;
    }
    lines.sort_by_key(LogLine::time_ms);
    lines.iter().for_each(|it| cli::print(&format!("{}: {}\n", it.file, it.text)));
    Ok(())
}

fn collect(files: &[String], filter: &LineFilter<'_>) -> Result<Vec<LogLine>, ExitError> {
    let mut lines = Vec::new();
    for file in files {
        let read = read(file, filter);
        lines.extend(read.map_err(|e| ExitError::failed(format!("cannot read {file}: {e}")))?);
    }
    Ok(lines)
}

fn read(file: &str, filter: &LineFilter<'_>) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in BufReader::new(File::open(file)?).split(b'\n') {
        let line = line?;
        // Skips other output of the process, such as panics, between its log lines.
        let Ok(fields) = serde_json::from_slice(&line) else { continue };
        let text = String::from_utf8_lossy(&line).into_owned();
        let line = LogLine { file: file.to_owned(), text, fields };
        if filter.matches(&line) {
            lines.push(line);
        }
    }
    Ok(lines)
}
