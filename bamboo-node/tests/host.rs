//! Tests of a single host through its HTTP APIs: accepted requests and error responses.

mod support;

use bamboo_client::JobSubmission;
use serde_json::Value;
use serde_json::json;
use support::TestHost;
use support::error_code;
use support::error_message;
use support::execution_status;
use support::run;
use support::wait_until;

fn completion(model: &str) -> String {
    json!({ "model": model, "prompt": "check nozzle N1", "max_tokens": 6 }).to_string()
}

fn lines(count: usize) -> Vec<String> {
    let line = |index| {
        let body =
            json!({ "model": "narrador", "prompt": format!("athlete {index}"), "max_tokens": 4 });
        json!({ "custom_id": format!("i{index}"), "body": body }).to_string()
    };
    (0..count).map(line).collect()
}

async fn submit(
    host: &TestHost,
    lines: &[String],
    key: &str,
    query: &str,
) -> Result<Value, bamboo_client::ClientError> {
    let submission = JobSubmission {
        body: lines.join("\n").into(),
        idempotency_key: Some(key.into()),
        query: query.into(),
    };
    host.caller().submit(submission).await
}

/// Waits until a job is completed, and returns its results.
async fn completed_results(host: &TestHost, path: &str) -> String {
    wait_until(|| async {
        host.caller()
            .get(path)
            .await
            .is_ok_and(|job| job["status"] == "completed")
    })
    .await;
    host.caller()
        .get_text(&format!("{path}/results"))
        .await
        .expect("results")
}

#[test]
fn online_responses_are_complete_and_models_are_listed_per_caller() {
    run(async {
        let host = TestHost::start().await;
        let answer = host
            .caller()
            .post("/v1/completions", completion("narrador"))
            .await
            .expect("an answer");
        let text = answer["choices"][0]["text"]
            .as_str()
            .expect("text")
            .to_owned();
        let count = answer["usage"]["completion_tokens"]
            .as_u64()
            .expect("count");
        assert_eq!(text.split_whitespace().count() as u64, count);
        let models = host.caller().get("/v1/models").await.expect("models");
        assert_eq!(models["data"][0]["id"], "narrador");
        assert_eq!(
            host.other_caller().get("/v1/models").await.expect("models")["data"],
            json!([])
        );
    });
}

#[test]
fn invalid_online_requests_get_numeric_error_codes() {
    run(async {
        let host = TestHost::start().await;
        let caller = host.caller();
        assert_eq!(
            error_code(caller.post("/v1/completions", "{".into()).await),
            2000
        );
        assert_eq!(
            error_code(caller.post("/v1/completions", "{}".into()).await),
            2000
        );
        assert_eq!(
            error_code(caller.post("/v1/completions", completion("other")).await),
            2004
        );
        assert_eq!(
            error_code(
                host.other_caller()
                    .post("/v1/completions", completion("narrador"))
                    .await
            ),
            2003
        );
        let unknown_caller = bamboo_client::Api::new(&host.callers, "no-such-key");
        assert_eq!(
            error_code(
                unknown_caller
                    .post("/v1/completions", completion("narrador"))
                    .await
            ),
            2002
        );
        let large = json!({ "model": "narrador", "prompt": "x".repeat(8192) }).to_string();
        assert_eq!(
            error_code(caller.post("/v1/completions", large).await),
            2001
        );
        let zero = json!({ "model": "narrador", "prompt": "a", "max_tokens": 0 }).to_string();
        assert!(error_message(caller.post("/v1/completions", zero).await).contains("max_tokens"));
        assert_eq!(error_code(caller.get("/v1/no-such-path").await), 2005);
    });
}

#[test]
fn a_job_runs_and_is_visible_only_in_its_workspace() {
    run(async {
        let host = TestHost::start().await;
        let job = submit(&host, &lines(30), "rankings", "completion_window=1h")
            .await
            .expect("accepted");
        let path = format!("/v1/batches/{}", job["id"].as_str().expect("id"));
        let results = completed_results(&host, &path).await;
        let mut ids: Vec<String> = results
            .lines()
            .map(|line| {
                serde_json::from_str::<Value>(line).expect("JSON")["custom_id"]
                    .as_str()
                    .expect("id")
                    .to_owned()
            })
            .collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), 30);
        assert_eq!(error_code(host.other_caller().get(&path).await), 2005);
        assert_eq!(
            host.other_caller().get("/v1/batches").await.expect("list")["data"],
            json!([])
        );
        let again = submit(&host, &lines(30), "rankings", "completion_window=1h")
            .await
            .expect("the same job");
        assert_eq!(again["id"], job["id"]);
        assert_eq!(
            error_code(submit(&host, &lines(31), "rankings", "").await),
            2008
        );
    });
}

/// The last line of the upload has no newline, and its item does not fit into the chunk of the 1,000 items before.
#[test]
fn the_last_item_of_an_upload_is_not_lost() {
    run(async {
        let host = TestHost::start().await;
        let job = submit(&host, &lines(1_001), "season", "completion_window=1h")
            .await
            .expect("accepted");
        let path = format!("/v1/batches/{}", job["id"].as_str().expect("id"));
        let results = completed_results(&host, &path).await;
        assert!(results.contains("\"i1000\""), "the last item has a result");
    });
}

#[test]
fn invalid_jobs_are_rejected_as_a_whole_and_the_error_names_the_line() {
    run(async {
        let host = TestHost::start().await;
        let mut broken = lines(3);
        broken[1] = "{\"custom_id\": ".to_owned();
        let error = submit(&host, &broken, "a", "").await;
        assert!(error_message(error).starts_with("line 2: "));
        let mut duplicate = lines(3);
        duplicate[2] = duplicate[0].clone();
        assert!(
            error_message(submit(&host, &duplicate, "b", "").await)
                .contains("line 3: custom_id 'i0' stands twice")
        );
        assert_eq!(error_code(submit(&host, &[], "c", "").await), 2006);
        assert_eq!(
            error_code(submit(&host, &lines(1), "d", "deadline=2001-01-01T00:00:00Z").await),
            2007
        );
        assert_eq!(
            error_code(submit(&host, &lines(1), "e", "completion_window=soon").await),
            2007
        );
        assert_eq!(
            error_code(submit(&host, &lines(1), "f", "window=1h").await),
            2000
        );
        let other =
            json!({ "custom_id": "x", "body": { "model": "other", "prompt": "a" } }).to_string();
        assert_eq!(error_code(submit(&host, &[other], "g", "").await), 2004);
        assert_eq!(
            host.caller().get("/v1/batches").await.expect("list")["data"],
            json!([])
        );
    });
}

#[test]
fn items_that_the_engine_rejects_end_as_failed() {
    run(async {
        let host = TestHost::start().await;
        let mut items = lines(4);
        let body = json!({ "model": "narrador", "prompt": "[impossible]" });
        items.push(json!({ "custom_id": "bad", "body": body }).to_string());
        let job = submit(&host, &items, "with-bad", "")
            .await
            .expect("accepted");
        let path = format!("/v1/batches/{}", job["id"].as_str().expect("id"));
        wait_until(|| async {
            host.caller()
                .get(&path)
                .await
                .is_ok_and(|job| job["status"] == "completed")
        })
        .await;
        let job = host.caller().get(&path).await.expect("job");
        assert_eq!(
            job["request_counts"],
            json!({ "total": 5, "completed": 4, "failed": 1, "running": 0 })
        );
        let results = host
            .caller()
            .get_text(&format!("{path}/results"))
            .await
            .expect("results");
        let bad = results
            .lines()
            .find(|line| line.contains("\"bad\""))
            .expect("its line");
        assert!(bad.contains("item_failed"), "{bad}");
    });
}

#[test]
fn service_calls_are_forwarded_unchanged_and_keyed_calls_run_once() {
    run(async {
        let host = TestHost::start().await;
        let answer = host
            .caller()
            .get("/services/ledger-api/athletes/7?club=a%20b")
            .await
            .expect("an answer");
        assert_eq!(answer["call"]["path"], "/athletes/7?club=a%20b");
        assert_eq!(
            error_code(
                host.other_caller()
                    .get("/services/ledger-api/athletes/7")
                    .await
            ),
            2003
        );
        assert_eq!(
            error_code(host.caller().get("/services/no-such-service/a").await),
            2005
        );
        for _ in 0..3 {
            let url = format!("http://{}/services/ledger-api/entries", host.callers);
            let request = awc::Client::default().post(url).bearer_auth("office-key");
            let mut response = request
                .insert_header(("idempotency-key", "entry-12"))
                .send_body("x")
                .await
                .expect("sent");
            assert!(
                response.status().is_success(),
                "{:?}",
                response.body().await
            );
        }
        let calls = bamboo_client::Api::new(&host.plain, "")
            .get("/admin/calls")
            .await
            .expect("calls");
        let keyed = calls
            .as_array()
            .expect("list")
            .iter()
            .filter(|call| call["path"] == "/entries")
            .count();
        assert_eq!(keyed, 1);
    });
}

#[test]
fn a_mismatched_or_truncated_response_is_never_passed_on_as_complete() {
    run(async {
        let host = TestHost::start().await;
        host.set_faults(&host.plain, json!({ "cross_every": 1 }))
            .await;
        assert_eq!(
            error_code(
                host.caller()
                    .post("/services/ledger-api/entries", "x".into())
                    .await
            ),
            4002
        );
        host.set_faults(&host.plain, json!({ "cut_every": 1 }))
            .await;
        // The connection breaks before or after the answer's head; either way the outcome is unknown.
        let error = host
            .caller()
            .post("/services/ledger-api/entries", "x".into())
            .await;
        assert_eq!(execution_status(error), "unknown");
        let calls = bamboo_client::Api::new(&host.plain, "")
            .get("/admin/calls")
            .await
            .expect("calls");
        assert_eq!(
            calls.as_array().map(Vec::len),
            Some(2),
            "each call ran once"
        );
        host.set_faults(&host.plain, json!({})).await;
        host.set_faults(&host.engine, json!({ "cut_every": 1 }))
            .await;
        let body =
            json!({ "model": "narrador", "prompt": "a b", "max_tokens": 20, "stream": true });
        let request =
            awc::Client::default().post(format!("http://{}/v1/completions", host.callers));
        let mut response = request
            .bearer_auth("office-key")
            .send_json(&body)
            .await
            .expect("sent");
        let text = String::from_utf8_lossy(&response.body().await.expect("body")).into_owned();
        assert!(
            !text.contains("[DONE]") && text.contains("answer_cut"),
            "{text}"
        );
    });
}

#[test]
fn a_log_outage_rejects_jobs_at_once_and_does_not_affect_online_requests() {
    run(async {
        let host = TestHost::start().await;
        host.set_faults(&host.platform, json!({ "log": { "is_out": true } }))
            .await;
        wait_until(|| async {
            let error = submit(&host, &lines(1), "outage", "").await;
            error_code(error) == 3003
        })
        .await;
        host.caller()
            .post("/v1/completions", completion("narrador"))
            .await
            .expect("online goes on");
        host.set_faults(&host.platform, json!({})).await;
        wait_until(|| async { submit(&host, &lines(1), "outage", "").await.is_ok() }).await;
    });
}

#[test]
fn stale_resource_changes_conflict_and_errors_name_the_field() {
    run(async {
        let host = TestHost::start().await;
        let operator = host.operator();
        let model = |versions: Value| {
            json!({ "kind": "model", "name": "m", "versions": versions }).to_string()
        };
        let path = "/api/v1/resources/model/m?based_on=0";
        operator
            .put(path, model(json!(["1"])))
            .await
            .expect("applied");
        let Err(bamboo_client::ClientError::ErrorResponse { status, body }) =
            operator.put(path, model(json!(["2"]))).await
        else {
            panic!("no conflict");
        };
        assert_eq!(
            (status, &body["error"]["current"]["versions"]),
            (409, &json!(["1"]))
        );
        assert!(error_message(operator.put(path, model(json!([]))).await).contains("versions"));
        assert_eq!(
            error_code(
                bamboo_client::Api::new(&host.operators, "wrong")
                    .get("/api/v1/status")
                    .await
            ),
            2002
        );
        let watched = operator.get("/api/v1/watch?from=0").await.expect("changes");
        assert!(watched["changes"].to_string().contains("conflict"));
    });
}
