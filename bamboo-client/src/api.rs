//! Requests to the HTTP interfaces of one daemon.

use std::time::Duration;

use awc::Client;
use awc::ClientResponse;
use awc::http::Method;
use bytes::Bytes;
use serde_json::Value;

use crate::ClientError;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a job submission, whose body may be large.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(3600);
/// Maximum size of a response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 1 << 30;

/// A client of one HTTP interface of one daemon. Sends its key as a bearer token.
#[derive(Clone)]
pub struct Api {
    client: Client,
    base_url: String,
    key: String,
}

/// A request to submit a batch job.
#[derive(Debug, Clone, Default)]
pub struct JobSubmission {
    /// The items, one JSON object per line.
    pub body: Bytes,
    /// Value of the `idempotency-key` header, if any.
    pub idempotency_key: Option<String>,
    /// Query string of the URL, without `?`.
    pub query: String,
}

impl Api {
    /// Returns a client of the interface at `ip:port`.
    ///
    /// ```
    /// let api = bamboo_client::Api::new("127.0.0.1:9", "key");
    /// assert_eq!(api.base_url(), "http://127.0.0.1:9");
    /// ```
    pub fn new(address: &str, key: &str) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Api {
            client,
            base_url: format!("http://{address}"),
            key: key.to_owned(),
        }
    }

    /// Returns the base URL, without a trailing slash.
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Sends a GET request and returns the JSON of the response, or null if its body is empty.
    ///
    /// # Errors
    /// Fails if the request fails, if the status is not a success, or if the response is not JSON.
    pub async fn get(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a PUT request with a JSON body and returns the JSON of the response, or null if its body is empty.
    ///
    /// # Errors
    /// Fails if the request fails, if the status is not a success, or if the response is not JSON.
    pub async fn put(&self, path: &str, body: String) -> Result<Value, ClientError> {
        self.call(Method::PUT, path, body.into()).await
    }

    /// Sends a POST request with a JSON body and returns the JSON of the response, or null if its body is empty.
    ///
    /// # Errors
    /// Fails if the request fails, if the status is not a success, or if the response is not JSON.
    pub async fn post(&self, path: &str, body: String) -> Result<Value, ClientError> {
        self.call(Method::POST, path, body.into()).await
    }

    /// Sends a DELETE request and returns the JSON of the response, or null if its body is empty.
    ///
    /// # Errors
    /// Fails if the request fails, if the status is not a success, or if the response is not JSON.
    pub async fn delete(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    /// Sends a GET request and returns the text of the response. Replaces invalid UTF-8.
    ///
    /// # Errors
    /// Fails if the request fails, if the status is not a success, or if the body is cut off.
    pub async fn get_text(&self, path: &str) -> Result<String, ClientError> {
        let request = self
            .client
            .get(format!("{}{path}", self.base_url))
            .bearer_auth(&self.key);
        let mut response = request.send().await.map_err(transport_error)?;
        ensure_success(&mut response).await?;
        let body = response
            .body()
            .limit(RESPONSE_MAX_BYTES)
            .await
            .map_err(transport_error)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Submits a batch job and returns its description.
    ///
    /// # Errors
    /// Fails if the job was not accepted. After [`ClientError::Transport`] it may have been accepted nevertheless.
    pub async fn submit(&self, submission: JobSubmission) -> Result<Value, ClientError> {
        let url = format!("{}/v1/batches?{}", self.base_url, submission.query);
        let mut request = self
            .client
            .post(url)
            .bearer_auth(&self.key)
            .timeout(UPLOAD_TIMEOUT);
        if let Some(key) = submission.idempotency_key {
            request = request.insert_header(("idempotency-key", key));
        }
        let request = request.content_type("application/jsonl");
        let mut response = request
            .send_body(submission.body)
            .await
            .map_err(transport_error)?;
        ensure_success(&mut response).await?;
        json_body(&mut response).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, ClientError> {
        let request = self
            .client
            .request(method, format!("{}{path}", self.base_url))
            .bearer_auth(&self.key);
        let request = request.content_type("application/json");
        let mut response = request.send_body(body).await.map_err(transport_error)?;
        ensure_success(&mut response).await?;
        json_body(&mut response).await
    }
}

async fn ensure_success(response: &mut ClientResponse) -> Result<(), ClientError> {
    if response.status().is_success() {
        return Ok(());
    }
    let status = response.status().as_u16();
    let body = response.json().await.unwrap_or(Value::Null);
    Err(ClientError::ErrorResponse { status, body })
}

async fn json_body(response: &mut ClientResponse) -> Result<Value, ClientError> {
    let body = response
        .body()
        .limit(RESPONSE_MAX_BYTES)
        .await
        .map_err(transport_error)?;
    if body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(&body).map_err(transport_error)
}

fn transport_error<E>(error: E) -> ClientError
where
    E: std::fmt::Display,
{
    ClientError::Transport(error.to_string())
}
