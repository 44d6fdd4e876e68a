//! Workspaces of a configuration, and the keys by which callers show that they belong to one.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use bamboo_types::WorkspaceId;
use sha2::Digest;
use sha2::Sha256;

/// Length of the digest of a key in bytes.
const DIGEST_BYTES: usize = 32;

/// Digest of a key. The keys themselves are not kept, so that none reaches a log or a dump of the memory.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Rate at which the requests of a workspace are admitted, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests at once.
    pub burst: f64,
}

/// A group of callers that are authenticated by the same keys and share a rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, which is passed on to servers.
    pub name: WorkspaceId,
    /// Priority; 0 is the highest. Precedes that of a route.
    pub priority: u32,
    /// Rate of its requests; `None` for no limit.
    pub rate: Option<WorkspaceRate>,
}

/// The workspaces of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    by_name: HashMap<WorkspaceId, Rc<Workspace>>,
    by_key: HashMap<KeyDigest, Rc<Workspace>>,
    /// Length of the longest key.
    key_max_bytes: usize,
}

impl Workspaces {
    /// Adds a workspace with its keys. A key that another workspace has stays there. Returns the number of such keys. If
    /// there is a workspace of the same name, it gets the keys and stays as it is.
    ///
    /// ```
    /// use bamboo_fleet::{Workspace, Workspaces};
    /// let workspace = |name: &str| Workspace { name: name.into(), priority: 0, rate: None };
    /// let mut workspaces = Workspaces::default();
    /// assert_eq!(workspaces.add(workspace("a"), ["k1", "k2"]), 0);
    /// assert_eq!(workspaces.add(workspace("b"), ["k2", "k3"]), 1);
    /// assert_eq!(workspaces.find_key(b"k2").unwrap().name, "a");
    /// assert!(workspaces.find_key(b"k4").is_none());
    /// ```
    pub fn add<K, S>(&mut self, workspace: Workspace, keys: K) -> usize
    where
        K: IntoIterator<Item = S>,
        S: AsRef<[u8]>,
    {
        let named = self.by_name.entry(workspace.name.clone());
        let workspace = Rc::clone(named.or_insert_with(|| Rc::new(workspace)));
        let mut taken = 0;
        for key in keys {
            self.key_max_bytes = self.key_max_bytes.max(key.as_ref().len());
            let digest = KeyDigest::of(key.as_ref());
            let holder = self
                .by_key
                .entry(digest)
                .or_insert_with(|| Rc::clone(&workspace));
            taken += usize::from(holder.name != workspace.name);
        }
        taken
    }

    /// The workspace that holds a key.
    pub fn find_key(&self, key: &[u8]) -> Option<&Rc<Workspace>> {
        // A key may be as long as the limit on headers allows; the time of its digest grows with it.
        if key.len() > self.key_max_bytes {
            return None;
        }
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The workspace of a name.
    pub fn get(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// All workspaces, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.by_name.values()
    }
}
