//! Host commands: status and drain.

use pico_args::Arguments;
use serde_json::Value;

use crate::CliContext;
use crate::CommandError;
use crate::output::Format;
use crate::output::format_cell;
use crate::output::print_json;
use crate::output::print_table;
use crate::reject_remaining;

/// `bamboo status`.
pub(crate) async fn status(context: &CliContext, arguments: Arguments) -> Result<(), CommandError> {
    reject_remaining(arguments)?;
    let status = context.operator_api.get("/api/v1/status").await?;
    if context.format == Format::Json {
        print_json(&status);
        return Ok(());
    }
    for field in [
        "host",
        "is_ready",
        "is_draining",
        "config_offset",
        "online_requests",
        "unsettled_outcomes",
    ] {
        println!("{field}: {}", format_cell(&status[field]));
    }
    println!("live_hosts: {}", status["live_hosts"]);
    let rows = |list: &Value, fields: &[&str]| -> Vec<Vec<String>> {
        let items = list.as_array().into_iter().flatten();
        items
            .map(|item| {
                fields
                    .iter()
                    .map(|field| format_cell(&item[field]))
                    .collect()
            })
            .collect()
    };
    let shard_fields = ["shard", "epoch", "next_offset", "jobs", "held_items"];
    print_table(
        &["SHARD", "EPOCH", "NEXT OFFSET", "JOBS", "HELD"],
        &rows(&status["shards"], &shard_fields),
    );
    print_table(
        &["SERVER", "ONLINE", "BATCH"],
        &rows(&status["servers"], &["server", "online", "batch"]),
    );
    Ok(())
}

/// `bamboo drain`.
pub(crate) async fn drain(context: &CliContext, arguments: Arguments) -> Result<(), CommandError> {
    reject_remaining(arguments)?;
    context
        .operator_api
        .post("/api/v1/drain", String::new())
        .await?;
    println!("drain started");
    Ok(())
}
