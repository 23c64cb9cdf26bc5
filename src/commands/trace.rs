//! Collects the log lines of one request from the log files of many hosts.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader},
};

use ids::Millis;
use serde_json::Value;

use crate::cli::{self, ExitError};

/// A line of a log file.
struct LogLine {
    file: String,
    text: String,
    fields: Value,
}

impl LogLine {
    /// The time of the host that wrote the line, in milliseconds; 0 where it does not say.
    fn time(&self) -> u64 {
        self.fields["ts_ms"].as_u64().unwrap_or(0)
    }

    /// Whether any field has this value.
    fn names(&self, id: &str) -> bool {
        let fields = self.fields.as_object().into_iter().flatten();
        fields.filter_map(|(_, value)| value.as_str()).any(|it| it == id)
    }

    /// The backend servers that its attempts went to.
    fn servers(&self) -> Vec<String> {
        let attempts = self.fields["attempts"].as_str().unwrap_or_default();
        let servers = attempts.split(' ').filter_map(|it| it.rsplit_once(':'));
        servers.map(|(server, _)| server.to_owned()).collect()
    }
}

/// Which lines are wanted.
struct Wanted<'a> {
    id: &'a str,
    /// Servers of interest, and the time in which lines about them are wanted, in milliseconds.
    servers: BTreeSet<String>,
    from: u64,
    until: u64,
}

impl Wanted<'_> {
    fn wants(&self, line: &LogLine) -> bool {
        line.names(self.id) || self.is_about_server(line)
    }

    fn is_about_server(&self, line: &LogLine) -> bool {
        let server = line.fields["server"].as_str();
        (self.from..=self.until).contains(&line.time())
            && server.is_some_and(|it| self.servers.contains(it))
    }
}

/// Prints the lines that name an id, in the order of their times, and with `around` also those about
/// the servers of its attempts that were written so long before or after.
pub fn trace(id: &str, around: Option<Millis>, files: &[String]) -> Result<(), ExitError> {
    let mut wanted = Wanted { id, servers: BTreeSet::new(), from: 0, until: 0 };
    let mut found = collect(files, &wanted)?;
    if found.is_empty() {
        return Err(ExitError::failed(format!("no line names {id}")));
    }
    if let Some(around) = around {
        let times = || found.iter().map(LogLine::time).filter(|it| *it > 0);
        wanted.servers = found.iter().flat_map(LogLine::servers).collect();
        wanted.from = times().min().unwrap_or(0).saturating_sub(around.0);
        wanted.until = times().max().unwrap_or(0).saturating_add(around.0);
        found = collect(files, &wanted)?;
    }
    found.sort_by_key(LogLine::time);
    found.iter().for_each(|it| cli::print(&format!("{}: {}\n", it.file, it.text)));
    Ok(())
}

fn collect(files: &[String], wanted: &Wanted<'_>) -> Result<Vec<LogLine>, ExitError> {
    let mut found = Vec::new();
    for file in files {
        let lines = read(file, wanted);
        found.extend(lines.map_err(|e| ExitError::failed(format!("cannot read {file}: {e}")))?);
    }
    Ok(found)
}

fn read(file: &str, wanted: &Wanted<'_>) -> io::Result<Vec<LogLine>> {
    let mut found = Vec::new();
    for line in BufReader::new(File::open(file)?).split(b'\n') {
        let line = line?;
        // Other output of the process may stand between its log lines.
        let Ok(fields) = serde_json::from_slice(&line) else { continue };
        let text = String::from_utf8_lossy(&line).into_owned();
        let line = LogLine { file: file.to_owned(), text, fields };
        if wanted.wants(&line) {
            found.push(line);
        }
    }
    Ok(found)
}
