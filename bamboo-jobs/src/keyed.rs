//! Claims of idempotency keys by non-idempotent calls.

use bamboo_log::RecordId;
use serde::Deserialize;
use serde::Serialize;

/// State of a call that claimed its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyClaimState {
    /// The key is claimed. The call may be running, or its outcome may be lost.
    Claimed,
    /// The call ended with a complete response, which is replayed to retries.
    Ended {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
    },
}

/// The first claim of an idempotency key. Only the call that made it may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Record that made the claim.
    pub claim: RecordId,
    /// Digest of the call's method, path and body.
    pub digest: u128,
    /// Time of the claim, milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// State of the call.
    pub state: KeyClaimState,
}
