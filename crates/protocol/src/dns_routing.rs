//! Request routing by DNS: which name stands for what, and which records answer it. The wire
//! format is [`crate::dns`]'s, the decision the router's.
//!
//! A request's name below the zone is `[rRID.]gGROUP.pPART.OBJECT.CLASS.ZONE`, as in
//! `g17.p3.7f3a9c21e0b4d655.docs-pages.route.example`. A class whose requests are not idempotent
//! needs the `r` label with the request's id, the others have none. An endpoint's name is
//! `UID.box.ZONE`.

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

/// The label below the zone that holds the endpoints' names.
const ENDPOINTS_LABEL: &[u8] = b"box";
/// The highest retention priority of a copy.
const MAX_RETENTION: u8 = 3;

/// What a name stands for.
#[derive(Debug, PartialEq)]
pub enum NameKind {
    /// It is not in the zone.
    OutsideZone,
    /// It does not exist.
    NotFound,
    /// The zone itself.
    Apex,
    /// It has no records, but there are names below it (RFC 8499).
    EmptyNonTerminal,
    /// An endpoint, by its uid in lower case.
    Endpoint(Vec<u8>),
    /// A request.
    Request(RequestedObject),
}

/// What a name stands for in a zone with these classes.
pub fn classify_name(name: &Name, zone: &Name, classes: &Classes) -> NameKind {
    let Some(labels) = name.strip_suffix(zone.as_slice()) else { return NameKind::OutsideZone };
    match labels {
        [] => NameKind::Apex,
        [label] if label == ENDPOINTS_LABEL => NameKind::EmptyNonTerminal,
        [uid, label] if label == ENDPOINTS_LABEL => NameKind::Endpoint(uid.clone()),
        [.., label] if label == ENDPOINTS_LABEL => NameKind::NotFound,
        _ => classify_request_name(labels, classes).unwrap_or(NameKind::NotFound),
    }
}

/// What the labels below the zone stand for if they are not an endpoint's; none if the name does
/// not exist.
fn classify_request_name(labels: &[Vec<u8>], classes: &Classes) -> Option<NameKind> {
    let mut labels = labels.iter().rev();
    let class = classes.named_in_any_case(labels.next()?)?;
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

/// A decimal number without leading zeros behind a letter.
fn parse_prefixed_number(label: &[u8], prefix: u8) -> Option<u32> {
    let digits = label.strip_prefix(&[prefix])?;
    if digits.starts_with(b"0") && digits != b"0" {
        return None;
    }
    u32::try_from(parse_decimal(digits)?).ok()
}

/// The name that stands for a request; none if it would be too long.
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

/// Whether a request's name has records of that type. For others, such as the AAAA query that many
/// clients send along with that for A, no decision is made and no load counted.
pub fn is_routable_type(query_type: u16) -> bool {
    matches!(query_type, record_type::A | record_type::SRV | record_type::ANY)
}

/// The response for a name that does not exist or has no record of the type.
pub fn negative_response(rcode: Rcode, zone: &Name) -> Response {
    Response { rcode, sections: [Vec::new(), vec![soa_record(zone)], Vec::new()] }
}

/// The response for the zone's own name.
pub fn apex_response(query_type: u16, zone: &Name) -> Response {
    match query_type {
        record_type::SOA | record_type::ANY => {
            positive_response(vec![Record { owner: None, ..soa_record(zone) }], Vec::new())
        }
        _ => negative_response(Rcode::NoError, zone),
    }
}

/// The response for an endpoint's name.
pub fn endpoint_response(query_type: u16, zone: &Name, addr: SocketAddr) -> Response {
    let record = address_record(None, addr);
    if query_type == record.record_type || query_type == record_type::ANY {
        positive_response(vec![record], Vec::new())
    } else {
        negative_response(Rcode::NoError, zone)
    }
}

/// The response for a request's name: the endpoint that was chosen, and in a TXT record how the
/// endpoint is to fill its copy. A query for addresses gets the address alone.
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
    let texts: Vec<String> =
        fill_hint_fields(target).into_iter().map(|field| format!("{}={}", field.name, field.value)).collect();
    if !texts.is_empty() {
        additional.push(Record { owner: None, record_type: record_type::TXT, data: txt_data(&texts) });
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

/// Reads a routing answer of another router: the endpoint's uid and address, and the fill hints.
/// None if it can't be used.
pub fn parse_routing_hint(service: dns::SrvTarget) -> Option<RoutingHint> {
    let uid = String::from_utf8(service.target.first()?.clone()).ok()?;
    let mut fill = FillHint::default();
    for (name, value) in service.texts.iter().filter_map(|text| text.split_once('=')) {
        read_fill_field(&mut fill, name, value)?;
    }
    let addr = SocketAddr::from((service.addr?, service.port));
    Some(RoutingHint { uid, addr, fill })
}

/// Reads a field as [`fill_hint_fields`] writes it; none if its value is invalid. Names that are
/// not known are ignored.
fn read_fill_field(fill: &mut FillHint, name: &str, value: &str) -> Option<()> {
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

/// A duration in milliseconds; none if its microseconds exceed 64 bits, as the router counts those.
fn parse_millis(text: &str) -> Option<Duration> {
    let millis = text.parse::<u64>().ok()?;
    millis.checked_mul(1_000).map(Duration::from_micros)
}
