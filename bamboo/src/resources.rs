//! Resource commands: apply, get, describe, delete, watch.

use std::time::Duration;

use bamboo_client::Api;
use bamboo_client::ClientError;
use bamboo_config::Resource;
use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;

use crate::CliContext;
use crate::CommandError;
use crate::next_argument;
use crate::output::Format;
use crate::output::format_cell;
use crate::output::print_json;
use crate::output::print_table;
use crate::read_file;
use crate::reject_remaining;

/// Poll interval of `watch KIND NAME`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// `bamboo apply`.
pub(crate) async fn apply(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let file: String = arguments.value_from_str(["-f", "--file"])?;
    reject_remaining(arguments)?;
    let resources = parse_resources(&read_file(&file)?)?;
    let mut rows = Vec::new();
    let mut first_error = None;
    for resource in resources {
        let name = format!("{} {}", resource.kind(), resource.name());
        match apply_resource(&context.operator_api, &resource).await {
            Ok(outcome) => rows.push(vec![name, outcome]),
            Err(error) => {
                rows.push(vec![name, error.to_string()]);
                first_error = first_error.or(Some(error));
            }
        }
    }
    match context.format {
        Format::Table => print_table(&["RESOURCE", "OUTCOME"], &rows),
        Format::Json => print_json(&json!(rows)),
    }
    first_error.map_or(Ok(()), |error| Err(error.into()))
}

/// `bamboo get`.
pub(crate) async fn get(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let kind = next_argument(&mut arguments, "KIND")?;
    let name: Option<String> = arguments.opt_free_from_str()?;
    reject_remaining(arguments)?;
    let items = match name {
        Some(name) => vec![
            context
                .operator_api
                .get(&resource_path(&kind, &name))
                .await?,
        ],
        None => {
            let list = context
                .operator_api
                .get(&format!("/api/v1/resources/{kind}"))
                .await?;
            list["items"].as_array().cloned().unwrap_or_default()
        }
    };
    match context.format {
        Format::Json => print_json(&json!(items)),
        Format::Table => {
            let row = |item: &Value| {
                let mut resource = item["resource"].clone();
                let name = format_cell(&resource["name"]);
                if let Some(fields) = resource.as_object_mut() {
                    fields.remove("name");
                    fields.remove("kind");
                }
                vec![name, format_cell(&item["revision"]), resource.to_string()]
            };
            print_table(
                &["NAME", "REVISION", "FIELDS"],
                &items.iter().map(row).collect::<Vec<_>>(),
            );
        }
    }
    Ok(())
}

/// `bamboo describe`.
pub(crate) async fn describe(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let kind = next_argument(&mut arguments, "KIND")?;
    let name = next_argument(&mut arguments, "NAME")?;
    reject_remaining(arguments)?;
    let state = context
        .operator_api
        .get(&format!("{}/status", resource_path(&kind, &name)))
        .await?;
    print_json(&state);
    Ok(())
}

/// `bamboo delete`.
pub(crate) async fn delete(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let based_on: Option<u64> = arguments.opt_value_from_str("--based-on")?;
    let kind = next_argument(&mut arguments, "KIND")?;
    let name = next_argument(&mut arguments, "NAME")?;
    reject_remaining(arguments)?;
    let path = resource_path(&kind, &name);
    let based_on = match based_on {
        Some(revision) => revision,
        None => context.operator_api.get(&path).await?["revision"]
            .as_u64()
            .unwrap_or(0),
    };
    let response = context
        .operator_api
        .delete(&format!("{path}?based_on={based_on}"))
        .await?;
    println!("{kind} {name} deleted at revision {}", response["revision"]);
    Ok(())
}

/// `bamboo watch`.
pub(crate) async fn watch(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let mut from: u64 = arguments.opt_value_from_str("--from")?.unwrap_or(0);
    let is_once = arguments.contains("--once");
    let kind: Option<String> = arguments.opt_free_from_str()?;
    if let Some(kind) = kind {
        let name = next_argument(&mut arguments, "NAME")?;
        reject_remaining(arguments)?;
        return watch_resource(context, &resource_path(&kind, &name), is_once).await;
    }
    reject_remaining(arguments)?;
    loop {
        let response = context
            .operator_api
            .get(&format!("/api/v1/watch?from={from}"))
            .await?;
        for change in response["changes"].as_array().into_iter().flatten() {
            match context.format {
                Format::Json => println!("{change}"),
                Format::Table => println!(
                    "{}  {} {}  {}",
                    change["offset"],
                    format_cell(&change["kind"]),
                    format_cell(&change["name"]),
                    change["outcome"]
                ),
            }
        }
        from = response["next"].as_u64().unwrap_or(from);
        if is_once {
            return Ok(());
        }
    }
}

/// Polls a resource with its jobs, changes and rejected changes, and prints it whenever the response differs from the
/// last one.
async fn watch_resource(
    context: &CliContext,
    path: &str,
    is_once: bool,
) -> Result<(), CommandError> {
    let mut last_printed = Value::Null;
    loop {
        let state = context.operator_api.get(&format!("{path}/status")).await?;
        if state != last_printed {
            print_json(&state);
            last_printed = state;
        }
        if is_once {
            return Ok(());
        }
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn apply_resource(api: &Api, resource: &Resource) -> Result<String, ClientError> {
    let path = resource_path(resource.kind().name(), resource.name());
    let desired = json!(resource);
    let based_on = match api.get(&path).await {
        Ok(current) if current["resource"] == desired => {
            return Ok(format!("unchanged at revision {}", current["revision"]));
        }
        Ok(current) => current["revision"].as_u64().unwrap_or(0),
        Err(ClientError::ErrorResponse { status: 404, .. }) => 0,
        Err(error) => return Err(error),
    };
    let response = api
        .put(&format!("{path}?based_on={based_on}"), desired.to_string())
        .await?;
    Ok(format!("applied at revision {}", response["revision"]))
}

/// Parses TOML with `[[resource]]` tables, or JSON with one resource or a list. Text that starts with `{` or a single
/// `[` is JSON.
fn parse_resources(text: &str) -> Result<Vec<Resource>, CommandError> {
    let is_json = text.trim_start().starts_with(['{', '[']) && !text.trim_start().starts_with("[[");
    let value: Value = match is_json {
        true => serde_json::from_str(text).map_err(|error| CommandError::Other(error.into()))?,
        false => toml::from_str(text).map_err(|error| CommandError::Other(error.into()))?,
    };
    let list = match value {
        Value::Array(list) => list,
        Value::Object(mut fields) => match fields.remove("resource") {
            Some(Value::Array(list)) => list,
            _ => vec![Value::Object(fields)],
        },
        other => vec![other],
    };
    let mut resources = Vec::new();
    for (index, value) in list.into_iter().enumerate() {
        let name = format_cell(&value["name"]);
        let resource = serde_json::from_value(value).map_err(|error| {
            CommandError::Other(anyhow::anyhow!(
                "resource {} ('{name}'): {error}",
                index + 1
            ))
        })?;
        resources.push(resource);
    }
    Ok(resources)
}

fn resource_path(kind: &str, name: &str) -> String {
    format!("/api/v1/resources/{kind}/{name}")
}
