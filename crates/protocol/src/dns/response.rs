//! Server side of DNS: encoder for responses.
//!
//! A routing decision is valid for one request only, so responses must not be cached: the TTL of
//! every record is 0.

use super::name::{push_name, Name};
use super::query::Query;
use super::{flag, push_fields, push_opt_record, record_class, Rcode};
use super::{HEADER_BYTES, MAX_PLAIN_UDP_MESSAGE_BYTES, MAX_UDP_MESSAGE_BYTES};

/// Longest string of a TXT record, in bytes. Its length is encoded in one byte.
const MAX_TXT_BYTES: usize = 255;
/// Compression pointer to the name in the question, which starts right after the header.
const POINTER_TO_QUESTION: u16 = 0xc000 | HEADER_BYTES as u16;

/// A resource record of a response. Its class is IN and its TTL is 0.
#[derive(Debug)]
pub struct Record {
    /// Name that the record belongs to. `None` stands for the name in the question.
    pub owner: Option<Name>,
    /// Record type, see [`super::record_type`].
    pub record_type: u16,
    /// Encoded data of the record (RDATA), which must not use compression.
    pub data: Vec<u8>,
}

/// Content of a response, independent of the query's id and of the transport.
#[derive(Debug)]
pub struct Response {
    /// Response code, which may exceed the 4 bits of the header.
    pub rcode: Rcode,
    /// Records of the answer, authority and additional sections, in this order. The OPT record of
    /// EDNS0 is not included; [`encode_response`] adds it.
    pub sections: [Vec<Record>; 3],
}

impl Response {
    /// Creates a response without records.
    pub fn from_rcode(rcode: Rcode) -> Response {
        Response { rcode, sections: Default::default() }
    }
}

/// Transport of a response, which determines its maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram. The maximum is the payload size that the client announced, limited to the
    /// range from 512 to [`MAX_UDP_MESSAGE_BYTES`] bytes.
    Udp,
    /// A stream of messages with a length prefix of two bytes. The maximum is 65535 bytes.
    Tcp,
}

/// Encodes the response to a query. If it exceeds the maximum length, the additional records are
/// omitted. If it is still too long, all records are omitted and the truncation flag is set.
pub fn encode_response(query: &Query, response: &Response, transport: Transport) -> Vec<u8> {
    let max_bytes = max_message_bytes(query, transport);
    let complete = encode_sections(query, response, 3, Truncation::No);
    if complete.len() <= max_bytes {
        return complete;
    }
    let without_additional = encode_sections(query, response, 2, Truncation::No);
    if without_additional.len() <= max_bytes {
        return without_additional;
    }
    encode_sections(query, response, 0, Truncation::Yes)
}

fn max_message_bytes(query: &Query, transport: Transport) -> usize {
    match transport {
        Transport::Tcp => usize::from(u16::MAX),
        Transport::Udp => {
            let offered = query.edns_payload_size.map_or(MAX_PLAIN_UDP_MESSAGE_BYTES, usize::from);
            offered.clamp(MAX_PLAIN_UDP_MESSAGE_BYTES, MAX_UDP_MESSAGE_BYTES)
        }
    }
}

/// Whether the truncation flag of a response is set.
#[derive(Clone, Copy, PartialEq)]
enum Truncation {
    No,
    Yes,
}

/// Encodes a response with the records of its first `section_count` sections only.
fn encode_sections(
    query: &Query,
    response: &Response,
    section_count: usize,
    truncation: Truncation,
) -> Vec<u8> {
    let sections = &response.sections[..section_count];
    let rcode = response.rcode as u16;
    let mut counts = [u16::from(!query.question.is_empty()), 0, 0, 0];
    for (count, section) in counts[1..].iter_mut().zip(sections) {
        *count = section.len() as u16;
    }
    // The OPT record belongs to the additional section.
    counts[3] += u16::from(query.edns_payload_size.is_some());
    let mut out = Vec::with_capacity(MAX_PLAIN_UDP_MESSAGE_BYTES);
    push_fields(&mut out, &[query.id, header_flags(query, response, truncation)]);
    push_fields(&mut out, &counts);
    out.extend(&query.question);
    for record in sections.iter().flatten() {
        push_record(&mut out, record);
    }
    if query.edns_payload_size.is_some() {
        push_opt_record(&mut out, rcode >> 4);
    }
    out
}

fn header_flags(query: &Query, response: &Response, truncation: Truncation) -> u16 {
    let mut flags = flag::RESPONSE | (response.rcode as u16 & flag::RCODE_MASK);
    if matches!(response.rcode, Rcode::NoError | Rcode::NxDomain) {
        flags |= flag::AUTHORITATIVE;
    }
    if truncation == Truncation::Yes {
        flags |= flag::TRUNCATED;
    }
    if query.recursion_desired {
        flags |= flag::RECURSION_DESIRED;
    }
    flags
}

fn push_record(out: &mut Vec<u8>, record: &Record) {
    const TTL: [u16; 2] = [0, 0];
    match &record.owner {
        Some(owner) => push_name(out, owner),
        None => push_fields(out, &[POINTER_TO_QUESTION]),
    }
    push_fields(out, &[record.record_type, record_class::IN]);
    push_fields(out, &TTL);
    push_fields(out, &[record.data.len() as u16]);
    out.extend(&record.data);
}

/// Encodes the data of an SRV record with priority 0 and weight 0.
pub fn srv_data(port: u16, target: &Name) -> Vec<u8> {
    const PRIORITY: u16 = 0;
    const WEIGHT: u16 = 0;
    let mut data = Vec::new();
    push_fields(&mut data, &[PRIORITY, WEIGHT, port]);
    push_name(&mut data, target);
    data
}

/// Encodes the data of a TXT record. Strings longer than 255 bytes are omitted.
pub fn txt_data(texts: &[String]) -> Vec<u8> {
    let mut data = Vec::new();
    for text in texts.iter().filter(|text| text.len() <= MAX_TXT_BYTES) {
        data.push(text.len() as u8);
        data.extend(text.as_bytes());
    }
    data
}

/// Encodes the data of the SOA record of a zone.
///
/// The zone has no secondary servers, so the serial is constant and the timers are short. Negative
/// responses must not be cached, so their TTL is 0.
pub fn soa_data(zone: &Name) -> Vec<u8> {
    const SERIAL: u32 = 1;
    const REFRESH_SECONDS: u32 = 60;
    const RETRY_SECONDS: u32 = 60;
    const EXPIRE_SECONDS: u32 = 60;
    const NEGATIVE_TTL_SECONDS: u32 = 0;
    let mut data = Vec::new();
    for host in ["ns", "hostmaster"] {
        data.push(host.len() as u8);
        data.extend(host.as_bytes());
        push_name(&mut data, zone);
    }
    for field in [SERIAL, REFRESH_SECONDS, RETRY_SECONDS, EXPIRE_SECONDS, NEGATIVE_TTL_SECONDS] {
        data.extend(field.to_be_bytes());
    }
    data
}
