//! Load generator with bounds on its rate and duration.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use daisypaddle::{
    cli::{self, ExitError},
    load::{self, LoadPlan},
};

const HELP: &str = "\
Sends requests at a fixed rate on one or two lanes: through entry hosts and, for comparison,
directly to a backend server.

usage: daisypaddle-load --entries ADDRESSES [OPTIONS]

  --entries ADDRESSES  caller addresses of entry hosts, separated by commas
  --direct ADDRESS     backend server of the direct lane [no direct lane]
  --path PATH          path of the requests [/queue/1]
  --organisation NAME  organisation of the caller [load]
  --keys PREFIX        send POST requests, each with its own idempotency key
  --rate N             requests per second on each lane, at most 20000 [500]
  --seconds N          duration of the run, at most 600 [10]
  --connections N      connections of each lane, at most 1024 [32]
  -h, --help           print this help
  -V, --version        print the version

The latency of a request includes the wait for a free connection.
";

fn main() -> ExitCode {
    cli::run_main("daisypaddle-load", HELP, |mut args| {
        let entries: String = args.value_from_str("--entries")?;
        let entries: Result<Vec<SocketAddr>, _> =
            entries.split(',').map(|it| it.trim().parse()).collect();
        let seconds: u32 = args.opt_value_from_str("--seconds")?.unwrap_or(10);
        let plan = LoadPlan {
            entries: entries.map_err(|e| ExitError::usage(format!("--entries: {e}")))?,
            direct: args.opt_value_from_str("--direct")?,
            path: args.opt_value_from_str("--path")?.unwrap_or_else(|| "/queue/1".to_owned()),
            organisation: args
                .opt_value_from_str("--organisation")?
                .unwrap_or_else(|| "load".to_owned()),
            key_prefix: args.opt_value_from_str("--keys")?,
            rate: args.opt_value_from_str("--rate")?.unwrap_or(500),
            duration: Duration::from_secs(seconds.into()),
            connections: args.opt_value_from_str("--connections")?.unwrap_or(32),
        };
        cli::finish(args)?;
        let is_bounded = (1..=load::MAX_RATE).contains(&plan.rate)
            && (1..=load::MAX_SECONDS).contains(&seconds)
            && (1..=1024).contains(&plan.connections);
        if !is_bounded {
            return Err(ExitError::usage("--rate, --seconds or --connections is out of range"));
        }
        let runtime = tokio::runtime::Runtime::new().map_err(ExitError::failed)?;
        let report = runtime.block_on(load::run(&plan));
        cli::print(&report.to_string());
        Ok(())
    })
}
