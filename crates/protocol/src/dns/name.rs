//! Domain names.

/// Longest label, in bytes (RFC 1035, 2.3.4).
const MAX_LABEL_BYTES: usize = 63;
/// Longest name on the wire, in bytes, without the root label's zero byte.
pub(super) const MAX_NAME_BYTES: usize = 254;

/// A name: its labels in lower case, the leftmost first.
pub type Name = Vec<Vec<u8>>;

/// Parses a name written as labels with dots between them; a dot may end it.
pub fn parse_name(text: &str) -> Option<Name> {
    let text = text.strip_suffix('.').unwrap_or(text).to_ascii_lowercase();
    let name: Name = text.split('.').map(|label| label.as_bytes().to_vec()).collect();
    (text.is_ascii() && is_valid_name(&name)).then_some(name)
}

/// Whether the labels are within the length bounds of a name.
pub fn is_valid_name(name: &Name) -> bool {
    let labels_valid = name.iter().all(|label| (1..=MAX_LABEL_BYTES).contains(&label.len()));
    labels_valid && encoded_labels_length(name) <= MAX_NAME_BYTES
}

/// Length on the wire, without the root label's zero byte and without compression.
pub(super) fn encoded_labels_length(name: &Name) -> usize {
    name.iter().map(|label| label.len() + 1).sum()
}

/// Appends a name without compression.
pub(super) fn push_name(out: &mut Vec<u8>, name: &Name) {
    for label in name {
        out.push(label.len() as u8);
        out.extend_from_slice(label);
    }
    out.push(0);
}
