//! DNS-based request routing without its wire format: what a name asks for, and what is answered to it.
//!
//! Names of requests, below the zone: `[rRID.]gGROUP.pPART.OBJECT.CLASS.ZONE`, as in
//! `g17.p3.7f3a9c21e0b4d655.docs-pages.route.example`. A class that may not be repeated needs the `r` label
//! with the request's id, the others have none. Boxes stand at `UID.box.ZONE`.

use crate::client::hex16;
use crate::dns::{self, Answer, Name, Rcode, Record};
use crate::endpoint::fill_fields;
use crate::resp::decimal;
use hollymux_decision::Idempotency;
use hollymux_router::classes::Classes;
use hollymux_router::{FillHint, RequestedObject, RoutingHint, Target};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The label below the zone under which the boxes stand.
const BOX: &[u8] = b"box";

/// What a name is.
#[derive(Debug, PartialEq)]
pub enum Place {
    /// Not below the zone.
    Elsewhere,
    /// Nothing.
    Nowhere,
    /// The zone itself.
    Apex,
    /// There are names below it, but it has no records.
    Between,
    /// A box, by its name there.
    Box(Vec<u8>),
    /// A request.
    RequestedObject(RequestedObject),
}

/// A number behind a letter.
fn lettered(label: &[u8], letter: u8) -> Option<u32> {
    let digits = label.strip_prefix(&[letter])?;
    let plain = digits == b"0" || !digits.starts_with(b"0");
    decimal(digits).filter(|_| plain).and_then(|n| u32::try_from(n).ok())
}

/// What a name is in a zone with these classes.
pub fn place(name: &Name, zone: &Name, classes: &Classes) -> Place {
    let Some(below) = name.strip_suffix(zone.as_slice()) else { return Place::Elsewhere };
    let Some(first) = below.last() else { return Place::Apex };
    if first == BOX {
        return match below {
            [_] => Place::Between,
            [uid, _] => Place::Box(uid.clone()),
            _ => Place::Nowhere,
        };
    }
    wanted(below, classes).unwrap_or(Place::Nowhere)
}

fn wanted(below: &[Vec<u8>], classes: &Classes) -> Option<Place> {
    let mut labels = below.iter().rev();
    let label = labels.next()?;
    let class = classes.named_in_any_case(label)?;
    let Some(object) = labels.next() else { return Some(Place::Between) };
    let object = hex16(object)?;
    let Some(part) = labels.next() else { return Some(Place::Between) };
    let part = lettered(part, b'p')?;
    let Some(group) = labels.next() else { return Some(Place::Between) };
    let group = lettered(group, b'g').filter(|g| *g < 256)?;
    let once = classes.idempotency(class) == Idempotency::NotIdempotent;
    let rid = match (labels.next(), once) {
        (None, true) => return Some(Place::Between),
        (None, false) => None,
        (Some(rid), true) => Some(hex16(rid.strip_prefix(b"r")?)?),
        (Some(_), false) => return None,
    };
    labels.next().is_none().then_some(Place::RequestedObject(RequestedObject {
        class,
        object,
        chunk: part,
        group,
        request_id: rid,
    }))
}

/// The name that asks for that.
pub fn name_of(w: &RequestedObject, zone: &Name, classes: &Classes) -> Option<Name> {
    let class = classes.name(w.class).to_ascii_lowercase().into_bytes();
    let mut name: Name = w.request_id.iter().map(|r| format!("r{r:016x}").into_bytes()).collect();
    name.push(format!("g{}", w.group).into_bytes());
    name.push(format!("p{}", w.chunk).into_bytes());
    name.push(format!("{:016x}", w.object).into_bytes());
    name.push(class);
    name.extend(zone.iter().cloned());
    Some(name).filter(dns::valid)
}

fn address(owner: Option<Name>, addr: SocketAddr) -> Record {
    match addr.ip() {
        IpAddr::V4(ip) => Record { owner, kind: dns::A, data: ip.octets().to_vec() },
        IpAddr::V6(ip) => Record { owner, kind: dns::AAAA, data: ip.octets().to_vec() },
    }
}

fn authority(zone: &Name) -> Record {
    Record { owner: Some(zone.clone()), kind: dns::SOA, data: dns::soa(zone) }
}

/// There is no such name, or no such record of it.
pub fn nothing(code: Rcode, zone: &Name) -> Answer {
    Answer { code, sections: [Vec::new(), vec![authority(zone)], Vec::new()] }
}

fn some(records: Vec<Record>, additional: Vec<Record>) -> Answer {
    Answer { code: Rcode::NoError, sections: [records, Vec::new(), additional] }
}

/// The zone's own records.
pub fn apex(kind: u16, zone: &Name) -> Answer {
    match kind {
        dns::SOA | dns::ANY => some(vec![Record { owner: None, ..authority(zone) }], Vec::new()),
        _ => nothing(Rcode::NoError, zone),
    }
}

/// A box's own records.
pub fn ready_address(kind: u16, zone: &Name, addr: SocketAddr) -> Answer {
    let record = address(None, addr);
    if kind == record.kind || kind == dns::ANY {
        some(vec![record], Vec::new())
    } else {
        nothing(Rcode::NoError, zone)
    }
}

/// Whether a request's name is answered for that type: no decision is made, and no load counted, for others,
/// such as the AAAA question that many clients put beside the one for A.
pub fn answers(kind: u16) -> bool {
    matches!(kind, dns::A | dns::SRV | dns::ANY)
}

/// Names the box that was chosen. What the fill is to be goes with it as text.
pub fn named(kind: u16, zone: &Name, target: &Target) -> Answer {
    let mut owner: Name = vec![target.uid.to_ascii_lowercase().into_bytes(), BOX.to_vec()];
    owner.extend(zone.iter().cloned());
    if !dns::valid(&owner) {
        return Answer::code(Rcode::ServFail);
    }
    let srv = Record { owner: None, kind: dns::SRV, data: dns::srv(target.addr.port(), &owner) };
    let texts: Vec<String> =
        fill_fields(target).iter().map(|(name, value)| format!("{name}={value}")).collect();
    let mut additional = vec![address(Some(owner), target.addr)];
    match kind {
        dns::SRV | dns::ANY => {
            if !texts.is_empty() {
                additional.push(Record { owner: None, kind: dns::TXT, data: dns::txt(&texts) });
            }
            some(vec![srv], additional)
        }
        _ => {
            let record = Record { owner: None, ..additional.remove(0) };
            if record.kind == kind {
                some(vec![record], Vec::new())
            } else {
                nothing(Rcode::NoError, zone)
            }
        }
    }
}

/// A span told in milliseconds; none if it is no number, or more than can be told in microseconds.
fn millis(text: &str) -> Option<Duration> {
    text.parse::<u64>().ok()?.checked_mul(1_000).map(Duration::from_micros)
}

/// What an answer that was followed tells of a box: its name and address, and the fill; none if it can't be used.
pub fn hint(pointed: dns::Pointed) -> Option<RoutingHint> {
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
