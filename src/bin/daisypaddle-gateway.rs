//! Process of a gateway fleet: an entry host with a policy for each route, or a control host.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use daisypaddle::cli::{self, ExitError};

const HELP: &str = "\
Runs one process of a daisypaddle gateway fleet.

usage: daisypaddle-gateway ROLE --settings FILE [--check]

  entry            serve callers, and tell them which addresses to use
  control          store the configuration and the registry of backend servers on disk

  --settings FILE  settings of this process, in YAML
  --check          check the settings and exit
  -h, --help       print this help
  -V, --version    print the version

Stops at SIGTERM or SIGINT, after the requests in flight; SIGHUP reloads the seeds from the
settings. Logs are JSON lines on standard output. Exit codes: 0 stopped as planned, 1 failed,
2 invalid command line, 3 invalid settings.
";

/// Timeout for flushing the last log lines: a reader that no longer reads must not delay the exit.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Role of the process in the fleet.
enum Role {
    Entry,
    Control,
}

fn main() -> ExitCode {
    cli::run_main("daisypaddle-gateway", HELP, |mut args| {
        let role = match args.subcommand()?.as_deref() {
            Some("entry") => Role::Entry,
            Some("control") => Role::Control,
            _ => return Err(ExitError::usage("the role must be entry or control")),
        };
        let path: PathBuf = args.value_from_str("--settings")?;
        let only_check = args.contains("--check");
        cli::finish(args)?;
        match role {
            Role::Entry => {
                let settings = admin::read_settings(&path, config::parse_gateway_settings)
                    .map_err(ExitError::invalid)?;
                run(only_check, || gateway::entry::run(settings, path))
            }
            Role::Control => {
                let settings = admin::read_settings(&path, config::parse_registry_settings)
                    .map_err(ExitError::invalid)?;
                run(only_check, || gateway::control::run(settings, path))
            }
        }
    })
}

/// Runs a role on a single thread, since each host of a gateway fleet has only a part of one core.
fn run<F>(only_check: bool, start: impl FnOnce() -> F) -> Result<(), ExitError>
where
    F: Future<Output = Result<(), gateway::StartError>>,
{
    if only_check {
        return Ok(());
    }
    let log_end = json_log::start(std::io::stdout()).map_err(ExitError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ExitError::failed)?;
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, start());
    if let Err(e) = &result {
        log::error!(error:% = e; "process failed");
    }
    // Does not wait for blocked disk writes, which would delay the exit.
    runtime.shutdown_background();
    log_end.wait(LOG_FLUSH_TIMEOUT);
    result.map_err(ExitError::failed)
}
