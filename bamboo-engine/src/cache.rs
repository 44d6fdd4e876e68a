//! A bounded prefix cache with least-recently-used eviction.

use std::num::NonZeroUsize;

use lru::LruCache;
use serde::Deserialize;
use serde::Serialize;

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was added to the cache.
    Stored(u64),
    /// A block was evicted from the cache.
    Evicted(u64),
}

/// Least-recently-used cache of prefix blocks, identified by their hashes.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: LruCache<u64, ()>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks, and for one block if `capacity` is 0.
    ///
    /// ```
    /// let mut cache = bamboo_engine::PrefixCache::new(2);
    /// cache.insert(&[1, 2]);
    /// assert_eq!(cache.hit_count(&[1, 2, 3]), 2);
    /// ```
    pub fn new(capacity: usize) -> Self {
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        PrefixCache {
            blocks: LruCache::new(capacity),
        }
    }

    /// Returns the number of leading blocks that are cached and marks them as recently used.
    pub fn hit_count(&mut self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.get(block).is_some())
            .count()
    }

    /// Adds blocks, evicting the least recently used ones, and returns the changes.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for block in blocks {
            if self.blocks.get(block).is_some() {
                continue;
            }
            if let Some((evicted, ())) = self.blocks.push(*block, ()) {
                events.push(CacheEvent::Evicted(evicted));
            }
            events.push(CacheEvent::Stored(*block));
        }
        events
    }
}
