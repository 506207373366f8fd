//! Queries that this program sends: for a name's SRV record and what belongs to it.

use super::message_reader::{MessageReader, RecordFields};
use super::name::{push_name, Name};
use super::{flag, push_fields, push_opt_record, record_class, record_type};
use std::ops::Range;

/// Encodes a query for the SRV record of a name. It offers EDNS0, as the routing answer's
/// additional records hardly fit without.
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

/// The response to a query for an SRV record.
#[derive(Debug, PartialEq)]
pub struct SrvResponse {
    /// The response code without the upper bits of EDNS0, as in [`super::Rcode`]; a server may send
    /// one that is not known there.
    pub rcode: u16,
    /// What the SRV record names; none if there is no such record or the response was truncated.
    pub target: Option<SrvTarget>,
}

/// What an SRV record names, with the records that belong to it.
#[derive(Debug, PartialEq)]
pub struct SrvTarget {
    /// The name of the target.
    pub target: Name,
    /// The port there.
    pub port: u16,
    /// The target's IPv4 address, where a record with it came along.
    pub addr: Option<[u8; 4]>,
    /// The texts of the queried name's TXT records.
    pub texts: Vec<String>,
}

/// The records of interest in a response.
#[derive(Default)]
struct Records {
    service: Option<Service>,
    addresses: Vec<Address>,
    texts: Vec<String>,
}

/// The data of an SRV record.
struct Service {
    port: u16,
    target: Name,
}

/// An A record.
struct Address {
    owner: Name,
    octets: [u8; 4],
}

/// Parses a response to the query of that id and name. None if it is no response to that query, or
/// is malformed.
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
    /// Reads a record if it is of interest; none if it is malformed. The first SRV record counts.
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

fn read_texts(message: &[u8], data: &Range<usize>, texts: &mut Vec<String>) -> Option<()> {
    let mut reader = MessageReader::of_range(message, data);
    while let Some(length) = reader.u8() {
        let text = reader.bytes(usize::from(length))?;
        texts.push(String::from_utf8(text.to_vec()).ok()?);
    }
    Some(())
}
