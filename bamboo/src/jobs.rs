//! Batch jobs.

use std::time::Duration;

use bamboo_client::JobSubmission;
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

/// Interval of looking at a job that is waited for.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// `bamboo jobs`.
pub(crate) async fn run(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    match word(&mut arguments, "list, submit, get, cancel or results")?.as_str() {
        "list" => {
            finish(arguments)?;
            let jobs = session.operator.get("/api/v1/jobs").await?;
            print_jobs(
                session,
                jobs.as_array().map(Vec::as_slice).unwrap_or_default(),
            );
            Ok(())
        }
        "submit" => submit(session, arguments).await,
        "get" => get(session, arguments).await,
        "cancel" => {
            let job = word(&mut arguments, "JOB")?;
            finish(arguments)?;
            let job = session
                .operator
                .post(&format!("/api/v1/jobs/{job}/cancel"), String::new())
                .await?;
            print_jobs(session, &[job]);
            Ok(())
        }
        "results" => {
            let job = word(&mut arguments, "JOB")?;
            finish(arguments)?;
            print!(
                "{}",
                session
                    .operator
                    .get_text(&format!("/api/v1/jobs/{job}/results"))
                    .await?
            );
            Ok(())
        }
        other => Err(CommandError::Usage(format!("unknown verb 'jobs {other}'"))),
    }
}

async fn submit(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    let file: String = arguments.value_from_str(["-f", "--file"])?;
    let idempotency_key = arguments.opt_value_from_str("--idempotency-key")?;
    let window: Option<String> = arguments.opt_value_from_str("--window")?;
    let deadline: Option<String> = arguments.opt_value_from_str("--deadline")?;
    finish(arguments)?;
    let caller = session
        .caller
        .as_ref()
        .ok_or_else(|| CommandError::Usage("--caller-address is missing".into()))?;
    let window = window.map(|window| format!("completion_window={window}"));
    let deadline = deadline.map(|deadline| format!("deadline={deadline}"));
    let query = window
        .into_iter()
        .chain(deadline)
        .collect::<Vec<String>>()
        .join("&");
    let job = caller
        .submit(JobSubmission {
            body: read_file(&file)?.into(),
            idempotency_key,
            query,
        })
        .await?;
    print_jobs(session, &[job]);
    Ok(())
}

async fn get(session: &Session, mut arguments: Arguments) -> Result<(), CommandError> {
    let is_waiting = arguments.contains("--wait");
    let job = word(&mut arguments, "JOB")?;
    finish(arguments)?;
    loop {
        let job = session.operator.get(&format!("/api/v1/jobs/{job}")).await?;
        if !is_waiting || !job["ended_at_ms"].is_null() {
            print_jobs(session, &[job]);
            return Ok(());
        }
        actix_rt::time::sleep(WAIT_INTERVAL).await;
    }
}

fn print_jobs(session: &Session, jobs: &[Value]) {
    if session.format == Format::Json {
        print_json(&json!(jobs));
        return;
    }
    let row = |job: &Value| {
        let counts = &job["request_counts"];
        vec![
            cell(&job["id"]),
            cell(&job["workspace"]),
            cell(&job["serving"]),
            cell(&job["status"]),
            format!("{}/{}", counts["completed"], counts["total"]),
            cell(&counts["failed"]),
            cell(&job["is_at_risk"]),
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
