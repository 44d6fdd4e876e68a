//! Non-idempotent calls with a caller's key.

use bamboo_log::RecordId;
use serde::Deserialize;
use serde::Serialize;

/// What is known of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyClaimState {
    /// Claimed; it may be running or its outcome may be lost.
    Claimed,
    /// Ended with a whole answer.
    Ended {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
    },
}

/// The first claim of a key, which is the only one that may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The claim.
    pub claim: RecordId,
    /// Digest of the call.
    pub digest: u128,
    /// Time of the claim, milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// How far it is.
    pub state: KeyClaimState,
}
