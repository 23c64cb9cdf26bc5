//! Arguments, logs and exit codes of the binaries.

use std::{fmt, process::ExitCode};

/// Exit code for a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for a settings file or configuration text with errors.
pub const EXIT_INVALID: u8 = 3;

/// Exit code for a failure while running.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for an operator's request that was refused.
pub const EXIT_REFUSED: u8 = 4;

/// Why a binary ends without success.
#[derive(Debug)]
pub struct ExitError {
    /// The exit code.
    pub code: u8,
    /// What is told to the person at the terminal.
    pub message: String,
}

impl ExitError {
    /// The command line is wrong.
    pub fn usage(message: impl fmt::Display) -> Self {
        Self { code: EXIT_USAGE, message: format!("{message}; try --help") }
    }

    /// A settings file or configuration text has errors.
    pub fn invalid(message: impl fmt::Display) -> Self {
        Self { code: EXIT_INVALID, message: message.to_string() }
    }

    /// The work failed.
    pub fn failed(message: impl fmt::Display) -> Self {
        Self { code: EXIT_FAILED, message: message.to_string() }
    }

    /// The other side refused the request.
    pub fn refused(message: impl fmt::Display) -> Self {
        Self { code: EXIT_REFUSED, message: message.to_string() }
    }
}

impl From<pico_args::Error> for ExitError {
    fn from(e: pico_args::Error) -> Self {
        Self::usage(e)
    }
}

/// Answers `--help` and `--version`, then runs the binary's work.
pub fn run_main(
    name: &str,
    help: &str,
    work: impl FnOnce(pico_args::Arguments) -> Result<(), ExitError>,
) -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print(help);
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        print(&format!("{name} {}\n", env!("CARGO_PKG_VERSION")));
        return ExitCode::SUCCESS;
    }
    match work(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(&format!("{name}: {}", e.message));
            ExitCode::from(e.code)
        }
    }
}

/// Refuses arguments that nothing has read.
pub fn finish(args: pico_args::Arguments) -> Result<(), ExitError> {
    match args.finish().first() {
        None => Ok(()),
        Some(it) => Err(ExitError::usage(format!("unexpected argument {it:?}"))),
    }
}

/// The files that are left as arguments.
pub fn finish_files(args: pico_args::Arguments) -> Result<Vec<String>, ExitError> {
    let files: Vec<_> = args.finish().into_iter().map(|it| it.to_string_lossy().into()).collect();
    if let Some(option) = files.iter().find(|it: &&String| it.starts_with('-')) {
        return Err(ExitError::usage(format!("unexpected argument {option:?}")));
    }
    if files.is_empty() {
        return Err(ExitError::usage("a file is needed"));
    }
    Ok(files)
}

/// Writes structured logs to standard error; `RUST_LOG` chooses the level.
pub fn start_logs() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format_timestamp_millis().init();
}

/// Prints to standard output.
#[allow(clippy::print_stdout)]
pub fn print(text: &str) {
    print!("{text}");
}

/// Prints a line to standard error.
#[allow(clippy::print_stderr)]
pub fn print_error(text: &str) {
    eprintln!("{text}");
}
