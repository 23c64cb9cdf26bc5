//! Runs fault soaks with real processes on loopback. Build the binaries first:
//!
//! `cargo build --release && cargo run --release --example daisypaddle-soak -- --seed 1 --seeds 50`
//!
//! A seed repeats its schedule of faults. Exits with 1 if a promise was broken.

#![allow(clippy::print_stdout, clippy::print_stderr)]

#[path = "../../tests/gateway/mod.rs"]
#[allow(clippy::duplicate_mod)]
mod gateway;
#[path = "../../tests/soak/mod.rs"]
#[allow(clippy::duplicate_mod)]
mod soak;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use soak::roll::{Direction, OldBuild};

/// Highest number of gateways, bound by the addresses of a fleet's subnet.
const MAX_GATEWAYS: u8 = 200;

const HELP: &str = "\
Usage: daisypaddle-soak [--seed N] [--seeds COUNT] [--seconds LENGTH] [--gateways COUNT]
                       [--old-build PATH [--back]]

  --seed N          the first seed (1)
  --seeds COUNT     how many seeds to run, one after the other (1)
  --seconds LENGTH  how long faults begin and end in each run (30)
  --gateways COUNT  how many gateways run beside three control hosts, 2 to 200 (6)
  --old-build PATH  begins with this older binary and replaces each host by the new build, one after
                    the other, with a way back halfway; takes about 100 s for nine hosts
  --back            begins with the new build and replaces each host by the older one
";

/// What to run.
struct Options {
    seed: u64,
    seeds: u64,
    length: Duration,
    gateways: u8,
    old_build: Option<OldBuild>,
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let options = match read_options(args) {
        Ok(options) => options,
        Err(e) => {
            eprint!("{e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut failed = Vec::new();
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        let report = soak::run(seed, options.length, options.gateways, options.old_build.as_ref());
        print!("{report}");
        if !report.findings.is_empty() {
            failed.push(report.seed);
        }
    }
    println!("{} of {} seeds with findings: {failed:?}", failed.len(), options.seeds);
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn read_options(mut args: pico_args::Arguments) -> Result<Options, String> {
    let old_build: Option<PathBuf> =
        args.opt_value_from_str("--old-build").map_err(|e| e.to_string())?;
    let direction = if args.contains("--back") { Direction::NewToOld } else { Direction::OldToNew };
    let old_build = old_build.map(|binary| OldBuild { binary, direction });
    let mut number = |name: &'static str, default: u64| {
        args.opt_value_from_str(name).map_err(|e| e.to_string()).map(|it| it.unwrap_or(default))
    };
    let (seed, seeds, seconds) =
        (number("--seed", 1)?, number("--seeds", 1)?, number("--seconds", 30)?);
    let gateways = number("--gateways", 6)?;
    let gateways = u8::try_from(gateways).ok().filter(|it| (2..=MAX_GATEWAYS).contains(it));
    let gateways = gateways.ok_or("--gateways takes 2 to 200")?;
    let rest = args.finish();
    match rest.first() {
        Some(unknown) => Err(format!("unknown argument {}", unknown.to_string_lossy())),
        None => {
            Ok(Options { seed, seeds, length: Duration::from_secs(seconds), gateways, old_build })
        }
    }
}
