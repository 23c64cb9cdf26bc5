//! Command line for operators.

use std::{process::ExitCode, time::Duration};

use daisypaddle::{
    cli::{self, ExitError},
    commands::{self, ControlOptions},
};
use ids::{HostId, Millis, ServerId};
use pico_args::Arguments;

const HELP: &str = "\
Operates a daisypaddle fleet.

usage: daisypaddle COMMAND [OPTIONS]

commands:
  check FILE                 check a configuration text without contacting the fleet
  submit FILE [--wait SECS]  submit a new version of the text; with --wait, wait until every live
                             entry host has it in force
  current                    print the text in force
  status                     print the control hosts and the hosts of the fleet
  audit                      print and verify the audit trail
  remove-voter HOST          remove a lost control host from the replicated log
  servers --entry ADDRESS    print the status of the backend servers on an entry host
  explain SERVER --entry ADDRESS
                             print why a backend server is in or out of rotation
  trace ID FILE... [--around MS]
                             print the log lines of a request in the order of their times; with
                             --around, also those about its servers up to MS milliseconds before
                             and after

options:
  --control ADDRESSES        admin addresses of the control hosts, separated by commas
  --token-file FILE          file with the operator's token
  --entry ADDRESS            admin address of an entry host
  -h, --help                 print this help
  -V, --version              print the version

Exit codes: 0 done, 1 failed or unreachable, 2 invalid command line, 3 invalid configuration
text, 4 refused (conflict, version out of order).
";

fn main() -> ExitCode {
    cli::run_main("daisypaddle", HELP, |mut args| {
        let command = args.subcommand()?;
        let command = command.ok_or_else(|| ExitError::usage("no command given"))?;
        if command == "check" {
            let file: String = args.free_from_str()?;
            cli::finish(args)?;
            return commands::check(&file);
        }
        if command == "trace" {
            let around: Option<u64> = args.opt_value_from_str("--around")?;
            let id: String = args.free_from_str()?;
            let files = cli::remaining_files(args)?;
            return commands::trace(&id, around.map(Millis), &files);
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ExitError::failed)?;
        runtime.block_on(run(&command, args))
    })
}

async fn run(command: &str, mut args: Arguments) -> Result<(), ExitError> {
    match command {
        "submit" => {
            let control = control_options(&mut args)?;
            let wait: Option<u64> = args.opt_value_from_str("--wait")?;
            let file: String = args.free_from_str()?;
            cli::finish(args)?;
            commands::submit(&control, &file, wait.map(Duration::from_secs)).await
        }
        "current" => {
            let control = only_control_options(args)?;
            commands::current(&control).await
        }
        "status" => {
            let control = only_control_options(args)?;
            commands::status(&control).await
        }
        "audit" => {
            let control = only_control_options(args)?;
            commands::audit(&control).await
        }
        "remove-voter" => {
            let control = control_options(&mut args)?;
            let host: HostId = args.free_from_str()?;
            cli::finish(args)?;
            commands::remove_voter(&control, host).await
        }
        "servers" => {
            let entry = args.value_from_str("--entry")?;
            cli::finish(args)?;
            commands::servers(entry).await
        }
        "explain" => {
            let entry = args.value_from_str("--entry")?;
            let server: ServerId = args.free_from_str()?;
            cli::finish(args)?;
            commands::explain(entry, &server).await
        }
        other => Err(ExitError::usage(format!("unknown command `{other}`"))),
    }
}

fn only_control_options(mut args: Arguments) -> Result<ControlOptions, ExitError> {
    let control = control_options(&mut args)?;
    cli::finish(args)?;
    Ok(control)
}

fn control_options(args: &mut Arguments) -> Result<ControlOptions, ExitError> {
    let addresses: String = args.value_from_str("--control")?;
    let token_file: String = args.value_from_str("--token-file")?;
    ControlOptions::read(&addresses, &token_file)
}
