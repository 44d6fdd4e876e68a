//! What may crash servers, under one kind of identifier.

use bamboo_types::PromptPartId;
use xxhash_rust::xxh3::Xxh3Default;

/// Something that requests have in common and that may crash servers: a part of their prompts, or their content.
pub type SuspectId = u64;

/// Set in the identifiers of contents, and cleared in those of parts.
const CONTENT_BIT: SuspectId = 1 << 63;
/// Set in the identifiers of whole contents, and cleared in those of what several callers may send.
const WHOLE_BIT: SuspectId = 1 << 62;

/// The identifier of a part of prompts.
///
/// ```
/// assert_eq!(bamboo_quarantine::part_suspect(0xbad1), 0xbad1);
/// ```
pub fn part_suspect(part: PromptPartId) -> SuspectId {
    part & !CONTENT_BIT
}

/// What a suspect is, from the widest kind to the narrowest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SuspectKind {
    /// A part of prompts.
    #[default]
    Part,
    /// Path and body of a request, which several callers may send.
    SharedContent,
    /// The whole content of a request.
    WholeContent,
}

/// The kind of a suspect.
///
/// ```
/// use bamboo_quarantine::{SuspectKind, part_suspect, suspect_kind};
/// assert_eq!(suspect_kind(part_suspect(u64::MAX)), SuspectKind::Part);
/// ```
pub fn suspect_kind(suspect: SuspectId) -> SuspectKind {
    match (suspect & CONTENT_BIT != 0, suspect & WHOLE_BIT != 0) {
        (false, _) => SuspectKind::Part,
        (true, false) => SuspectKind::SharedContent,
        (true, true) => SuspectKind::WholeContent,
    }
}

/// What a request consists of, apart from its identifier. It is the same when the request comes again.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// `Host` header.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query; empty without one.
    pub query: &'a str,
    /// Who sent it.
    pub caller: &'a str,
    /// Parts of its prompt; empty without one.
    pub prompt: &'a [PromptPartId],
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// The suspects of a request with this content, the wider one first: path and body, which several callers may send, and
    /// the whole content.
    ///
    /// ```
    /// use bamboo_quarantine::{RequestContent, SuspectKind, suspect_kind};
    /// let content = RequestContent {
    ///     method: "GET", host: "h", path: "/a", query: "", caller: "10.0.0.1", prompt: &[], body: b"",
    /// };
    /// let [shared, whole] = content.suspects();
    /// let [other_shared, other_whole] = RequestContent { caller: "10.0.0.2", ..content }.suspects();
    /// assert_eq!(shared, other_shared);
    /// assert_ne!(whole, other_whole);
    /// assert_eq!(suspect_kind(shared), SuspectKind::SharedContent);
    /// assert_eq!(suspect_kind(whole), SuspectKind::WholeContent);
    /// ```
    pub fn suspects(&self) -> [SuspectId; 2] {
        let mut hasher = Xxh3Default::new();
        for field in [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            self.body,
        ] {
            update_with_field(&mut hasher, field);
        }
        let shared = hasher.digest();
        for field in [self.query.as_bytes(), self.caller.as_bytes()] {
            update_with_field(&mut hasher, field);
        }
        for part in self.prompt {
            hasher.update(&part.to_le_bytes());
        }
        let whole = hasher.digest();
        [
            (shared | CONTENT_BIT) & !WHOLE_BIT,
            whole | CONTENT_BIT | WHOLE_BIT,
        ]
    }
}

/// Adds a field with its length, so that the border between two fields counts.
fn update_with_field(hasher: &mut Xxh3Default, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
