//! Open-loop load of streamed online requests. Measures the time to the first token and between tokens.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::deployment::CALLER_KEY;
use crate::generate::interarrival_time;
use crate::generate::prompt;

/// Upper bound of the latency histograms, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Outcomes and latencies of an online load.
#[derive(Debug)]
pub(crate) struct OnlineResult {
    pub(crate) sent_count: u64,
    pub(crate) complete_count: u64,
    pub(crate) refused_count: u64,
    pub(crate) failed_count: u64,
    pub(crate) first_failure: Option<String>,
    pub(crate) token_count: u64,
    pub(crate) first_token_us: Histogram<u64>,
    pub(crate) inter_token_us: Histogram<u64>,
}

impl OnlineResult {
    fn record_failure(&mut self, reason: String) {
        self.failed_count += 1;
        self.first_failure.get_or_insert(reason);
    }

    fn new() -> anyhow::Result<Self> {
        Ok(OnlineResult {
            sent_count: 0,
            complete_count: 0,
            refused_count: 0,
            failed_count: 0,
            first_failure: None,
            token_count: 0,
            first_token_us: Histogram::new_with_max(LATENCY_MAX_US, 3)?,
            inter_token_us: Histogram::new_with_max(LATENCY_MAX_US, 3)?,
        })
    }
}

/// Parameters of an online load.
#[derive(Debug, Clone)]
pub(crate) struct OnlineLoad {
    /// Caller addresses to which requests are sent round-robin. May change while the load runs.
    pub(crate) addresses: Rc<RefCell<Vec<String>>>,
    pub(crate) model: &'static str,
    pub(crate) rate_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) max_tokens: usize,
    pub(crate) seed: u64,
}

/// Sends requests at the given rate without waiting for earlier ones, and then waits until all have ended.
///
/// # Errors
/// Fails if a histogram cannot be made.
pub(crate) async fn run_online(load: OnlineLoad) -> anyhow::Result<OnlineResult> {
    let result = Rc::new(RefCell::new(OnlineResult::new()?));
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    for number in 0.. {
        due += interarrival_time(&mut rng, load.rate_per_s);
        if due >= load.duration {
            break;
        }
        let body = json!({
            "model": load.model, "prompt": prompt(&mut rng), "max_tokens": load.max_tokens, "stream": true
        });
        actix_rt::time::sleep_until((started_at + due).into()).await;
        let address = {
            let addresses = load.addresses.borrow();
            addresses[number % addresses.len()].clone()
        };
        tasks.push(actix_rt::spawn(send_request(
            client.clone(),
            address,
            body,
            Rc::clone(&result),
        )));
    }
    for task in tasks {
        task.await?;
    }
    let result = Rc::try_unwrap(result)
        .map_err(|_| anyhow::anyhow!("a request still references the result"))?;
    Ok(result.into_inner())
}

async fn send_request(
    client: Client,
    address: String,
    body: Value,
    result: Rc<RefCell<OnlineResult>>,
) {
    result.borrow_mut().sent_count += 1;
    let started_at = Instant::now();
    let request = client
        .post(format!("http://{address}/v1/completions"))
        .bearer_auth(CALLER_KEY);
    let mut response = match request.send_json(&body).await {
        Ok(response) if response.status().is_success() => response,
        Ok(response) if matches!(response.status().as_u16(), 429 | 503 | 504) => {
            result.borrow_mut().refused_count += 1;
            return;
        }
        Ok(response) => {
            result
                .borrow_mut()
                .record_failure(format!("{address}: status {}", response.status()));
            return;
        }
        Err(error) => {
            result
                .borrow_mut()
                .record_failure(format!("{address}: {error}"));
            return;
        }
    };
    let mut last_at = started_at;
    let mut is_first = true;
    let mut stream_tail = Vec::new();
    while let Some(Ok(chunk)) = response.next().await {
        let now = Instant::now();
        let elapsed_us = (now - last_at).as_micros() as u64;
        let mut result = result.borrow_mut();
        let event_count = chunk
            .windows(6)
            .filter(|window| *window == b"data: ")
            .count() as u64;
        result.token_count += event_count;
        let histogram = if is_first {
            &mut result.first_token_us
        } else {
            &mut result.inter_token_us
        };
        histogram.saturating_record(elapsed_us);
        is_first = false;
        last_at = now;
        stream_tail.extend_from_slice(&chunk);
        let keep_from = stream_tail.len().saturating_sub(64);
        stream_tail.drain(..keep_from);
    }
    let mut result = result.borrow_mut();
    if stream_tail.ends_with(b"data: [DONE]\n\n") {
        result.complete_count += 1;
        result.token_count -= 1;
    } else {
        result.record_failure(format!("{address}: stream ended without [DONE]"));
    }
}
