//! Codec for DNS messages: RFC 1035, with SRV records (RFC 2782) and EDNS0 (RFC 6891).
//!
//! As a server, it decodes queries of all types and encodes responses. As a client, it encodes
//! queries for SRV records and decodes their responses. [`crate::dns_routing`] determines which
//! records a name has.

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

/// Largest UDP message that is sent, and the UDP payload size that is announced with EDNS0, in
/// bytes. A message of this size fits into one frame on common links, so it is not fragmented.
pub const MAX_UDP_MESSAGE_BYTES: usize = 1232;
/// Longest query that is accepted, in bytes. Buffers for received datagrams have this size, too.
pub const MAX_QUERY_BYTES: usize = 4096;
/// Largest UDP message to a client without EDNS0, in bytes (RFC 1035, 4.2.1).
const MAX_PLAIN_UDP_MESSAGE_BYTES: usize = 512;
/// Length of the message header, in bytes.
const HEADER_BYTES: usize = 12;

/// Record types and query types (RFC 1035, 3.2.2 and 3.2.3).
pub mod record_type {
    /// The record holds an IPv4 address (RFC 1035).
    pub const A: u16 = 1;
    /// The record marks the start of a zone of authority (RFC 1035).
    pub const SOA: u16 = 6;
    /// The record holds text strings (RFC 1035).
    pub const TXT: u16 = 16;
    /// The record holds an IPv6 address (RFC 3596).
    pub const AAAA: u16 = 28;
    /// The record holds the host and port of a service (RFC 2782).
    pub const SRV: u16 = 33;
    /// Pseudo-record that carries EDNS0 options (RFC 6891).
    pub const OPT: u16 = 41;
    /// Query for an incremental zone transfer.
    pub const IXFR: u16 = 251;
    /// Query for a full zone transfer.
    pub const AXFR: u16 = 252;
    /// Query for records of all types.
    pub const ANY: u16 = 255;
}

/// Record classes (RFC 1035, 3.2.4).
mod record_class {
    /// The Internet class, which is the class of all records served.
    pub(super) const IN: u16 = 1;
    /// Query for records of all classes.
    pub(super) const ANY: u16 = 255;
}

/// Bits of the second 16-bit field of the header (RFC 1035, 4.1.1).
mod flag {
    pub(super) const RESPONSE: u16 = 0x8000;
    /// Four bits, whose value is 0 for a standard query.
    pub(super) const OPCODE_MASK: u16 = 0x7800;
    pub(super) const AUTHORITATIVE: u16 = 0x0400;
    pub(super) const TRUNCATED: u16 = 0x0200;
    pub(super) const RECURSION_DESIRED: u16 = 0x0100;
    pub(super) const RCODE_MASK: u16 = 0x000f;
}

/// Response codes (RFC 1035, 4.1.1; `BadVers` by RFC 6891).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rcode {
    /// The name exists. The response has no answers if the name lacks records of the queried type.
    NoError = 0,
    /// The server cannot parse the query.
    FormErr = 1,
    /// The routing decision failed, or the chosen endpoint cannot be encoded as a domain name.
    ServFail = 2,
    /// The name does not exist.
    NxDomain = 3,
    /// The operation code of the query is not supported.
    NotImp = 4,
    /// The name is outside the zone, the class or type of the query is not served, or the router
    /// rejects the request.
    Refused = 5,
    /// The EDNS version is not supported. The upper bits of this code are sent in the OPT record.
    BadVers = 16,
}

/// Appends 16-bit fields in network byte order.
fn push_fields(out: &mut Vec<u8>, fields: &[u16]) {
    for field in fields {
        out.extend(field.to_be_bytes());
    }
}

/// Appends an OPT record of EDNS version 0 without options. `extended_rcode` holds the upper 8 bits
/// of the response code.
fn push_opt_record(out: &mut Vec<u8>, extended_rcode: u16) {
    const ROOT_NAME: u8 = 0;
    const NO_FLAGS: u16 = 0;
    const NO_DATA: u16 = 0;
    out.push(ROOT_NAME);
    let payload_size = MAX_UDP_MESSAGE_BYTES as u16;
    push_fields(out, &[record_type::OPT, payload_size, extended_rcode << 8, NO_FLAGS, NO_DATA]);
}
