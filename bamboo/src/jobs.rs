//! Batch job commands.

use std::time::Duration;

use bamboo_client::JobSubmission;
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

/// Poll interval of `jobs get --wait`.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// `bamboo jobs`.
pub(crate) async fn run(
    context: &CliContext,
    mut arguments: Arguments,
) -> Result<(), CommandError> {
    match next_argument(&mut arguments, "list, submit, get, cancel or results")?.as_str() {
        "list" => {
            reject_remaining(arguments)?;
            let jobs = context.operator_api.get("/api/v1/jobs").await?;
            print_jobs(
                context,
                jobs.as_array().map(Vec::as_slice).unwrap_or_default(),
            );
            Ok(())
        }
        "submit" => submit(context, arguments).await,
        "get" => get(context, arguments).await,
        "cancel" => {
            let job = next_argument(&mut arguments, "JOB")?;
            reject_remaining(arguments)?;
            let job = context
                .operator_api
                .post(&format!("/api/v1/jobs/{job}/cancel"), String::new())
                .await?;
            print_jobs(context, &[job]);
            Ok(())
        }
        "results" => {
            let job = next_argument(&mut arguments, "JOB")?;
            reject_remaining(arguments)?;
            print!(
                "{}",
                context
                    .operator_api
                    .get_text(&format!("/api/v1/jobs/{job}/results"))
                    .await?
            );
            Ok(())
        }
        other => Err(CommandError::Usage(format!(
            "unknown command 'jobs {other}'; see bamboo jobs --help"
        ))),
    }
}

async fn submit(context: &CliContext, mut arguments: Arguments) -> Result<(), CommandError> {
    let file: String = arguments.value_from_str(["-f", "--file"])?;
    let idempotency_key = arguments.opt_value_from_str("--idempotency-key")?;
    let window: Option<String> = arguments.opt_value_from_str("--window")?;
    let deadline: Option<String> = arguments.opt_value_from_str("--deadline")?;
    reject_remaining(arguments)?;
    let caller_api = context
        .caller_api
        .as_ref()
        .ok_or_else(|| CommandError::Usage("--caller-address is missing".into()))?;
    let window = window.map(|window| format!("completion_window={window}"));
    let deadline = deadline.map(|deadline| format!("deadline={deadline}"));
    let query = window
        .into_iter()
        .chain(deadline)
        .collect::<Vec<String>>()
        .join("&");
    let job = caller_api
        .submit(JobSubmission {
            body: read_file(&file)?.into(),
            idempotency_key,
            query,
        })
        .await?;
    print_jobs(context, &[job]);
    Ok(())
}

async fn get(context: &CliContext, mut arguments: Arguments) -> Result<(), CommandError> {
    let waits_for_end = arguments.contains("--wait");
    let job = next_argument(&mut arguments, "JOB")?;
    reject_remaining(arguments)?;
    loop {
        let job = context
            .operator_api
            .get(&format!("/api/v1/jobs/{job}"))
            .await?;
        if !waits_for_end || !job["ended_at_ms"].is_null() {
            print_jobs(context, &[job]);
            return Ok(());
        }
        actix_rt::time::sleep(WAIT_INTERVAL).await;
    }
}

fn print_jobs(context: &CliContext, jobs: &[Value]) {
    if context.format == Format::Json {
        print_json(&json!(jobs));
        return;
    }
    let row = |job: &Value| {
        let counts = &job["request_counts"];
        vec![
            format_cell(&job["id"]),
            format_cell(&job["workspace"]),
            format_cell(&job["serving"]),
            format_cell(&job["status"]),
            format!("{}/{}", counts["completed"], counts["total"]),
            format_cell(&counts["failed"]),
            format_cell(&job["is_at_risk"]),
        ]
    };
    let headings = [
        "JOB",
        "WORKSPACE",
        "SERVING",
        "STATUS",
        "DONE",
        "FAILED",
        "AT RISK",
    ];
    print_table(&headings, &jobs.iter().map(row).collect::<Vec<_>>());
}
