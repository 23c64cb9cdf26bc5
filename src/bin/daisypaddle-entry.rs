//! Entry host, which proxies callers' requests to backend servers.

use std::{path::PathBuf, process::ExitCode};

use daisypaddle::cli::{self, ExitError};

const HELP: &str = "\
Runs an entry host of a daisypaddle fleet.

usage: daisypaddle-entry --settings FILE [--check]

  --settings FILE  settings of this host, in YAML
  --check          check the settings and exit
  -h, --help       print this help
  -V, --version    print the version

Stops at SIGTERM or SIGINT, after the requests in flight. Exit codes: 0 stopped as planned,
1 failed, 2 invalid command line, 3 invalid settings.
";

fn main() -> ExitCode {
    cli::run_main("daisypaddle-entry", HELP, |mut args| {
        let path: PathBuf = args.value_from_str("--settings")?;
        let only_check = args.contains("--check");
        cli::finish(args)?;
        let settings = admin::read_settings(&path, config::parse_entry_settings)
            .map_err(ExitError::invalid)?;
        if only_check {
            return Ok(());
        }
        cli::init_logger();
        let runtime = tokio::runtime::Runtime::new().map_err(ExitError::failed)?;
        runtime.block_on(run(settings))
    })
}

async fn run(settings: schema::settings::EntrySettings) -> Result<(), ExitError> {
    let stop = admin::shutdown_signal().map_err(ExitError::failed)?;
    let host = entry::start(settings).await.map_err(ExitError::failed)?;
    stop.await;
    if !host.stop().await {
        return Err(ExitError::failed("the planned stop did not complete in time"));
    }
    Ok(())
}
