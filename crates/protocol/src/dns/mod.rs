//! DNS messages (RFC 1035; SRV by RFC 2782; EDNS0 by RFC 6891) as a server and as a client of
//! routing answers. Which records a name has is [`crate::dns_routing`]'s to say.

mod framer;
mod lookup;
mod message_reader;
mod name;
mod query;
mod response;

pub use framer::MessageFramer;
pub use lookup::{encode_srv_query, parse_srv_response, SrvResponse, SrvTarget};
pub use name::{is_valid_name, parse_name, Name};
pub use query::{parse_query, Query};
pub use response::{encode_response, soa_data, srv_data, txt_data, Record, Response, Transport};

/// Largest message over UDP that is sent or asked for, in bytes: it fits a single frame on common
/// links, so it is not fragmented.
pub const MAX_UDP_MESSAGE_BYTES: usize = 1232;
/// Longest query, in bytes.
pub const MAX_QUERY_BYTES: usize = 4096;
/// Largest message over UDP to a client without EDNS0, in bytes (RFC 1035, 4.2.1).
const MAX_PLAIN_UDP_MESSAGE_BYTES: usize = 512;
/// Length of a message's header, in bytes.
const HEADER_BYTES: usize = 12;

/// Record types and query types (RFC 1035, 3.2.2 and 3.2.3).
pub mod record_type {
    /// IPv4 address.
    pub const A: u16 = 1;
    /// Start of authority.
    pub const SOA: u16 = 6;
    /// Text.
    pub const TXT: u16 = 16;
    /// IPv6 address.
    pub const AAAA: u16 = 28;
    /// Location of a service.
    pub const SRV: u16 = 33;
    /// The pseudo-record of EDNS0.
    pub const OPT: u16 = 41;
    /// Incremental zone transfer.
    pub const IXFR: u16 = 251;
    /// Zone transfer.
    pub const AXFR: u16 = 252;
    /// Query for all types.
    pub const ANY: u16 = 255;
}

/// Record classes (RFC 1035, 3.2.4).
mod record_class {
    /// The Internet.
    pub(super) const IN: u16 = 1;
    /// Query for all classes.
    pub(super) const ANY: u16 = 255;
}

/// Bits of the header's second word (RFC 1035, 4.1.1).
mod flag {
    pub(super) const RESPONSE: u16 = 0x8000;
    /// Four bits; 0 is a standard query.
    pub(super) const OPCODE_MASK: u16 = 0x7800;
    pub(super) const AUTHORITATIVE: u16 = 0x0400;
    pub(super) const TRUNCATED: u16 = 0x0200;
    pub(super) const RECURSION_DESIRED: u16 = 0x0100;
    pub(super) const RCODE_MASK: u16 = 0x000f;
}

/// Response codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rcode {
    /// No error.
    NoError = 0,
    /// The query is malformed.
    FormErr = 1,
    /// No routing decision could be made.
    ServFail = 2,
    /// The name does not exist.
    NxDomain = 3,
    /// This kind of query is not implemented.
    NotImp = 4,
    /// Refused by policy: the name is outside the zone, or no endpoint may be named now.
    Refused = 5,
    /// An EDNS version that is not known. The upper bits of this code go into the OPT record.
    BadVers = 16,
}

/// Appends 16-bit fields in network byte order.
fn push_fields(out: &mut Vec<u8>, fields: &[u16]) {
    for field in fields {
        out.extend(field.to_be_bytes());
    }
}

/// Appends an OPT record of EDNS version 0 without options.
fn push_opt_record(out: &mut Vec<u8>, extended_rcode: u16) {
    const ROOT_NAME: u8 = 0;
    const NO_FLAGS: u16 = 0;
    const NO_DATA: u16 = 0;
    out.push(ROOT_NAME);
    let payload_size = MAX_UDP_MESSAGE_BYTES as u16;
    push_fields(out, &[record_type::OPT, payload_size, extended_rcode << 8, NO_FLAGS, NO_DATA]);
}
