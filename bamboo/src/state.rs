//! Hosts: status and planned stop.

use pico_args::Arguments;
use serde_json::Value;

use crate::CommandError;
use crate::Session;
use crate::finish;
use crate::output::Format;
use crate::output::cell;
use crate::output::print_json;
use crate::output::print_table;

/// `bamboo status`.
pub(crate) async fn status(session: &Session, arguments: Arguments) -> Result<(), CommandError> {
    finish(arguments)?;
    let status = session.operator.get("/api/v1/status").await?;
    if session.format == Format::Json {
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
        println!("{field}: {}", cell(&status[field]));
    }
    println!("live_hosts: {}", status["live_hosts"]);
    let rows = |list: &Value, fields: &[&str]| -> Vec<Vec<String>> {
        let items = list.as_array().into_iter().flatten();
        items
            .map(|item| fields.iter().map(|field| cell(&item[field])).collect())
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
pub(crate) async fn drain(session: &Session, arguments: Arguments) -> Result<(), CommandError> {
    finish(arguments)?;
    session
        .operator
        .post("/api/v1/drain", String::new())
        .await?;
    println!("the planned stop has begun");
    Ok(())
}
