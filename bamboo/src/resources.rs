//! Resources: apply, get, describe, delete, watch.

use std::time::Duration;

use bamboo_client::Api;
use bamboo_client::ClientError;
use bamboo_config::Resource;
use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;

use crate::CommandError;
use crate::Session;
use crate::finish;
use crate::output::Format;
use crate::output::cell;
use crate::output::print_json;
use crate::output::print_table;
use crate::read_file;
use crate::word;

/// Interval of looking at a watched resource.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// `bamboo apply`.
pub(crate) async fn apply(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    let file: String = arguments.value_from_str(["-f", "--file"])?;
    finish(arguments)?;
    let resources = parse_resources(&read_file(&file)?)?;
    let mut rows = Vec::new();
    let mut first_error = None;
    for resource in resources {
        let name = format!("{} {}", resource.kind(), resource.name());
        match apply_one(&session.operator, &resource).await {
            Ok(outcome) => rows.push(vec![name, outcome]),
            Err(error) => {
                rows.push(vec![name, error.to_string()]);
                first_error = first_error.or(Some(error));
            }
        }
    }
    match session.format {
        Format::Table => print_table(&["RESOURCE", "OUTCOME"], &rows),
        Format::Json => print_json(&json!(rows)),
    }
    first_error.map_or(Ok(()), |error| Err(error.into()))
}

/// `bamboo get`.
pub(crate) async fn get(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    let kind = word(&mut arguments, "KIND")?;
    let name: Option<String> = arguments.opt_free_from_str()?;
    finish(arguments)?;
    let items = match name {
        Some(name) => vec![session.operator.get(&path(&kind, &name)).await?],
        None => {
            let list = session
                .operator
                .get(&format!("/api/v1/resources/{kind}"))
                .await?;
            list["items"].as_array().cloned().unwrap_or_default()
        }
    };
    match session.format {
        Format::Json => print_json(&json!(items)),
        Format::Table => {
            let row = |item: &Value| {
                let mut resource = item["resource"].clone();
                let name = cell(&resource["name"]);
                if let Some(fields) = resource.as_object_mut() {
                    fields.remove("name");
                    fields.remove("kind");
                }
                vec![name, cell(&item["revision"]), resource.to_string()]
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
    session: &Session,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let kind = word(&mut arguments, "KIND")?;
    let name = word(&mut arguments, "NAME")?;
    finish(arguments)?;
    let state = session
        .operator
        .get(&format!("{}/status", path(&kind, &name)))
        .await?;
    print_json(&state);
    Ok(())
}

/// `bamboo delete`.
pub(crate) async fn delete(
    session: &Session,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    let based_on: Option<u64> = arguments.opt_value_from_str("--based-on")?;
    let kind = word(&mut arguments, "KIND")?;
    let name = word(&mut arguments, "NAME")?;
    finish(arguments)?;
    let path = path(&kind, &name);
    let based_on = match based_on {
        Some(revision) => revision,
        None => session.operator.get(&path).await?["revision"]
            .as_u64()
            .unwrap_or(0),
    };
    let answer = session
        .operator
        .delete(&format!("{path}?based_on={based_on}"))
        .await?;
    println!("{kind} {name} deleted at revision {}", answer["revision"]);
    Ok(())
}

/// `bamboo watch`.
pub(crate) async fn watch(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    let mut from: u64 = arguments.opt_value_from_str("--from")?.unwrap_or(0);
    let is_once = arguments.contains("--once");
    let kind: Option<String> = arguments.opt_free_from_str()?;
    if let Some(kind) = kind {
        let name = word(&mut arguments, "NAME")?;
        finish(arguments)?;
        return watch_one(session, &path(&kind, &name), is_once).await;
    }
    finish(arguments)?;
    loop {
        let answer = session
            .operator
            .get(&format!("/api/v1/watch?from={from}"))
            .await?;
        for change in answer["changes"].as_array().into_iter().flatten() {
            match session.format {
                Format::Json => println!("{change}"),
                Format::Table => println!(
                    "{}  {} {}  {}",
                    change["offset"],
                    cell(&change["kind"]),
                    cell(&change["name"]),
                    change["outcome"]
                ),
            }
        }
        from = answer["next"].as_u64().unwrap_or(from);
        if is_once {
            return Ok(());
        }
    }
}

/// Prints a resource with its jobs, changes and refusals whenever any of them differs.
async fn watch_one(session: &Session, path: &str, is_once: bool) -> Result<(), CommandError> {
    let mut shown = Value::Null;
    loop {
        let state = session.operator.get(&format!("{path}/status")).await?;
        if state != shown {
            print_json(&state);
            shown = state;
        }
        if is_once {
            return Ok(());
        }
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn apply_one(api: &Api, resource: &Resource) -> Result<String, ClientError> {
    let path = path(resource.kind().name(), resource.name());
    let wanted = json!(resource);
    let based_on = match api.get(&path).await {
        Ok(current) if current["resource"] == wanted => {
            return Ok(format!("unchanged at revision {}", current["revision"]));
        }
        Ok(current) => current["revision"].as_u64().unwrap_or(0),
        Err(ClientError::ErrorResponse { status: 404, .. }) => 0,
        Err(error) => return Err(error),
    };
    let answer = api
        .put(&format!("{path}?based_on={based_on}"), wanted.to_string())
        .await?;
    Ok(format!("applied at revision {}", answer["revision"]))
}

/// Reads TOML with `[[resource]]` tables, or JSON with one resource or a list.
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
        let name = cell(&value["name"]);
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

fn path(kind: &str, name: &str) -> String {
    format!("/api/v1/resources/{kind}/{name}")
}
