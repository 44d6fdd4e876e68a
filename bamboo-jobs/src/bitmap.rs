//! Fixed-size bitmap over the items of a job.

use serde::Deserialize;
use serde::Serialize;

/// Bitmap with one bit per item and a cached number of set bits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    words: Vec<u64>,
    count: u32,
}

impl Bitmap {
    /// Creates a bitmap for `size` items with no bit set.
    ///
    /// ```
    /// let mut bitmap = bamboo_jobs::Bitmap::new(70);
    /// assert!(bitmap.set(69));
    /// assert!(!bitmap.set(69));
    /// assert_eq!(bitmap.count(), 1);
    /// ```
    pub fn new(size: u32) -> Self {
        Bitmap {
            words: vec![0; size.div_ceil(64) as usize],
            count: 0,
        }
    }

    /// Sets a bit. Returns `false` if it was already set or is out of range.
    pub fn set(&mut self, index: u32) -> bool {
        let Some(word) = self.words.get_mut((index / 64) as usize) else {
            return false;
        };
        let bit = 1 << (index % 64);
        let is_new = *word & bit == 0;
        if is_new {
            *word |= bit;
            self.count += 1;
        }
        is_new
    }

    /// Whether a bit is set.
    pub fn is_set(&self, index: u32) -> bool {
        self.words
            .get((index / 64) as usize)
            .is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    /// Number of set bits.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// First unset bit in `from..size`.
    pub fn next_unset(&self, from: u32, size: u32) -> Option<u32> {
        let mut index = from;
        while index < size {
            let word = self.words.get((index / 64) as usize)? | ((1u64 << (index % 64)) - 1);
            if word != u64::MAX {
                let found = (index / 64) * 64 + word.trailing_ones();
                return (found < size).then_some(found);
            }
            index = (index / 64 + 1) * 64;
        }
        None
    }
}
