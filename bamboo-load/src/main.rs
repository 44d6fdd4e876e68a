//! Load generator, experiments and fault injection, on daemons and stand-ins that it starts as child processes.

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
Load generator, experiments and fault injection for bambooroute. Kills all processes that it started when it exits.

USAGE: bamboo-load COMMAND [OPTIONS]

COMMANDS
  quickstart                 run every main feature once: online request, batch job, results, status, timeline
  fleet                      start a fleet, print its addresses, run until interrupted
  run                        online load alone, batch load alone and both; prints throughput and percentiles
  faults                     kill and freeze processes and break the log under load; exit 1 if an item was lost or
                             duplicated, or a call ran twice or was wrongly reported as not run
  slopes                     measure the cost per host, server, workspace, item and request, for docs/CAPACITY.md
  experiment isolation       compare policies that protect online requests from batch work; --json FILE writes the rows
  rolling                    restart all hosts one by one under load; exit 1 if a request was cut off or the job is
                             incomplete
OPTIONS
  --deployment quito|bangkok|small   size of the fleet [small]
  --hosts N                  number of hosts [3 for small, 12 otherwise]
  --seconds N                duration of each phase of a run [10]
  --rate X                   online requests per second [20]
  --items N                  number of batch items [2000]
  --seed N                   seed of the random generators [1]
  --logs                     show the logs of the processes
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
        None => anyhow::bail!("missing experiment; see bamboo-load --help"),
    }
}
