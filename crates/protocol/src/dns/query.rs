//! Queries as a server receives them.

use super::message_reader::{Header, MessageReader, RecordFields};
use super::name::{encoded_labels_length, Name};
use super::{flag, record_class, record_type, Rcode, HEADER_BYTES};

/// Bytes of a question besides its labels: the root label, the type and the class.
const QUESTION_OVERHEAD: usize = 5;

/// A query, with what its response has to repeat.
#[derive(Debug)]
pub struct Query {
    pub(super) id: u16,
    pub(super) recursion_desired: bool,
    /// The question's bytes; empty if it could not be read.
    pub(super) question: Vec<u8>,
    /// The UDP payload size that the client takes, if it speaks EDNS0.
    pub(super) edns_payload_size: Option<u16>,
    /// The name that is asked for.
    pub name: Name,
    /// The record type that is asked for.
    pub record_type: u16,
    /// The response code, if the query is to be answered with an error alone.
    pub error: Option<Rcode>,
}

/// Parses a query. None if it must not be answered at all: it has no whole header, or is itself a
/// response.
pub fn parse_query(message: &[u8]) -> Option<Query> {
    let mut reader = MessageReader::new(message);
    let header = reader.header()?;
    if header.flags & flag::RESPONSE != 0 {
        return None;
    }
    let mut query = Query {
        id: header.id,
        recursion_desired: header.flags & flag::RECURSION_DESIRED != 0,
        question: Vec::new(),
        edns_payload_size: None,
        name: Name::new(),
        record_type: 0,
        error: None,
    };
    query.error = if header.flags & flag::OPCODE_MASK != 0 {
        Some(Rcode::NotImp)
    } else {
        match query.read_body(message, &mut reader, &header) {
            Some(BodyCheck::Accepted) => None,
            Some(BodyCheck::Rejected(rcode)) => Some(rcode),
            None => Some(Rcode::FormErr),
        }
    };
    Some(query)
}

/// What a readable query is answered with.
enum BodyCheck {
    Accepted,
    Rejected(Rcode),
}

impl Query {
    /// Reads what follows the header; none if it is malformed.
    fn read_body(
        &mut self,
        message: &[u8],
        reader: &mut MessageReader,
        header: &Header,
    ) -> Option<BodyCheck> {
        if header.question_count != 1 {
            return None;
        }
        let class = self.read_question(message, reader)?;
        let mut edns_version = 0;
        for _ in 0..header.record_count {
            let record = reader.record()?;
            if record.record_type == record_type::OPT {
                edns_version = self.read_opt_record(&record)?;
            }
        }
        if !reader.is_at_end() {
            return None;
        }
        if edns_version != 0 {
            return Some(BodyCheck::Rejected(Rcode::BadVers));
        }
        let is_served_class = class == record_class::IN || class == record_class::ANY;
        let is_transfer = matches!(self.record_type, record_type::IXFR | record_type::AXFR);
        if !is_served_class || is_transfer {
            return Some(BodyCheck::Rejected(Rcode::Refused));
        }
        Some(BodyCheck::Accepted)
    }

    /// Reads the question and returns its class.
    fn read_question(&mut self, message: &[u8], reader: &mut MessageReader) -> Option<u16> {
        let name = reader.name()?;
        let record_type = reader.u16()?;
        let class = reader.u16()?;
        let question = &message[HEADER_BYTES..reader.position()];
        // The response repeats the question byte by byte, where a compression pointer could point
        // at something else.
        if question.len() != encoded_labels_length(&name) + QUESTION_OVERHEAD {
            return None;
        }
        self.name = name;
        self.record_type = record_type;
        self.question = question.to_vec();
        Some(class)
    }

    /// Reads EDNS0's record and returns its version. It may stand once, and only at the root.
    fn read_opt_record(&mut self, record: &RecordFields) -> Option<u8> {
        let payload_size = record.class;
        if self.edns_payload_size.replace(payload_size).is_some() || !record.owner.is_empty() {
            return None;
        }
        let [_extended_rcode, version, _, _] = record.ttl.to_be_bytes();
        Some(version)
    }
}
