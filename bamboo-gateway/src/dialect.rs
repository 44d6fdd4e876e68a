//! What differs between platforms: names of headers, formats of bodies, and the calls of the store.

use std::time::Duration;

use bamboo_fleet::FleetConfig;
use bamboo_fleet::Server;
use bamboo_shards::ItemRecord;
use bamboo_shards::JobRecord;
use bamboo_shards::ResultPage;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use serde::Deserialize;
use serde::Serialize;

use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Names of headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request, echoed by servers.
    pub request_id: HeaderName,
    /// Time that the sender waits, milliseconds.
    pub deadline_ms: HeaderName,
    /// Server that a request is meant for.
    pub expected_server: HeaderName,
    /// Proof of a server that the answer is its own.
    pub server_stamp: HeaderName,
    /// Says that the server did not run the request.
    pub not_run: HeaderName,
    /// Last event that the sender has.
    pub last_event_id: HeaderName,
}

/// A call about a job that was submitted before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Read results.
    Read {
        /// Job.
        job: String,
        /// First position.
        after: usize,
        /// How long the caller waits for a result.
        wait: Duration,
    },
    /// Read the body of an item.
    ItemBody {
        /// Job.
        job: String,
        /// Item.
        item: String,
    },
    /// End the job.
    Cancel {
        /// Job.
        job: String,
    },
}

impl JobCall {
    /// The job that the call is about.
    pub fn job(&self) -> &str {
        match self {
            JobCall::Read { job, .. } | JobCall::ItemBody { job, .. } | JobCall::Cancel { job } => {
                job
            }
        }
    }
}

/// A call of the store, ready to be sent.
#[derive(Debug, Clone)]
pub struct StoreHttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Media type of the body, if there is one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
}

/// The platform's names, formats and calls.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Recognises calls about jobs.
    pub read_job_call: fn(&Method, &Uri, &HeaderMap) -> Option<JobCall>,
    /// Reads the items of a submitted job.
    pub read_job_items: fn(&[u8]) -> anyhow::Result<Vec<ItemRecord>>,
    /// Writes results.
    pub write_results_page: fn(&JobRecord, &ResultPage) -> anyhow::Result<Vec<u8>>,
    /// Reads a configuration.
    pub read_config: fn(&[u8]) -> anyhow::Result<FleetConfig>,
    /// Reads the entry of a server.
    pub read_server: fn(&str, &[u8]) -> anyhow::Result<Server>,
    /// Writes a call of the store.
    pub write_store_request: fn(&StoreRequest) -> anyhow::Result<StoreHttpRequest>,
    /// Reads an answer of the store.
    pub read_store_reply: fn(&StoreRequest, u16, &[u8]) -> Result<StoreReply, StoreError>,
    /// Topic of the configuration.
    pub config_topic: &'static str,
    /// Key of the configuration.
    pub config_key: &'static str,
    /// Topic of the servers' entries.
    pub servers_topic: &'static str,
    /// Start of the names of topics that keep the newest record of each key.
    pub keyed_prefix: &'static str,
}
