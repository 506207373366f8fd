//! Request routing by DNS: the mapping from domain names to requests and endpoints, and the records
//! of the responses. [`crate::dns`] encodes and decodes messages; the router package chooses the
//! endpoint for a request.
//!
//! The name of a request is `[rRID.]gGROUP.pPART.OBJECT.CLASS.ZONE`, for example
//! `g17.p3.7f3a9c21e0b4d655.docs-pages.route.example`. `GROUP` and `PART` (the number of the chunk)
//! are decimal; `OBJECT` and `RID` (the request id) are 16 hexadecimal digits. The `r` label is
//! mandatory for classes with non-idempotent requests and forbidden for all others.
//!
//! The name of an endpoint is `UID.box.ZONE`.

use crate::dns::{
    self, is_valid_name, record_type, soa_data, srv_data, txt_data, Name, Rcode, Record, Response,
};
use crate::endpoint::fill_hint_fields;
use crate::resp::{parse_decimal, parse_hex_u64};
use crate::GROUP_COUNT;
use hollymux_decision::Idempotency;
use hollymux_router::classes::Classes;
use hollymux_router::{FillHint, RequestedObject, RoutingHint, Target};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Label directly below the zone under which the names of endpoints are.
const ENDPOINTS_LABEL: &[u8] = b"box";
/// Highest retention priority of a cached copy.
const MAX_RETENTION: u8 = 3;

/// What a queried domain name refers to, relative to the zone that the router serves.
#[derive(Debug, PartialEq)]
pub enum NameKind {
    /// A name that does not end with the name of the zone; the router has no authority for it.
    OutsideZone,
    /// A name in the zone that does not exist.
    Nonexistent,
    /// The apex: the name of the zone without further labels.
    Apex,
    /// A name without records below which other names exist (RFC 8499).
    EmptyNonTerminal,
    /// The name of an endpoint, with its uid in lower case. The endpoint may be unknown.
    Endpoint(Vec<u8>),
    /// A name whose labels encode a request, with the object that they name.
    Request(RequestedObject),
}

/// Classifies a name for a router that serves `zone` and has the request classes `classes`.
pub fn classify_name(name: &Name, zone: &Name, classes: &Classes) -> NameKind {
    let Some(labels) = name.strip_suffix(zone.as_slice()) else { return NameKind::OutsideZone };
    match labels {
        [] => NameKind::Apex,
        [label] if label == ENDPOINTS_LABEL => NameKind::EmptyNonTerminal,
        [uid, label] if label == ENDPOINTS_LABEL => NameKind::Endpoint(uid.clone()),
        [.., label] if label == ENDPOINTS_LABEL => NameKind::Nonexistent,
        _ => classify_request_name(labels, classes).unwrap_or(NameKind::Nonexistent),
    }
}

/// Classifies the labels of a request name or of an ancestor of one; `labels` excludes the zone.
/// Returns `None` if no such name exists.
fn classify_request_name(labels: &[Vec<u8>], classes: &Classes) -> Option<NameKind> {
    let mut labels = labels.iter().rev();
    let class = classes.slot_of_ignoring_case(labels.next()?)?;
    let Some(object_label) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let object = parse_hex_u64(object_label)?;
    let Some(chunk_label) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let chunk = parse_prefixed_number(chunk_label, b'p')?;
    let Some(group_label) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let group = parse_prefixed_number(group_label, b'g').filter(|group| *group < GROUP_COUNT)?;
    let request_id = if classes.idempotency(class) == Idempotency::NotIdempotent {
        let Some(request_id_label) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
        Some(parse_hex_u64(request_id_label.strip_prefix(b"r")?)?)
    } else {
        None
    };
    if labels.next().is_some() {
        return None;
    }
    Some(NameKind::Request(RequestedObject { class, object, chunk, group, request_id }))
}

/// Parses a label that consists of the letter `prefix` and a decimal number without leading zeros.
/// Returns `None` for any other label, and if the number exceeds 32 bits.
fn parse_prefixed_number(label: &[u8], prefix: u8) -> Option<u32> {
    let digits = label.strip_prefix(&[prefix])?;
    if digits.starts_with(b"0") && digits != b"0" {
        return None;
    }
    u32::try_from(parse_decimal(digits)?).ok()
}

/// Encodes the name of a request. Returns `None` if the name or one of its labels would be too
/// long.
pub fn encode_name(request: &RequestedObject, zone: &Name, classes: &Classes) -> Option<Name> {
    let mut name = Name::new();
    if let Some(request_id) = request.request_id {
        name.push(format!("r{request_id:016x}").into_bytes());
    }
    name.push(format!("g{}", request.group).into_bytes());
    name.push(format!("p{}", request.chunk).into_bytes());
    name.push(format!("{:016x}", request.object).into_bytes());
    name.push(classes.name(request.class).to_ascii_lowercase().into_bytes());
    name.extend(zone.iter().cloned());
    is_valid_name(&name).then_some(name)
}

/// Returns whether a query of this type for the name of a request needs a routing decision. For
/// other types, such as the AAAA query that many clients send along with an A query, no endpoint is
/// chosen and no load is counted.
pub fn needs_routing_decision(query_type: u16) -> bool {
    matches!(query_type, record_type::A | record_type::SRV | record_type::ANY)
}

/// Returns a response for a name that does not exist (`NxDomain`) or has no records of the queried
/// type (`NoError`). The SOA record of the zone is in the authority section.
pub fn negative_response(rcode: Rcode, zone: &Name) -> Response {
    Response { rcode, sections: [Vec::new(), vec![soa_record(zone)], Vec::new()] }
}

/// Returns the response for the name of the zone, whose only record is the SOA record.
pub fn apex_response(query_type: u16, zone: &Name) -> Response {
    match query_type {
        record_type::SOA | record_type::ANY => {
            positive_response(vec![Record { owner: None, ..soa_record(zone) }], Vec::new())
        }
        _ => negative_response(Rcode::NoError, zone),
    }
}

/// Returns the response for the name of an endpoint, whose only record is its A or AAAA record.
pub fn endpoint_response(query_type: u16, zone: &Name, addr: SocketAddr) -> Response {
    let record = address_record(None, addr);
    if query_type == record.record_type || query_type == record_type::ANY {
        positive_response(vec![record], Vec::new())
    } else {
        negative_response(Rcode::NoError, zone)
    }
}

/// Returns the response for the name of a request, with the chosen endpoint.
///
/// A query for SRV or ANY gets an SRV record, with the endpoint's address and a TXT record with the
/// fill hints as additional records. A query for another type gets the endpoint's address record if
/// it is of that type, and otherwise a response without answers. The response code is `ServFail` if
/// the endpoint's uid does not fit into a domain name.
pub fn route_response(query_type: u16, zone: &Name, target: &Target) -> Response {
    let mut endpoint_name: Name =
        vec![target.uid.to_ascii_lowercase().into_bytes(), ENDPOINTS_LABEL.to_vec()];
    endpoint_name.extend(zone.iter().cloned());
    if !is_valid_name(&endpoint_name) {
        return Response::from_rcode(Rcode::ServFail);
    }
    if !matches!(query_type, record_type::SRV | record_type::ANY) {
        let record = address_record(None, target.addr);
        if record.record_type != query_type {
            return negative_response(Rcode::NoError, zone);
        }
        return positive_response(vec![record], Vec::new());
    }
    let data = srv_data(target.addr.port(), &endpoint_name);
    let service = Record { owner: None, record_type: record_type::SRV, data };
    let mut additional = vec![address_record(Some(endpoint_name), target.addr)];
    let hints: Vec<String> =
        fill_hint_fields(target).into_iter().map(|field| format!("{}={}", field.name, field.value)).collect();
    if !hints.is_empty() {
        additional.push(Record { owner: None, record_type: record_type::TXT, data: txt_data(&hints) });
    }
    positive_response(vec![service], additional)
}

fn positive_response(records: Vec<Record>, additional: Vec<Record>) -> Response {
    Response { rcode: Rcode::NoError, sections: [records, Vec::new(), additional] }
}

fn address_record(owner: Option<Name>, addr: SocketAddr) -> Record {
    match addr.ip() {
        IpAddr::V4(ip) => Record { owner, record_type: record_type::A, data: ip.octets().to_vec() },
        IpAddr::V6(ip) => Record { owner, record_type: record_type::AAAA, data: ip.octets().to_vec() },
    }
}

fn soa_record(zone: &Name) -> Record {
    Record { owner: Some(zone.clone()), record_type: record_type::SOA, data: soa_data(zone) }
}

/// Converts the SRV response of another router into the endpoint that it chose and the fill hints.
/// Returns `None` if the endpoint's address or uid is missing, the uid is not UTF-8, or a fill hint
/// is invalid.
pub fn parse_routing_hint(service: dns::SrvTarget) -> Option<RoutingHint> {
    let uid = String::from_utf8(service.target.first()?.clone()).ok()?;
    let mut fill = FillHint::default();
    for (name, value) in service.texts.iter().filter_map(|text| text.split_once('=')) {
        parse_fill_field(&mut fill, name, value)?;
    }
    let addr = SocketAddr::from((service.addr?, service.port));
    Some(RoutingHint { uid, addr, fill })
}

/// Parses a field of [`fill_hint_fields`] into `fill`. Fields with unknown names are ignored.
/// Returns `None` if the value is invalid.
fn parse_fill_field(fill: &mut FillHint, name: &str, value: &str) -> Option<()> {
    match name {
        "parent" => fill.source = Some(value.to_string()),
        "shelf" => fill.retention = value.parse().ok().filter(|priority| *priority <= MAX_RETENTION)?,
        "accept" => fill.max_age = Some(parse_millis(value)?),
        "hints" => {
            let has_flag = |name| value.split('+').any(|flag| flag == name);
            fill.coalesce = has_flag("coalesce");
            fill.stale_while_revalidate = has_flag("freshen");
            fill.only_if_cached = has_flag("shallow");
        }
        _ => {}
    }
    Some(())
}

/// Parses a duration in milliseconds. Returns `None` if the text is not a number, or if the
/// duration in microseconds, which is the router's unit of time, exceeds 64 bits.
fn parse_millis(text: &str) -> Option<Duration> {
    let millis = text.parse::<u64>().ok()?;
    millis.checked_mul(1_000).map(Duration::from_micros)
}
