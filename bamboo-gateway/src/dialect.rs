//! Everything that depends on the platform: header names, formats of bodies and the HTTP API of the store.

use std::time::Duration;

use bamboo_fleet::FleetConfig;
use bamboo_fleet::Server;
use bamboo_shards::ItemRecord;
use bamboo_shards::JobRecord;
use bamboo_shards::ResultPage;
use bamboo_types::PromptPartId;
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

/// Names of the platform's HTTP headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request, which servers echo in their responses.
    pub request_id: HeaderName,
    /// Time until the sender stops waiting for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Server that the request is intended for. Another server at the same address rejects it.
    pub expected_server: HeaderName,
    /// Set by a server on its responses as proof that they are its own.
    pub server_stamp: HeaderName,
    /// Set by a server that rejected the request without running it.
    pub not_run: HeaderName,
    /// Set to 1 by a server that is about to leave.
    pub leaving: HeaderName,
    /// Set by a server that takes a limited rate of requests from all hosts together, in requests per second.
    pub request_limit: HeaderName,
    /// Identifier of the last event that the sender received, from which a stream is resumed.
    pub last_event_id: HeaderName,
    /// Set by a caller that takes a stream up again: the request that brought its first event.
    pub resumes: HeaderName,
    /// Name of the caller's workspace, for the server.
    pub workspace: HeaderName,
}

/// A call concerning a job that has been submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Reads a page of results.
    Read {
        /// Identifier of the job.
        job: String,
        /// Number of results to skip.
        after: usize,
        /// Maximum time to wait for a result if there is none (long polling).
        wait: Duration,
    },
    /// Reads the body of an item.
    ItemBody {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
    },
    /// Cancels the job.
    Cancel {
        /// Identifier of the job.
        job: String,
    },
}

impl JobCall {
    /// Identifier of the job that the call concerns.
    pub fn job(&self) -> &str {
        match self {
            JobCall::Read { job, .. } | JobCall::ItemBody { job, .. } | JobCall::Cancel { job } => {
                job
            }
        }
    }
}

/// An HTTP request to the store.
#[derive(Debug, Clone)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Media type of the body; `None` without a body.
    pub content_type: Option<&'static str>,
    /// Body, possibly empty.
    pub body: Bytes,
}

/// Header names, formats and topics of a platform.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of the HTTP headers.
    pub headers: HeaderNames,
    /// Parses a call concerning a job; `None` for any other request.
    pub parse_job_call: fn(&Method, &Uri, &HeaderMap) -> Option<JobCall>,
    /// Decodes the parts of a request's prompt from its headers. All but the last one may be shared with other requests.
    pub decode_prompt_parts: fn(&HeaderMap) -> Vec<PromptPartId>,
    /// Decodes the items in the body of a job submission.
    pub decode_job_items: fn(&[u8]) -> anyhow::Result<Vec<ItemRecord>>,
    /// Texts in the body of a job submission at most. Decoding fails at more.
    pub job_texts_max: usize,
    /// Encodes a page of results.
    pub encode_results_page: fn(&JobRecord, &ResultPage) -> anyhow::Result<Vec<u8>>,
    /// Decodes a configuration.
    pub decode_config: fn(&[u8]) -> anyhow::Result<FleetConfig>,
    /// Decodes the directory entry of a server from its key and value.
    pub decode_server: fn(&str, &[u8]) -> anyhow::Result<Server>,
    /// Encodes a request to the store.
    pub encode_store_call: fn(&StoreRequest) -> anyhow::Result<StoreCall>,
    /// Decodes the store's response to a request from its status and body.
    pub decode_store_reply: fn(&StoreRequest, u16, &[u8]) -> Result<StoreReply, StoreError>,
    /// Topic that holds the configuration.
    pub config_topic: &'static str,
    /// Key of the configuration in its topic.
    pub config_key: &'static str,
    /// Topic that holds the directory entries of servers.
    pub servers_topic: &'static str,
    /// Name prefix of compacted topics, which keep only the newest record of each key.
    pub keyed_prefix: &'static str,
}
