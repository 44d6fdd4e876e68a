//! Where an event stream began.

use serde::Deserialize;
use serde::Serialize;

use crate::SoftwareVersion;

/// Service and software version of the server that sent the first event of a stream. Only servers of that version can
/// go on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the server.
    pub service: String,
    /// Version of the server's software.
    pub version: SoftwareVersion,
}
