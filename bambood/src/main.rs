//! The bambooroute host daemon.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use bamboo_config::Settings;
use bamboo_config::parse_settings;
use bamboo_diagnostics::Layout;
use bamboo_diagnostics::Output;
use pico_args::Arguments;

const HELP: &str = "\
The host daemon of bambooroute.

USAGE: bambood --settings FILE
       bambood --check-settings FILE

  --settings FILE        run with these settings
  --check-settings FILE  check the settings, print every error, exit 0 if there is none
  --version              print the version
SIGTERM or SIGINT starts a graceful shutdown.
";

fn main() -> anyhow::Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.contains("--version") {
        println!("bambood {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(file) = arguments.opt_value_from_str::<_, String>("--check-settings")? {
        return Ok(
            read_settings(Path::new(&file))?.map_or(ExitCode::from(2), |_| {
                println!("{file}: no faults");
                ExitCode::SUCCESS
            }),
        );
    }
    let file: String = arguments
        .value_from_str("--settings")
        .context("--settings FILE is required; see --help")?;
    let Some(settings) = read_settings(Path::new(&file))? else {
        return Ok(ExitCode::from(2));
    };
    start_logging(settings.is_log_json);
    let ended = actix_rt::System::new().block_on(bamboo_node::run(settings));
    bamboo_diagnostics::wait_until_written(bamboo_diagnostics::LAST_LINES_TIMEOUT);
    ended?;
    Ok(ExitCode::SUCCESS)
}

/// Reads and validates a settings file. Prints the errors and returns `None` if there are any.
fn read_settings(file: &Path) -> anyhow::Result<Option<Settings>> {
    let text =
        std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    match parse_settings(&text) {
        Ok(settings) => Ok(Some(settings)),
        Err(errors) => {
            for error in errors {
                eprintln!("{}: {error}", file.display());
            }
            Ok(None)
        }
    }
}

fn start_logging(is_json: bool) {
    bamboo_diagnostics::start(bamboo_diagnostics::Options {
        output: Output::Stderr,
        layout: match is_json {
            true => Layout::Json,
            false => Layout::Text,
        },
    });
}
