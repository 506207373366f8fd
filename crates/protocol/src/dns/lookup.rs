//! Client side of DNS: queries for the SRV record of a name, and their responses.

use super::message_reader::{MessageReader, RecordFields};
use super::name::{push_name, Name};
use super::{flag, push_fields, push_opt_record, record_class, record_type};
use std::ops::Range;

/// Encodes a query for the SRV record of a name. The query announces EDNS0, since the additional
/// records of a routing response rarely fit into the 512 bytes that are allowed without it.
pub fn encode_srv_query(id: u16, name: &Name) -> Vec<u8> {
    const FLAGS: u16 = 0;
    const COUNTS: [u16; 4] = [1, 0, 0, 1];
    let mut out = Vec::new();
    push_fields(&mut out, &[id, FLAGS]);
    push_fields(&mut out, &COUNTS);
    push_name(&mut out, name);
    push_fields(&mut out, &[record_type::SRV, record_class::IN]);
    push_opt_record(&mut out, 0);
    out
}

/// A parsed response to a query for an SRV record.
#[derive(Debug, PartialEq)]
pub struct SrvResponse {
    /// Response code from the header, without the upper bits of EDNS0. It may be a code that
    /// [`super::Rcode`] lacks.
    pub rcode: u16,
    /// Target of the SRV record. `None` if the response has no SRV record or is truncated.
    pub target: Option<SrvTarget>,
}

/// Target of an SRV record, with the related records of the same response.
#[derive(Debug, PartialEq)]
pub struct SrvTarget {
    /// Domain name of the target.
    pub target: Name,
    /// Port of the service at the target.
    pub port: u16,
    /// IPv4 address of the target. `None` if the response has no A record for it.
    pub addr: Option<[u8; 4]>,
    /// Strings of the TXT records of the queried name.
    pub texts: Vec<String>,
}

/// The records of a response that a lookup uses.
#[derive(Default)]
struct Records {
    service: Option<Service>,
    addresses: Vec<Address>,
    texts: Vec<String>,
}

/// The data of an SRV record, without priority and weight.
struct Service {
    port: u16,
    target: Name,
}

/// The owner and the data of an A record.
struct Address {
    owner: Name,
    octets: [u8; 4],
}

/// Parses a response to the SRV query with this id and name. Returns `None` if the message is
/// malformed, is not a response, or has another id or question.
pub fn parse_srv_response(message: &[u8], id: u16, name: &Name) -> Option<SrvResponse> {
    let mut reader = MessageReader::new(message);
    let header = reader.header()?;
    let is_response = header.id == id && header.flags & flag::RESPONSE != 0;
    if !is_response || header.question_count != 1 || reader.name()? != *name {
        return None;
    }
    let question_type = reader.u16()?;
    let question_class = reader.u16()?;
    if question_type != record_type::SRV || question_class != record_class::IN {
        return None;
    }
    let mut records = Records::default();
    for _ in 0..header.record_count {
        let record = reader.record()?;
        records.read(message, name, record)?;
    }
    let is_truncated = header.flags & flag::TRUNCATED != 0;
    let target = if is_truncated { None } else { records.into_target() };
    Some(SrvResponse { rcode: header.flags & flag::RCODE_MASK, target })
}

impl Records {
    /// Adds a record: the first SRV record of the queried name, an A record of any name, or a TXT
    /// record of the queried name. Other records are ignored. Returns `None` if the data of an SRV
    /// or TXT record is malformed.
    fn read(&mut self, message: &[u8], name: &Name, record: RecordFields) -> Option<()> {
        match record.record_type {
            record_type::SRV if record.owner == *name && self.service.is_none() => {
                self.service = Some(parse_service(message, &record.data)?);
            }
            record_type::A => {
                if let Ok(octets) = message[record.data].try_into() {
                    self.addresses.push(Address { owner: record.owner, octets });
                }
            }
            record_type::TXT if record.owner == *name => {
                read_texts(message, &record.data, &mut self.texts)?;
            }
            _ => {}
        }
        Some(())
    }

    /// Returns the target of the SRV record, or `None` if there is no SRV record.
    fn into_target(self) -> Option<SrvTarget> {
        let Service { port, target } = self.service?;
        let address = self.addresses.iter().find(|address| address.owner == target);
        let addr = address.map(|address| address.octets);
        Some(SrvTarget { target, port, addr, texts: self.texts })
    }
}

fn parse_service(message: &[u8], data: &Range<usize>) -> Option<Service> {
    let mut reader = MessageReader::of_range(message, data);
    let _priority = reader.u16()?;
    let _weight = reader.u16()?;
    let port = reader.u16()?;
    let target = reader.name()?;
    Some(Service { port, target })
}

/// Appends the strings of a TXT record to `texts`. Returns `None` if the data is malformed or a
/// string is not UTF-8.
fn read_texts(message: &[u8], data: &Range<usize>, texts: &mut Vec<String>) -> Option<()> {
    let mut reader = MessageReader::of_range(message, data);
    while let Some(length) = reader.u8() {
        let text = reader.bytes(usize::from(length))?;
        texts.push(String::from_utf8(text.to_vec()).ok()?);
    }
    Some(())
}
