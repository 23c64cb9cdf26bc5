//! Control host, which keeps the replicated configuration and the audit trail.

use std::{path::PathBuf, process::ExitCode};

use daisypaddle::cli::{self, ExitError};

const HELP: &str = "\
Runs a control host of a daisypaddle fleet.

usage: daisypaddle-control --settings FILE [--bootstrap] [--check]

  --settings FILE  settings of this host, in YAML
  --bootstrap      bootstrap a new cluster if the data folder is empty; give it to all voters at
                   the first start of the cluster, and never again
  --check          check the settings and exit
  -h, --help       print this help
  -V, --version    print the version

Stops at SIGTERM or SIGINT. Exit codes: 0 stopped as planned, 1 failed, 2 invalid command line,
3 invalid settings.
";

fn main() -> ExitCode {
    cli::run_main("daisypaddle-control", HELP, |mut args| {
        let path: PathBuf = args.value_from_str("--settings")?;
        let bootstrap = args.contains("--bootstrap");
        let only_check = args.contains("--check");
        cli::finish(args)?;
        let settings = admin::read_settings(&path, config::parse_control_settings)
            .map_err(ExitError::invalid)?;
        if only_check {
            return Ok(());
        }
        cli::init_logger();
        let runtime = tokio::runtime::Runtime::new().map_err(ExitError::failed)?;
        runtime.block_on(run(settings, bootstrap))
    })
}

async fn run(
    settings: schema::settings::ControlSettings,
    bootstrap: bool,
) -> Result<(), ExitError> {
    let stop = admin::shutdown_signal().map_err(ExitError::failed)?;
    let mut host = control::start(settings, bootstrap).await.map_err(ExitError::failed)?;
    tokio::select! {
        () = stop => {}
        e = host.failed() => return Err(ExitError::failed(e)),
    }
    log::info!("control host stops");
    host.stop().await.map_err(ExitError::failed)
}
