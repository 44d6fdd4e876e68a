//! Client of the platform: log service and host list. A platform with different APIs is supported by changing this
//! file.

use std::time::Duration;

use anyhow::Context;
use awc::Client;
use awc::error::SendRequestError;
use bamboo_log::AppendAnswer;
use bamboo_log::Entry;
use bamboo_log::ReadAnswer;
use bamboo_log::StreamId;
use bamboo_member::HostEntry;
use bamboo_member::HostState;
use bamboo_types::BackendServerId;
use bamboo_types::Offset;
use bamboo_types::decode_bincode;
use serde::Deserialize;

use crate::engine_client::is_connection_never_established;

/// Timeout of one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the log service may hold a long-polling read open while there are no entries.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1500);
/// Timeout of one read, on top of the long-poll wait.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the response to a read, bytes.
const READ_MAX_BYTES: usize = 16 << 20;

/// A page of a stream, as the log service encodes it.
#[derive(Deserialize)]
struct WirePage {
    oldest: Offset,
    tail: Offset,
    entries: Vec<(Offset, Vec<u8>)>,
}

impl WirePage {
    fn into_read_answer(self, from: Offset) -> ReadAnswer {
        let page = self;
        let entries = page.entries.into_iter();
        let entries = entries
            .map(|(offset, bytes)| (offset, Entry::try_from(bytes.as_slice()).ok()))
            .collect();
        ReadAnswer {
            from,
            entries,
            oldest: page.oldest,
            tail: page.tail,
        }
    }
}

#[derive(Deserialize)]
struct WireHost {
    host: String,
    data_centre: String,
    peer_address: String,
    #[serde(default)]
    is_leaving: bool,
}

#[derive(Deserialize)]
struct WireHostList {
    hosts: Vec<WireHost>,
    leaving_servers: Vec<BackendServerId>,
}

impl From<WireHost> for HostEntry {
    fn from(host: WireHost) -> Self {
        HostEntry {
            host: host.host,
            data_centre: host.data_centre,
            peer_address: host.peer_address,
            state: if host.is_leaving {
                HostState::Leaving
            } else {
                HostState::Live
            },
        }
    }
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

/// Client of the platform; each thread has its own.
#[derive(Clone)]
pub(crate) struct PlatformClient {
    client: Client,
    log_url: String,
    host_list_url: String,
}

impl PlatformClient {
    pub(crate) fn new(log_url: &str, host_list_url: &str) -> Self {
        let client = Client::builder()
            .timeout(LONG_POLL_WAIT + READ_TIMEOUT)
            .finish();
        PlatformClient {
            client,
            log_url: log_url.to_owned(),
            host_list_url: host_list_url.to_owned(),
        }
    }

    /// Appends an entry. Without a response that it was stored or refused the outcome is unknown, unless no connection
    /// was established: that counts as refused.
    pub(crate) async fn append(&self, stream: StreamId, bytes: Vec<u8>) -> AppendAnswer {
        let url = format!("{}/{stream}", self.log_url);
        let mut response = match self
            .client
            .post(url)
            .timeout(APPEND_TIMEOUT)
            .send_body(bytes)
            .await
        {
            Ok(response) => response,
            Err(SendRequestError::Connect(error)) if is_connection_never_established(&error) => {
                return AppendAnswer::Refused(Duration::ZERO);
            }
            Err(_) => return AppendAnswer::Unknown,
        };
        match response.status().as_u16() {
            200 => match response.json::<Appended>().await {
                Ok(appended) => AppendAnswer::Stored(appended.offset),
                Err(_) => AppendAnswer::Unknown,
            },
            429 | 503 => {
                let header = response.headers().get("retry-after-ms");
                let wait_ms = header
                    .and_then(|value| value.to_str().ok()?.parse().ok())
                    .unwrap_or(0);
                AppendAnswer::Refused(Duration::from_millis(wait_ms))
            }
            _ => AppendAnswer::Unknown,
        }
    }

    /// Reads a page of a stream from an offset on, with a long poll if asked for.
    ///
    /// # Errors
    /// Fails if the service does not answer with a page.
    pub(crate) async fn read(
        &self,
        stream: StreamId,
        from: Offset,
        is_long_poll: bool,
    ) -> anyhow::Result<ReadAnswer> {
        let wait_ms = if is_long_poll {
            LONG_POLL_WAIT.as_millis()
        } else {
            0
        };
        let url = format!("{}/{stream}?from={from}&wait_ms={wait_ms}", self.log_url);
        let response = self.client.get(url).send().await;
        let mut response = response.map_err(|error| anyhow::anyhow!("log read: {error}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "log read: status {}",
            response.status()
        );
        let bytes = response
            .body()
            .limit(READ_MAX_BYTES)
            .await
            .context("log read: body")?;
        let page: WirePage = decode_bincode(&bytes).context("log read: page")?;
        Ok(page.into_read_answer(from))
    }

    /// Reads the entry at an offset; `None` if the log does not return it or it cannot be decoded.
    ///
    /// # Errors
    /// Fails if the service does not answer with a page.
    pub(crate) async fn read_entry(
        &self,
        stream: StreamId,
        offset: Offset,
    ) -> anyhow::Result<Option<Entry>> {
        let page = self.read(stream, offset, false).await?;
        let found = page.entries.into_iter().find(|(at, _)| *at == offset);
        Ok(found.and_then(|(_, entry)| entry))
    }

    /// Reads the list of hosts and of backend servers that are leaving.
    ///
    /// # Errors
    /// Fails if the platform does not return a list.
    pub(crate) async fn host_list(&self) -> anyhow::Result<(Vec<HostEntry>, Vec<BackendServerId>)> {
        let response = self.client.get(&self.host_list_url).send().await;
        let mut response = response.map_err(|error| anyhow::anyhow!("host list: {error}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "host list: status {}",
            response.status()
        );
        let list: WireHostList = response
            .json()
            .limit(READ_MAX_BYTES)
            .await
            .context("host list")?;
        Ok((
            list.hosts.into_iter().map(HostEntry::from).collect(),
            list.leaving_servers,
        ))
    }
}
