//! Load, experiments and fault runs, on stand-ins and daemons that it starts as processes.

mod deployment;
mod faults;
mod fleet;
mod generate;
mod isolation;
mod online;
mod process;
mod quickstart;
mod report;
mod rolling;
mod run;
mod slopes;
mod stats;

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
Load, experiments and fault runs of bambooroute. Everything it starts is ended when it ends.

USAGE: bamboo-load COMMAND [OPTIONS]

COMMANDS
  quickstart                 the whole path once: online answer, batch job, results, status, time line
  fleet                      start a fleet, print its addresses, run until interrupted
  run                        online alone, batch alone and both; prints throughput and percentiles
  faults                     kills, freezes and outages against processes; exit 1 if a promise broke
  slopes                     cost per host, server, workspace, item and request, for docs/CAPACITY.md
  experiment isolation       ways of yielding to online requests side by side; --json FILE writes the rows
  rolling                    a planned stop of every host in turn under load; exit 1 if a request was cut off
OPTIONS
  --deployment quito|bangkok|small   sizes of the fleet [small]
  --hosts N                  hosts [3 for small, 12 otherwise]
  --seconds N                length of each part of a run [10]
  --rate X                   online requests a second [20]
  --items N                  batch items [2000]
  --seed N                   seed of all randomness [1]
  --logs                     show the daemons' logs
";

fn main() -> anyhow::Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    let command = arguments.subcommand()?;
    if arguments.contains(["-h", "--help"]) || command.is_none() {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let system = actix_rt::System::new();
    match command.as_deref().unwrap_or_default() {
        "quickstart" => system.block_on(quickstart::quickstart(arguments)),
        "fleet" => system.block_on(run::run_fleet(arguments)),
        "faults" => system.block_on(faults::faults(arguments)),
        "slopes" => slopes::slopes(arguments),
        "experiment" => experiment(arguments),
        "rolling" => system.block_on(rolling::rolling(arguments)),
        "run" => system.block_on(run::run(arguments)),
        other => anyhow::bail!("unknown command '{other}'; see bamboo-load --help"),
    }
}

fn experiment(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    match arguments.subcommand()?.as_deref() {
        Some("isolation") => isolation::isolation(arguments),
        Some(other) => anyhow::bail!("unknown experiment '{other}'; see bamboo-load --help"),
        None => anyhow::bail!("name an experiment; see bamboo-load --help"),
    }
}
