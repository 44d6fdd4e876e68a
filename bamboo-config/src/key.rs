//! Hashes of bearer keys. The configuration stores only hashes, never the keys.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// SHA-256 of a bearer key, written as 64 hexadecimal digits in lower case.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct KeyHash(String);

impl From<String> for KeyHash {
    /// Accepts digits in either case. Whether the text is a digest is checked by validation, which names the field.
    fn from(text: String) -> Self {
        KeyHash(text.to_ascii_lowercase())
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.0
    }
}

impl KeyHash {
    /// Hashes a bearer key.
    ///
    /// ```
    /// let hash = bamboo_config::KeyHash::of("coach-key");
    /// assert!(hash.matches("coach-key"));
    /// assert!(!hash.matches("other"));
    /// ```
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        KeyHash(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Parses a SHA-256 digest of 64 hexadecimal digits in either case. Returns `None` for any other text.
    ///
    /// ```
    /// assert!(bamboo_config::KeyHash::parse("abc").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let is_hash = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_hash.then(|| KeyHash(text.to_ascii_lowercase()))
    }

    /// Whether a key has this hash. The digests are compared in constant time.
    pub fn matches(&self, key: &str) -> bool {
        self.0
            .as_bytes()
            .ct_eq(KeyHash::of(key).0.as_bytes())
            .into()
    }

    /// The digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
