//! DNS-based request routing without its wire format: what a name asks for, and what is answered to it.
//!
//! Names of requests, below the zone: `[rRID.]gGROUP.pPART.OBJECT.CLASS.ZONE`, as in
//! `g17.p3.7f3a9c21e0b4d655.docs-pages.route.example`. A class that may not be repeated needs the `r` label
//! with the request's id, the others have none. Boxes stand at `UID.box.ZONE`.

use crate::dns::{self, Name, Rcode, Record, Response};
use crate::endpoint::fill_hint_fields;
use crate::resp::{parse_decimal, parse_hex_u64};
use hollymux_decision::Idempotency;
use hollymux_router::classes::Classes;
use hollymux_router::{FillHint, RequestedObject, RoutingHint, Target};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The label below the zone under which the boxes stand.
const BOX: &[u8] = b"box";

/// What a name is.
#[derive(Debug, PartialEq)]
pub enum NameKind {
    /// Not below the zone.
    OutsideZone,
    /// Nothing.
    NotFound,
    /// The zone itself.
    Apex,
    /// There are names below it, but it has no records.
    EmptyNonTerminal,
    /// A box, by its name there.
    Endpoint(Vec<u8>),
    /// A request.
    Request(RequestedObject),
}

/// A number behind a letter.
fn lettered(label: &[u8], letter: u8) -> Option<u32> {
    let digits = label.strip_prefix(&[letter])?;
    let plain = digits == b"0" || !digits.starts_with(b"0");
    parse_decimal(digits).filter(|_| plain).and_then(|n| u32::try_from(n).ok())
}

/// What a name is in a zone with these classes.
pub fn classify_name(name: &Name, zone: &Name, classes: &Classes) -> NameKind {
    let Some(below) = name.strip_suffix(zone.as_slice()) else { return NameKind::OutsideZone };
    let Some(first) = below.last() else { return NameKind::Apex };
    if first == BOX {
        return match below {
            [_] => NameKind::EmptyNonTerminal,
            [uid, _] => NameKind::Endpoint(uid.clone()),
            _ => NameKind::NotFound,
        };
    }
    wanted(below, classes).unwrap_or(NameKind::NotFound)
}

fn wanted(below: &[Vec<u8>], classes: &Classes) -> Option<NameKind> {
    let mut labels = below.iter().rev();
    let label = labels.next()?;
    let class = classes.named_in_any_case(label)?;
    let Some(object) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let object = parse_hex_u64(object)?;
    let Some(part) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let part = lettered(part, b'p')?;
    let Some(group) = labels.next() else { return Some(NameKind::EmptyNonTerminal) };
    let group = lettered(group, b'g').filter(|g| *g < 256)?;
    let once = classes.idempotency(class) == Idempotency::NotIdempotent;
    let rid = match (labels.next(), once) {
        (None, true) => return Some(NameKind::EmptyNonTerminal),
        (None, false) => None,
        (Some(rid), true) => Some(parse_hex_u64(rid.strip_prefix(b"r")?)?),
        (Some(_), false) => return None,
    };
    labels.next().is_none().then_some(NameKind::Request(RequestedObject { class, object, part, group, rid }))
}

/// The name that asks for that.
pub fn encode_name(w: &RequestedObject, zone: &Name, classes: &Classes) -> Option<Name> {
    let class = classes.name(w.class).to_ascii_lowercase().into_bytes();
    let mut name: Name = w.rid.iter().map(|r| format!("r{r:016x}").into_bytes()).collect();
    name.push(format!("g{}", w.group).into_bytes());
    name.push(format!("p{}", w.part).into_bytes());
    name.push(format!("{:016x}", w.object).into_bytes());
    name.push(class);
    name.extend(zone.iter().cloned());
    Some(name).filter(dns::is_valid_name)
}

fn address(owner: Option<Name>, addr: SocketAddr) -> Record {
    match addr.ip() {
        IpAddr::V4(ip) => Record { owner, record_type: dns::A, data: ip.octets().to_vec() },
        IpAddr::V6(ip) => Record { owner, record_type: dns::AAAA, data: ip.octets().to_vec() },
    }
}

fn authority(zone: &Name) -> Record {
    Record { owner: Some(zone.clone()), record_type: dns::SOA, data: dns::soa(zone) }
}

/// There is no such name, or no such record of it.
pub fn negative_response(code: Rcode, zone: &Name) -> Response {
    Response { rcode: code, sections: [Vec::new(), vec![authority(zone)], Vec::new()] }
}

fn some(records: Vec<Record>, additional: Vec<Record>) -> Response {
    Response { rcode: Rcode::NoError, sections: [records, Vec::new(), additional] }
}

/// The zone's own records.
pub fn apex_response(kind: u16, zone: &Name) -> Response {
    match kind {
        dns::SOA | dns::ANY => some(vec![Record { owner: None, ..authority(zone) }], Vec::new()),
        _ => negative_response(Rcode::NoError, zone),
    }
}

/// A box's own records.
pub fn endpoint_response(kind: u16, zone: &Name, addr: SocketAddr) -> Response {
    let record = address(None, addr);
    if kind == record.record_type || kind == dns::ANY {
        some(vec![record], Vec::new())
    } else {
        negative_response(Rcode::NoError, zone)
    }
}

/// Whether a request's name is answered for that type: no decision is made, and no load counted, for others,
/// such as the AAAA question that many clients put beside the one for A.
pub fn is_routable_type(kind: u16) -> bool {
    matches!(kind, dns::A | dns::SRV | dns::ANY)
}

/// Names the box that was chosen. What the fill is to be goes with it as text.
pub fn route_response(kind: u16, zone: &Name, target: &Target) -> Response {
    let mut owner: Name = vec![target.uid.to_ascii_lowercase().into_bytes(), BOX.to_vec()];
    owner.extend(zone.iter().cloned());
    if !dns::is_valid_name(&owner) {
        return Response::from_rcode(Rcode::ServFail);
    }
    let srv = Record { owner: None, record_type: dns::SRV, data: dns::srv(target.addr.port(), &owner) };
    let texts: Vec<String> =
        fill_hint_fields(target).iter().map(|f| format!("{}={}", f.name, f.value)).collect();
    let mut additional = vec![address(Some(owner), target.addr)];
    match kind {
        dns::SRV | dns::ANY => {
            if !texts.is_empty() {
                additional.push(Record { owner: None, record_type: dns::TXT, data: dns::txt(&texts) });
            }
            some(vec![srv], additional)
        }
        _ => {
            let record = Record { owner: None, ..additional.remove(0) };
            if record.record_type == kind {
                some(vec![record], Vec::new())
            } else {
                negative_response(Rcode::NoError, zone)
            }
        }
    }
}

/// A span told in milliseconds; none if it is no number, or more than can be told in microseconds.
fn millis(text: &str) -> Option<Duration> {
    text.parse::<u64>().ok()?.checked_mul(1_000).map(Duration::from_micros)
}

/// What an answer that was followed tells of a box: its name and address, and the fill; none if it can't be used.
pub fn parse_routing_hint(pointed: dns::SrvTarget) -> Option<RoutingHint> {
    let uid = String::from_utf8(pointed.target.first()?.clone()).ok()?;
    let mut fill = FillHint::default();
    for (name, value) in pointed.texts.iter().filter_map(|t| t.split_once('=')) {
        match name {
            "parent" => fill.source = Some(value.to_string()),
            "shelf" => fill.retention = value.parse().ok().filter(|k| *k <= 3)?,
            "accept" => fill.max_age = Some(millis(value)?),
            "hints" => {
                let told = |hint| value.split('+').any(|h| h == hint);
                fill.coalesce = told("coalesce");
                fill.stale_while_revalidate = told("freshen");
                fill.only_if_cached = told("shallow");
            }
            _ => {}
        }
    }
    Some(RoutingHint { uid, addr: SocketAddr::from((pointed.addr?, pointed.port)), fill })
}
