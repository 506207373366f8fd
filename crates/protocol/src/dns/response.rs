//! Responses as a server sends them. Routing answers hold for one request, so nothing in them may
//! be cached: each record's time to live is 0.

use super::name::{push_name, Name};
use super::query::Query;
use super::{flag, push_fields, push_opt_record, record_class, Rcode};
use super::{HEADER_BYTES, MAX_PLAIN_UDP_MESSAGE_BYTES, MAX_UDP_MESSAGE_BYTES};

/// Longest text of a TXT record, in bytes: its length is one byte.
const MAX_TXT_BYTES: usize = 255;
/// A compression pointer to the question's name, which is the first thing after the header.
const POINTER_TO_QUESTION: u16 = 0xc000 | HEADER_BYTES as u16;

/// One record of a response.
#[derive(Debug)]
pub struct Record {
    /// The name it belongs to; none: the name in the question.
    pub owner: Option<Name>,
    /// Its type.
    pub record_type: u16,
    /// Its data.
    pub data: Vec<u8>,
}

/// What a response says.
#[derive(Debug)]
pub struct Response {
    /// The response code.
    pub rcode: Rcode,
    /// Answer, authority and additional records.
    pub sections: [Vec<Record>; 3],
}

impl Response {
    /// A response without records.
    pub fn from_rcode(rcode: Rcode) -> Response {
        Response { rcode, sections: Default::default() }
    }
}

/// How a message travels, which bounds its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram.
    Udp,
    /// A stream, with a length of two bytes before each message.
    Tcp,
}

/// Encodes a response. Where it exceeds what the client takes, the additional records are left
/// out, and if that is not enough all records, with the flag for a truncated response.
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

/// Whether a response says that it was truncated.
#[derive(Clone, Copy, PartialEq)]
enum Truncation {
    No,
    Yes,
}

/// Encodes a response with its first sections only.
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
    // The OPT record is an additional record.
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

/// The data of an SRV record of priority and weight 0.
pub fn srv_data(port: u16, target: &Name) -> Vec<u8> {
    const PRIORITY: u16 = 0;
    const WEIGHT: u16 = 0;
    let mut data = Vec::new();
    push_fields(&mut data, &[PRIORITY, WEIGHT, port]);
    push_name(&mut data, target);
    data
}

/// The data of a TXT record. Texts over 255 bytes are left out.
pub fn txt_data(texts: &[String]) -> Vec<u8> {
    let mut data = Vec::new();
    for text in texts.iter().filter(|text| text.len() <= MAX_TXT_BYTES) {
        data.push(text.len() as u8);
        data.extend(text.as_bytes());
    }
    data
}

/// The data of a zone's SOA record. No secondary server has the zone and nothing may be cached, so
/// the timers are short and negative answers live for 0 s.
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
