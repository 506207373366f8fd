//! Domain names: the textual form, length limits and uncompressed encoding.

/// Longest label, in bytes (RFC 1035, 2.3.4).
const MAX_LABEL_BYTES: usize = 63;
/// Longest encoded name, in bytes, without the zero byte of the root label (RFC 1035, 2.3.4).
pub(super) const MAX_NAME_BYTES: usize = 254;

/// A domain name as its labels in lower case, leftmost first, without the root label.
pub type Name = Vec<Vec<u8>>;

/// Parses a name in textual form, with or without the final dot. Returns `None` if the name is not
/// ASCII, or if a label or the name is too long or a label is empty.
pub fn parse_name(text: &str) -> Option<Name> {
    let text = text.strip_suffix('.').unwrap_or(text).to_ascii_lowercase();
    let name: Name = text.split('.').map(|label| label.as_bytes().to_vec()).collect();
    (text.is_ascii() && is_valid_name(&name)).then_some(name)
}

/// Returns whether each label has 1 to 63 bytes and the name is not too long to encode.
pub fn is_valid_name(name: &Name) -> bool {
    let labels_valid = name.iter().all(|label| (1..=MAX_LABEL_BYTES).contains(&label.len()));
    labels_valid && encoded_labels_length(name) <= MAX_NAME_BYTES
}

/// Returns the encoded length of a name without compression and without the zero byte of the root
/// label.
pub(super) fn encoded_labels_length(name: &Name) -> usize {
    name.iter().map(|label| label.len() + 1).sum()
}

/// Appends the encoding of a name without compression, including the root label.
pub(super) fn push_name(out: &mut Vec<u8>, name: &Name) {
    for label in name {
        out.push(label.len() as u8);
        out.extend_from_slice(label);
    }
    out.push(0);
}
