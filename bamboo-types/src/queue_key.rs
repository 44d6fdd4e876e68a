//! Queues of waiting tokens.

use crate::WorkspaceId;

/// First character of the text of a queue of a workspace. Names of routes in use do not begin with a control character.
const WORKSPACE_MARK: char = '\u{1f}';

/// A queue of waiting tokens: those of the jobs of one workspace, or of none, on a route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Name of the route.
    pub route: String,
    /// Workspace of the jobs; `None` for jobs without one.
    pub workspace: Option<WorkspaceId>,
}

/// The text of a queue in messages between hosts: the name of the route if it is of no workspace, as hosts of earlier
/// releases name it. The length of the route's name separates it from that of the workspace, whatever they consist of.
///
/// ```
/// use bamboo_types::QueueKey;
/// let queue = QueueKey { route: "r".into(), workspace: Some("w".into()) };
/// let text = String::from(&queue);
/// assert_eq!(text, "\u{1f}1\u{1f}rw");
/// assert_eq!(QueueKey::from(text), queue);
/// assert_eq!(QueueKey::from("r".to_owned()), QueueKey { route: "r".into(), workspace: None });
/// ```
impl From<&QueueKey> for String {
    fn from(queue: &QueueKey) -> Self {
        let QueueKey { route, workspace } = queue;
        match workspace {
            Some(workspace) => {
                let route_bytes = route.len();
                format!("{WORKSPACE_MARK}{route_bytes}{WORKSPACE_MARK}{route}{workspace}")
            }
            None => route.clone(),
        }
    }
}

impl From<String> for QueueKey {
    fn from(text: String) -> Self {
        match split_text(&text) {
            Some((route, workspace)) => QueueKey {
                route: route.to_owned(),
                workspace: Some(workspace.to_owned()),
            },
            None => QueueKey {
                route: text,
                workspace: None,
            },
        }
    }
}

/// Route and workspace in the text of a queue; `None` if it is the name of a route.
fn split_text(text: &str) -> Option<(&str, &str)> {
    let (route_bytes, names) = text
        .strip_prefix(WORKSPACE_MARK)?
        .split_once(WORKSPACE_MARK)?;
    names.split_at_checked(route_bytes.parse().ok()?)
}
