//! Runs one stand-in: `platform`, `engine` or `plain`.

use std::net::TcpListener;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use bamboo_engine::EngineOptions;
use bamboo_standin::EngineStandinConfig;
use bamboo_standin::LogOptions;
use bamboo_standin::serve_engine;
use bamboo_standin::serve_plain;
use bamboo_standin::serve_platform;
use pico_args::Arguments;

const HELP: &str = "\
Stand-ins (test doubles) of the systems that bambooroute depends on.

USAGE: bamboo-standin <platform|engine|plain> --listen IP:PORT [OPTIONS]

platform: log service, host list and weight store
  --appends-per-s N       maximum appends to the log per second [400]
  --retention-s N         retention of log entries, in seconds [86400]
  --host-list-lag-ms N    delay before a host list is visible, in ms [1000]
engine: a model engine
  --name NAME             name of the engine [engine]
  --model NAME            a loaded model; repeat for several models
  --max-sequences N       maximum number of concurrent sequences [64]
  --speed X               factor by which the engine is faster than the cost model [1]
  --checks-fencing        reject orders with a stale fencing token
plain: a plain service that records its calls
  --name NAME             name of the service [plain]
PUT /admin/faults configures fault injection; see docs/operators/STANDINS.md.
";

fn main() -> anyhow::Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let role = arguments
        .subcommand()?
        .context("missing role: expected platform, engine or plain")?;
    let address: String = arguments.value_from_str("--listen")?;
    let listener =
        TcpListener::bind(&address).with_context(|| format!("cannot listen on {address}"))?;
    actix_rt::System::new().block_on(run(&role, listener, arguments))
}

async fn run(role: &str, listener: TcpListener, mut arguments: Arguments) -> anyhow::Result<()> {
    match role {
        "platform" => {
            let options = LogOptions {
                appends_per_s: arguments
                    .opt_value_from_str("--appends-per-s")?
                    .unwrap_or(400.0),
                retention: Duration::from_secs(
                    arguments
                        .opt_value_from_str("--retention-s")?
                        .unwrap_or(86_400),
                ),
                ..LogOptions::default()
            };
            let lag_ms = arguments
                .opt_value_from_str("--host-list-lag-ms")?
                .unwrap_or(1000);
            reject_unknown(arguments)?;
            serve_platform(listener, options, Duration::from_millis(lag_ms)).await?;
        }
        "engine" => {
            let config = parse_engine_config(&mut arguments)?;
            reject_unknown(arguments)?;
            serve_engine(listener, config).await?;
        }
        "plain" => {
            let name = arguments
                .opt_value_from_str("--name")?
                .unwrap_or_else(|| "plain".to_owned());
            reject_unknown(arguments)?;
            serve_plain(listener, name).await?;
        }
        other => bail!("unknown role '{other}': expected platform, engine or plain"),
    }
    Ok(())
}

fn parse_engine_config(arguments: &mut Arguments) -> anyhow::Result<EngineStandinConfig> {
    let defaults = EngineOptions::default();
    let speed: f64 = arguments.opt_value_from_str("--speed")?.unwrap_or(1.0);
    if !speed.is_finite() || speed <= 0.0 {
        bail!("--speed must be a finite number greater than 0");
    }
    Ok(EngineStandinConfig {
        name: arguments
            .opt_value_from_str("--name")?
            .unwrap_or_else(|| "engine".to_owned()),
        models: arguments.values_from_str("--model")?,
        options: EngineOptions {
            max_sequences: arguments
                .opt_value_from_str("--max-sequences")?
                .unwrap_or(defaults.max_sequences),
            step_base: defaults.step_base.div_f64(speed),
            step_per_sequence: defaults.step_per_sequence.div_f64(speed),
            prefill_per_token: defaults.prefill_per_token.div_f64(speed),
            ..defaults
        },
        load_lag: Duration::from_millis(500),
        event_lag: Duration::from_millis(300),
        checks_fencing: arguments.contains("--checks-fencing"),
    })
}

fn reject_unknown(arguments: Arguments) -> anyhow::Result<()> {
    let rest = arguments.finish();
    if rest.is_empty() {
        Ok(())
    } else {
        bail!("unknown arguments: {rest:?}")
    }
}
