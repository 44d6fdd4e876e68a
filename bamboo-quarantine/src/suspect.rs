//! What may crash servers, under one kind of identifier.

use bamboo_types::PromptPartId;

/// Something that requests have in common and that may crash servers.
pub type SuspectId = u64;

/// Set in the identifiers of contents, and cleared in those of parts.
pub(crate) const CONTENT_BIT: SuspectId = 1 << 63;

/// The identifier of a part of prompts.
///
/// ```
/// assert_eq!(bamboo_quarantine::part_suspect(0xbad1), 0xbad1);
/// ```
pub fn part_suspect(part: PromptPartId) -> SuspectId {
    part & !CONTENT_BIT
}
