//! Terms of a slot request: for whom it is, and how it competes with others.

use std::time::Duration;

use bamboo_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Rank among online requests. Lower ranks get slots first; the priority of the workspace precedes that of the route.
///
/// ```
/// use bamboo_slots::Rank;
/// assert!(Rank { workspace: 0, route: 2 } < Rank { workspace: 1, route: 0 });
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Priority of the workspace; 0 is the highest.
    pub workspace: u32,
    /// Priority of the route; 0 is the highest.
    pub route: u32,
}

/// Terms of a slot request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTerms {
    /// Workspace of the caller; `None` if callers have none.
    pub workspace: Option<WorkspaceId>,
    /// Rank among online requests.
    pub rank: Rank,
    /// Whether the request counts towards the rate of its workspace. Only its first attempt does.
    pub is_counted: bool,
    /// When the caller leaves unless the response has begun; `None` if it waits until the request expires. On the same
    /// clock as the work.
    pub begin_by: Option<Duration>,
}
