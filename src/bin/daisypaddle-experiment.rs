//! Measures detection time and false ejections of the outlier detection on seeded streams.

use std::{
    fs,
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use experiment::{ALL_SCENARIOS, Deployment, Load, Row, RunResult, Scenario};

const HELP: &str = "\
Usage: daisypaddle-experiment [options]

Measures how soon the outlier detection ejects a faulty backend server and how often it ejects a
healthy one, and compares it with fixed-threshold detectors on the same streams.

Options:
  --deployment NAME  strengur or drumscan (default: both)
  --load NAME        day or night (default: both)
  --scenario NAME    one scenario (default: all)
  --runs N           runs of each scenario (default: 20)
  --first-seed N     seed of the first run (default: 1)
  --threads N        concurrent runs (default: 2)
  --csv FILE         also write the results as comma-separated values
  --help             print this help
  --version          print the version
";

struct Options {
    deployments: Vec<Deployment>,
    loads: Vec<Load>,
    scenarios: Vec<Scenario>,
    runs: u64,
    first_seed: u64,
    threads: usize,
    csv: Option<String>,
}

#[allow(clippy::print_stdout, clippy::print_stderr)]
fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("daisypaddle-experiment {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let options = match parse(args) {
        Ok(options) => options,
        Err(e) => {
            eprintln!("daisypaddle-experiment: {e}");
            return ExitCode::from(2);
        }
    };
    let rows = measure(&options);
    print!("{}", experiment::table(&rows));
    let Some(path) = &options.csv else { return ExitCode::SUCCESS };
    match fs::write(path, experiment::csv(&rows)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("daisypaddle-experiment: cannot write {path}: {e}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut args: pico_args::Arguments) -> Result<Options, pico_args::Error> {
    let deployment = args.opt_value_from_str("--deployment")?;
    let load = args.opt_value_from_str("--load")?;
    let scenario = args.opt_value_from_str("--scenario")?;
    let options = Options {
        deployments: deployment
            .map_or(vec![Deployment::Strengur, Deployment::Drumscan], |it| vec![it]),
        loads: load.map_or(vec![Load::Day, Load::Night], |it| vec![it]),
        scenarios: scenario.map_or(ALL_SCENARIOS.to_vec(), |it| vec![it]),
        runs: args.opt_value_from_str("--runs")?.unwrap_or(20).max(1),
        first_seed: args.opt_value_from_str("--first-seed")?.unwrap_or(1),
        threads: args.opt_value_from_str("--threads")?.unwrap_or(2).max(1),
        csv: args.opt_value_from_str("--csv")?,
    };
    match args.finish().first() {
        None => Ok(options),
        Some(arg) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unexpected argument {}", arg.display()),
        }),
    }
}

fn measure(options: &Options) -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in &options.deployments {
        for load in &options.loads {
            for scenario in &options.scenarios {
                let runs = measure_scenario(options, *deployment, *load, *scenario);
                rows.extend(experiment::summarise(*deployment, *load, *scenario, &runs));
            }
        }
    }
    rows
}

fn measure_scenario(
    options: &Options,
    deployment: Deployment,
    load: Load,
    scenario: Scenario,
) -> Vec<RunResult> {
    let next_run = AtomicU64::new(0);
    let run_worker = || {
        let mut results = Vec::new();
        loop {
            let run = next_run.fetch_add(1, Ordering::Relaxed);
            if run >= options.runs {
                return results;
            }
            let seed = options.first_seed + run;
            results.push(experiment::run(deployment, load, scenario, seed));
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..options.threads).map(|_| scope.spawn(run_worker)).collect();
        threads.into_iter().flat_map(|it| it.join().expect("a run does not panic")).collect()
    })
}
