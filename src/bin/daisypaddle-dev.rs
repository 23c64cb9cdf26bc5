//! Development fleet with stand-in backend servers in one process.

use std::{path::PathBuf, process::ExitCode};

use daisypaddle::{
    cli::{self, ExitError},
    dev_fleet::{self, DevFleetSettings},
};
use ids::Millis;

const HELP: &str = "\
Runs a whole daisypaddle fleet and stand-in backend servers in one process, on loopback.

usage: daisypaddle-dev [TEXT] [--entry-hosts N] [--servers N]
       [--service-ms N] [--data FOLDER]

  TEXT             configuration text [examples/strengur.yaml]
  --entry-hosts N  number of entry hosts, spread over the data centres [6]
  --servers N      number of backend servers of each service [3]
  --service-ms N   service time of a request on a backend server, in milliseconds [5]
  --data FOLDER    folder for keys and the replicated log [a temporary one]
  -h, --help       print this help
  -V, --version    print the version

Stops at SIGTERM or SIGINT.
";

fn main() -> ExitCode {
    cli::run_main("daisypaddle-dev", HELP, |mut args| {
        let entry_hosts = args.opt_value_from_str("--entry-hosts")?.unwrap_or(6);
        let servers_per_service = args.opt_value_from_str("--servers")?.unwrap_or(3);
        let service_time = args.opt_value_from_str("--service-ms")?.unwrap_or(Millis(5));
        let data_folder: Option<PathBuf> = args.opt_value_from_str("--data")?;
        let text_file: Option<PathBuf> = args.opt_free_from_str()?;
        cli::finish(args)?;
        let text_file = text_file.unwrap_or_else(|| "examples/strengur.yaml".into());
        cli::init_logger();
        let runtime = tokio::runtime::Runtime::new().map_err(ExitError::failed)?;
        runtime.block_on(run(DevFleetSettings {
            text_file,
            entry_hosts,
            servers_per_service,
            service_time,
            data_folder,
        }))
    })
}

async fn run(settings: DevFleetSettings) -> Result<(), ExitError> {
    let stop = admin::shutdown_signal().map_err(ExitError::failed)?;
    let fleet = dev_fleet::start(settings).await?;
    cli::print(&fleet.guide());
    stop.await;
    fleet.stop().await
}
