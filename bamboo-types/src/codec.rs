//! Decoding of bincode from other processes.

use bincode::error::DecodeError;
use serde::de::DeserializeOwned;

/// Upper bound for the memory that a decoded value claims, in bytes: several times the largest snapshot. A length within damaged bytes may be any number, and
/// the decoder would otherwise allocate it.
pub const DECODED_MAX_BYTES: usize = 128 << 20;

/// Decodes a value from the beginning of `bytes`.
///
/// # Errors
/// Fails if the bytes are not an encoded value, or the value claims more than [`DECODED_MAX_BYTES`].
///
/// ```
/// let decoded: Result<String, _> = bamboo_types::decode_bincode(&[3, b'a', b'b', b'c']);
/// assert_eq!(decoded.unwrap(), "abc");
/// let length_of_64_bits = [253, 255, 255, 255, 255, 255, 255, 255, 127, b'a'];
/// assert!(bamboo_types::decode_bincode::<String>(&length_of_64_bits).is_err());
/// ```
pub fn decode_bincode<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    let config = bincode::config::standard().with_limit::<DECODED_MAX_BYTES>();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok(value)
}
