//! Arguments, logging and exit codes of the binaries.

use std::{fmt, process::ExitCode};

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for an invalid settings file or configuration text.
pub const EXIT_INVALID: u8 = 3;

/// Exit code for a failure at run time.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for a refused operator request.
pub const EXIT_REFUSED: u8 = 4;

/// Error with which a binary exits.
#[derive(Debug)]
pub struct ExitError {
    /// Exit code of the process.
    pub code: u8,
    /// Message for standard error.
    pub message: String,
}

impl ExitError {
    /// Creates an error for an invalid command line; the message points to `--help`.
    pub fn usage(message: impl fmt::Display) -> Self {
        Self { code: EXIT_USAGE, message: format!("{message}; try --help") }
    }

    /// Creates an error for an invalid settings file or configuration text.
    pub fn invalid(message: impl fmt::Display) -> Self {
        Self { code: EXIT_INVALID, message: message.to_string() }
    }

    /// Creates an error for a failure at run time.
    pub fn failed(message: impl fmt::Display) -> Self {
        Self { code: EXIT_FAILED, message: message.to_string() }
    }

    /// Creates an error for a refused request.
    pub fn refused(message: impl fmt::Display) -> Self {
        Self { code: EXIT_REFUSED, message: message.to_string() }
    }
}

impl From<pico_args::Error> for ExitError {
    fn from(e: pico_args::Error) -> Self {
        Self::usage(e)
    }
}

/// Handles `--help` and `--version`, or calls `run` and turns its result into an exit code.
pub fn run_main(
    name: &str,
    help: &str,
    run: impl FnOnce(pico_args::Arguments) -> Result<(), ExitError>,
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
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(&format!("{name}: {}", e.message));
            ExitCode::from(e.code)
        }
    }
}

/// Returns an error if any argument has not been read.
pub fn finish(args: pico_args::Arguments) -> Result<(), ExitError> {
    match args.finish().first() {
        None => Ok(()),
        Some(it) => Err(ExitError::usage(format!("unexpected argument {it:?}"))),
    }
}

/// Returns the remaining arguments as file names; at least one is required, and options are
/// errors.
pub fn remaining_files(args: pico_args::Arguments) -> Result<Vec<String>, ExitError> {
    let files: Vec<_> = args.finish().into_iter().map(|it| it.to_string_lossy().into()).collect();
    if let Some(option) = files.iter().find(|it: &&String| it.starts_with('-')) {
        return Err(ExitError::usage(format!("unexpected argument {option:?}")));
    }
    if files.is_empty() {
        return Err(ExitError::usage("at least one file is required"));
    }
    Ok(files)
}

/// Initialises logging to standard error; `RUST_LOG` sets the level.
pub fn init_logger() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format_timestamp_millis().init();
}

/// Prints text to standard output.
#[allow(clippy::print_stdout)]
pub fn print(text: &str) {
    print!("{text}");
}

/// Prints a line to standard error.
#[allow(clippy::print_stderr)]
pub fn print_error(text: &str) {
    eprintln!("{text}");
}
