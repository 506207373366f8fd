//! Server side of DNS: parser for queries.

use super::message_reader::{Header, MessageReader, RecordFields};
use super::name::{encoded_labels_length, Name};
use super::{flag, record_class, record_type, Rcode, HEADER_BYTES};

/// Number of bytes in a question besides its labels: the root label (1), type (2) and class (2).
const QUESTION_OVERHEAD: usize = 5;

/// A parsed query, with the parts that the response must repeat.
#[derive(Debug)]
pub struct Query {
    pub(super) id: u16,
    pub(super) recursion_desired: bool,
    /// Encoded question, which the response repeats. Empty if the question was not parsed.
    pub(super) question: Vec<u8>,
    /// Largest UDP message that the client accepts, in bytes. `None` if the query has no OPT
    /// record.
    pub(super) edns_payload_size: Option<u16>,
    /// Queried name. Empty if the question was not parsed.
    pub name: Name,
    /// Queried record type. 0 if the question was not parsed.
    pub record_type: u16,
    /// Response code if the query is invalid or not supported, so that the response must consist of
    /// this code without records. `None` for a valid query.
    pub error: Option<Rcode>,
}

/// Parses a query. Returns `None` if the message must not be answered, because its header is
/// incomplete or it is itself a response. Other errors are reported in [`Query::error`].
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

/// Result of checking a well-formed query.
enum BodyCheck {
    Accepted,
    /// The query is not supported and is answered with this code.
    Rejected(Rcode),
}

impl Query {
    /// Reads the question and the records. Returns `None` if they are malformed, if there is not
    /// exactly one question, or if bytes follow the last record.
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

    /// Reads the question and returns its class. Returns `None` if the question is malformed or its
    /// name is compressed.
    fn read_question(&mut self, message: &[u8], reader: &mut MessageReader) -> Option<u16> {
        let name = reader.name()?;
        let record_type = reader.u16()?;
        let class = reader.u16()?;
        let question = &message[HEADER_BYTES..reader.position()];
        // A compressed name is rejected: the response repeats the bytes of the question, and there
        // a compression pointer could refer to different data.
        if question.len() != encoded_labels_length(&name) + QUESTION_OVERHEAD {
            return None;
        }
        self.name = name;
        self.record_type = record_type;
        self.question = question.to_vec();
        Some(class)
    }

    /// Reads an OPT record and returns its EDNS version. Returns `None` if it is not the first OPT
    /// record of the query or its owner is not the root.
    fn read_opt_record(&mut self, record: &RecordFields) -> Option<u8> {
        let payload_size = record.class;
        if self.edns_payload_size.replace(payload_size).is_some() || !record.owner.is_empty() {
            return None;
        }
        let [_extended_rcode, version, _, _] = record.ttl.to_be_bytes();
        Some(version)
    }
}
