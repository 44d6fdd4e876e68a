//! Command-line interface for operators.

mod help;
mod host;
mod jobs;
mod output;
mod resources;

use std::process::ExitCode;

use anyhow::Context;
use bamboo_client::Api;
use bamboo_client::ClientError;
use pico_args::Arguments;

use crate::output::Format;

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// Why a command failed.
pub(crate) enum CommandError {
    /// The arguments are invalid.
    Usage(String),
    /// A request to the daemon failed.
    Call(ClientError),
    /// Any other error, such as an unreadable file.
    Other(anyhow::Error),
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        CommandError::Call(error)
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        CommandError::Other(error)
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        CommandError::Usage(error.to_string())
    }
}

/// API clients and output format, built from the options that all commands share.
pub(crate) struct CliContext {
    pub(crate) operator_api: Api,
    pub(crate) caller_api: Option<Api>,
    pub(crate) format: Format,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let wants_help = arguments.contains(["-h", "--help"]);
    if arguments.contains("--version") {
        println!("bamboo {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if wants_help {
        print!(
            "{}",
            help::text(arguments.subcommand().ok().flatten().as_deref())
        );
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(error),
    }
}

async fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    // Options may precede the command, so they are parsed first.
    let context = parse_context(&mut arguments)?;
    let command = arguments
        .subcommand()?
        .ok_or_else(|| CommandError::Usage("missing command; see bamboo --help".into()))?;
    match command.as_str() {
        "apply" => resources::apply(&context, arguments).await,
        "get" => resources::get(&context, arguments).await,
        "describe" => resources::describe(&context, arguments).await,
        "delete" => resources::delete(&context, arguments).await,
        "watch" => resources::watch(&context, arguments).await,
        "jobs" => jobs::run(&context, arguments).await,
        "status" => host::status(&context, arguments).await,
        "drain" => host::drain(&context, arguments).await,
        other => Err(CommandError::Usage(format!(
            "unknown command '{other}'; see bamboo --help"
        ))),
    }
}

fn parse_context(arguments: &mut Arguments) -> Result<CliContext, CommandError> {
    let address = value_or_env(arguments, "--address", "BAMBOO_ADDRESS")?
        .unwrap_or_else(|| "127.0.0.1:7001".into());
    let key = value_or_env(arguments, "--key", "BAMBOO_KEY")?.unwrap_or_default();
    let caller_address = value_or_env(arguments, "--caller-address", "BAMBOO_CALLER_ADDRESS")?;
    let caller_key =
        value_or_env(arguments, "--caller-key", "BAMBOO_CALLER_KEY")?.unwrap_or_default();
    let format = match arguments
        .opt_value_from_str::<_, String>(["-o", "--output"])?
        .as_deref()
    {
        None | Some("table") => Format::Table,
        Some("json") => Format::Json,
        Some(other) => {
            return Err(CommandError::Usage(format!(
                "--output {other}: expected json or table"
            )));
        }
    };
    Ok(CliContext {
        operator_api: Api::new(&address, &key),
        caller_api: caller_address.map(|address| Api::new(&address, &caller_key)),
        format,
    })
}

fn value_or_env(
    arguments: &mut Arguments,
    flag: &'static str,
    name: &str,
) -> Result<Option<String>, CommandError> {
    let value = arguments.opt_value_from_str(flag)?;
    Ok(value.or_else(|| std::env::var(name).ok()))
}

/// Removes and returns the next positional argument; `name` identifies it in the error if there is none.
pub(crate) fn next_argument(arguments: &mut Arguments, name: &str) -> Result<String, CommandError> {
    arguments
        .free_from_str()
        .map_err(|_| CommandError::Usage(format!("{name} is missing")))
}

/// Returns a usage error if any arguments were not consumed.
pub(crate) fn reject_remaining(arguments: Arguments) -> Result<(), CommandError> {
    let remaining = arguments.finish();
    if remaining.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Usage(format!(
            "unknown arguments: {remaining:?}"
        )))
    }
}

/// Reads a file, or standard input if the path is `-`.
pub(crate) fn read_file(path: &str) -> Result<String, CommandError> {
    let text = match path {
        "-" => std::io::read_to_string(std::io::stdin()),
        path => std::fs::read_to_string(path),
    };
    Ok(text.with_context(|| format!("cannot read {path}"))?)
}

fn report_error(error: CommandError) -> ExitCode {
    match error {
        CommandError::Usage(message) => {
            eprintln!("bamboo: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        CommandError::Call(error) => {
            eprintln!("bamboo: {error}");
            if let ClientError::ErrorResponse { body, .. } = &error
                && !body["error"]["current"].is_null()
            {
                eprintln!("current: {}", body["error"]["current"]);
            }
            ExitCode::from(error.exit_code())
        }
        CommandError::Other(error) => {
            eprintln!("bamboo: {error:#}");
            ExitCode::FAILURE
        }
    }
}
