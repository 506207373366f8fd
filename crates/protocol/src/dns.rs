//! DNS messages (RFC 1035, SRV by RFC 2782, EDNS0 by RFC 6891): queries and answers, read and written.

/// Types that are answered or recognised.
pub const A: u16 = 1;
/// Start of authority.
pub const SOA: u16 = 6;
/// Text.
pub const TXT: u16 = 16;
/// IPv6 address.
pub const AAAA: u16 = 28;
/// Service.
pub const SRV: u16 = 33;
/// The EDNS0 pseudo-record.
const OPT: u16 = 41;
/// Incremental and whole zone transfers.
const TRANSFERS: [u16; 2] = [251, 252];
/// Any type, any class.
pub const ANY: u16 = 255;
const IN: u16 = 1;

/// The largest message over UDP that is sent or asked for: it fits one frame on common links.
pub const MAX_UDP_MESSAGE_BYTES: usize = 1232;
/// Without EDNS0 a message over UDP holds this much.
const UDP_PLAIN: usize = 512;
/// No query is longer than this.
pub const MAX_QUERY_BYTES: usize = 4096;
const HEADER: usize = 12;

/// What an answer says in its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rcode {
    /// No error.
    NoError = 0,
    /// The query can't be read.
    FormErr = 1,
    /// No decision could be made.
    ServFail = 2,
    /// There is no such name.
    NxDomain = 3,
    /// The kind of query is not implemented.
    NotImp = 4,
    /// Not answered for reasons of policy: another zone, or nothing may be named now.
    Refused = 5,
    /// An EDNS version that is not known; the upper bits go into the OPT record.
    BadVers = 16,
}

/// A name: its labels in lower case, the leftmost first.
pub type Name = Vec<Vec<u8>>;

/// The name that a text of labels and dots spells; none if it can't be one.
pub fn parse_name(text: &str) -> Option<Name> {
    let text = text.strip_suffix('.').unwrap_or(text).to_ascii_lowercase();
    let name: Name = text.split('.').map(|l| l.as_bytes().to_vec()).collect();
    (is_valid_name(&name) && text.is_ascii()).then_some(name)
}

/// Whether the labels fit the bounds of a name.
pub fn is_valid_name(name: &Name) -> bool {
    name.iter().all(|l| (1..=63).contains(&l.len())) && name.iter().map(|l| l.len() + 1).sum::<usize>() < 255
}

/// A question, with what its answer has to repeat.
#[derive(Debug)]
pub struct Query {
    id: u16,
    recursion: bool,
    question: Vec<u8>,
    /// The payload size that the client takes, if it speaks EDNS0.
    edns: Option<u16>,
    /// The name asked for.
    pub name: Name,
    /// The type asked for.
    pub record_type: u16,
    /// What is wrong with it, if its head could be read but no more.
    pub error: Option<Rcode>,
}

/// One record of an answer; its time to live is always 0.
#[derive(Debug)]
pub struct Record {
    /// Whose it is; none: the name asked for.
    pub owner: Option<Name>,
    /// Its type.
    pub record_type: u16,
    /// Its data.
    pub data: Vec<u8>,
}

/// What an answer holds.
#[derive(Debug)]
pub struct Response {
    /// Its code.
    pub rcode: Rcode,
    /// Response, authority and additional records.
    pub sections: [Vec<Record>; 3],
}

impl Response {
    /// An answer that is only a code.
    pub fn from_rcode(rcode: Rcode) -> Response {
        Response { rcode, sections: Default::default() }
    }
}

/// Reads off the front of bytes.
struct Input<'a>(&'a [u8], usize);

impl<'a> Input<'a> {
    fn bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let bytes = self.0.get(self.1..self.1.checked_add(n)?)?;
        self.1 += n;
        Some(bytes)
    }
    fn u16(&mut self) -> Option<u16> {
        self.bytes(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
    /// A name; pointers may only lead backwards, so that every walk ends.
    fn name(&mut self) -> Option<Name> {
        let (mut labels, mut len, mut before, mut after) = (Name::new(), 0, self.1, None);
        loop {
            match self.bytes(1)?[0] {
                0 => break,
                n @ 1..=63 => {
                    let label = self.bytes(usize::from(n))?.to_ascii_lowercase();
                    len += label.len() + 1;
                    labels.push(label);
                    if len > 254 {
                        return None;
                    }
                }
                n @ 192.. => {
                    let to = usize::from(n & 63) << 8 | usize::from(self.bytes(1)?[0]);
                    if to >= before {
                        return None;
                    }
                    after = after.or(Some(self.1));
                    (before, self.1) = (to, to);
                }
                _ => return None,
            }
        }
        self.1 = after.unwrap_or(self.1);
        Some(labels)
    }
    /// A record: its owner, type, class field, time-to-live field, and where its data lies.
    fn record(&mut self) -> Option<(Name, u16, u16, u32, std::ops::Range<usize>)> {
        let (owner, kind, class) = (self.name()?, self.u16()?, self.u16()?);
        let ttl = u32::from(self.u16()?) << 16 | u32::from(self.u16()?);
        let len = usize::from(self.u16()?);
        let at = self.1;
        self.bytes(len)?;
        Some((owner, kind, class, ttl, at..at + len))
    }
}

/// Reads a query. None: it is not to be answered at all (no head, or itself an answer).
pub fn parse_query(bytes: &[u8]) -> Option<Query> {
    let mut input = Input(bytes, 0);
    let (id, flags) = (input.u16()?, input.u16()?);
    let counts = [input.u16()?, input.u16()?, input.u16()?, input.u16()?];
    if flags & 0x8000 != 0 {
        return None;
    }
    let mut query = Query {
        id,
        recursion: flags & 0x0100 != 0,
        question: Vec::new(),
        edns: None,
        name: Name::new(),
        record_type: 0,
        error: None,
    };
    query.error = if flags & 0x7800 != 0 {
        Some(Rcode::NotImp)
    } else {
        read_question(&mut query, &mut input, counts).unwrap_or(Some(Rcode::FormErr))
    };
    Some(query)
}

/// Reads what follows the head; none: it can't be read.
fn read_question(query: &mut Query, input: &mut Input, counts: [u16; 4]) -> Option<Option<Rcode>> {
    if counts[0] != 1 {
        return None;
    }
    let name = input.name()?;
    let (kind, class) = (input.u16()?, input.u16()?);
    let raw = &input.0[HEADER..input.1];
    // The question is repeated as it came; with a pointer in it that would point astray.
    if raw.len() != name.iter().map(|l| l.len() + 1).sum::<usize>() + 5 {
        return None;
    }
    (query.name, query.record_type, query.question) = (name, kind, raw.to_vec());
    let mut wrong = None;
    for _ in 0..usize::from(counts[1]) + usize::from(counts[2]) + usize::from(counts[3]) {
        let (owner, kind, size, ttl, _) = input.record()?;
        if kind == OPT {
            if query.edns.replace(size).is_some() || !owner.is_empty() {
                return None;
            }
            wrong = (ttl >> 16 & 0xff != 0).then_some(Rcode::BadVers);
        }
    }
    if input.1 != input.0.len() {
        return None;
    }
    let policy = (class != IN && class != ANY) || TRANSFERS.contains(&kind);
    Some(wrong.or(policy.then_some(Rcode::Refused)))
}

fn put_name(out: &mut Vec<u8>, name: &Name) {
    for label in name {
        out.push(label.len() as u8);
        out.extend_from_slice(label);
    }
    out.push(0);
}

/// The data of an SRV record.
pub fn srv(port: u16, target: &Name) -> Vec<u8> {
    let mut data = vec![0, 0, 0, 0];
    data.extend(port.to_be_bytes());
    put_name(&mut data, target);
    data
}

/// The data of a TXT record; a text over its bound is left out.
pub fn txt(texts: &[String]) -> Vec<u8> {
    let fits = texts.iter().filter(|t| t.len() < 256);
    fits.flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect()
}

/// The data of a zone's SOA record. Nothing may be kept, so all its times for keeping are short.
pub fn soa(zone: &Name) -> Vec<u8> {
    let mut data = Vec::new();
    for first in ["ns", "hostmaster"] {
        data.push(first.len() as u8);
        data.extend(first.as_bytes());
        put_name(&mut data, zone);
    }
    for number in [1u32, 60, 60, 60, 0] {
        data.extend(number.to_be_bytes());
    }
    data
}

fn put_record(out: &mut Vec<u8>, record: &Record) {
    match &record.owner {
        Some(owner) => put_name(out, owner),
        None => out.extend((0xc000 | HEADER as u16).to_be_bytes()),
    }
    for field in [record.record_type, IN, 0, 0, record.data.len() as u16] {
        out.extend(field.to_be_bytes());
    }
    out.extend(&record.data);
}

/// How a message travels, which bounds its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram.
    Udp,
    /// A stream, with a length of two bytes before each message.
    Tcp,
}

/// The bytes of an answer. Over UDP it is held to what the client takes: first the additional records go,
/// then everything, with the mark that it was cut.
pub fn encode_response(query: &Query, answer: &Response, transport: Transport) -> Vec<u8> {
    let offered = query.edns.map_or(UDP_PLAIN, usize::from);
    let most = if transport == Transport::Udp {
        offered.clamp(UDP_PLAIN, MAX_UDP_MESSAGE_BYTES)
    } else {
        usize::from(u16::MAX)
    };
    let whole = encode(query, answer, 3, false);
    if whole.len() <= most {
        return whole;
    }
    let short = encode(query, answer, 2, false);
    if short.len() <= most {
        return short;
    }
    encode(query, answer, 0, true)
}

fn encode(query: &Query, answer: &Response, sections: usize, cut: bool) -> Vec<u8> {
    let code = answer.rcode as u16;
    let authority = matches!(answer.rcode, Rcode::NoError | Rcode::NxDomain);
    let flags = 0x8000
        | u16::from(authority) << 10
        | u16::from(cut) << 9
        | u16::from(query.recursion) << 8
        | code & 0xf;
    let mut counts = [u16::from(!query.question.is_empty()), 0, 0, 0];
    for (i, s) in answer.sections.iter().take(sections).enumerate() {
        counts[i + 1] = s.len() as u16;
    }
    counts[3] += u16::from(query.edns.is_some());
    let mut out = Vec::with_capacity(UDP_PLAIN);
    for field in [query.id, flags].into_iter().chain(counts) {
        out.extend(field.to_be_bytes());
    }
    out.extend(&query.question);
    answer.sections.iter().take(sections).flatten().for_each(|r| put_record(&mut out, r));
    if query.edns.is_some() {
        out.push(0);
        for field in [OPT, MAX_UDP_MESSAGE_BYTES as u16, code >> 4 << 8, 0, 0] {
            out.extend(field.to_be_bytes());
        }
    }
    out
}

/// The bytes of a question that this program asks, for an SRV record and what belongs to it.
pub fn encode_srv_query(id: u16, name: &Name) -> Vec<u8> {
    let mut out = Vec::new();
    for field in [id, 0, 1, 0, 0, 1] {
        out.extend(field.to_be_bytes());
    }
    put_name(&mut out, name);
    for field in [SRV, IN] {
        out.extend(field.to_be_bytes());
    }
    out.push(0);
    for field in [OPT, MAX_UDP_MESSAGE_BYTES as u16, 0, 0, 0] {
        out.extend(field.to_be_bytes());
    }
    out
}

/// The response to a query for an SRV record.
#[derive(Debug, PartialEq)]
pub struct SrvResponse {
    /// The response code without the upper bits of EDNS0, as in [`Rcode`]; a server may send one unknown here.
    pub rcode: u16,
    /// What the SRV record names; none if there is no such record or the response was truncated.
    pub target: Option<SrvTarget>,
}

/// What an answer to such a question names.
#[derive(Debug, PartialEq)]
pub struct SrvTarget {
    /// The target, and the port there.
    pub target: Name,
    /// The port.
    pub port: u16,
    /// The target's address.
    pub addr: Option<[u8; 4]>,
    /// The texts that come with it.
    pub texts: Vec<String>,
}

/// Reads an answer to the question of that id and name: its code, and what it names. None: it is no answer
/// to that question, or can't be read.
pub fn parse_srv_response(bytes: &[u8], id: u16, name: &Name) -> Option<SrvResponse> {
    let mut input = Input(bytes, 0);
    let (got, flags) = (input.u16()?, input.u16()?);
    let counts = [input.u16()?, input.u16()?, input.u16()?, input.u16()?];
    let same = got == id && flags & 0x8000 != 0 && counts[0] == 1 && input.name()? == *name;
    if !same || (input.u16()?, input.u16()?) != (SRV, IN) {
        return None;
    }
    let cut = flags & 0x0200 != 0;
    let mut pointed: Option<SrvTarget> = None;
    let (mut texts, mut addresses) = (Vec::new(), Vec::new());
    for _ in 0..counts[1..].iter().map(|c| usize::from(*c)).sum::<usize>() {
        let (owner, kind, _, _, data) = input.record()?;
        match kind {
            SRV if owner == *name && pointed.is_none() => {
                let mut data = Input(&bytes[..data.end], data.start);
                data.bytes(4)?;
                let (port, target) = (data.u16()?, data.name()?);
                pointed = Some(SrvTarget { target, port, addr: None, texts: Vec::new() });
            }
            A if data.len() == 4 => addresses.push((owner, data)),
            TXT if owner == *name => {
                let mut data = Input(&bytes[..data.end], data.start);
                while let Some(len) = data.bytes(1) {
                    texts.push(String::from_utf8(data.bytes(usize::from(len[0]))?.to_vec()).ok()?);
                }
            }
            _ => {}
        }
    }
    let pointed = pointed.filter(|_| !cut).map(|p| {
        let own = addresses.iter().find(|a| a.0 == p.target);
        let addr = own.and_then(|a| bytes[a.1.clone()].try_into().ok());
        SrvTarget { addr, texts, ..p }
    });
    Some(SrvResponse { rcode: flags & 0xf, target: pointed })
}

/// Takes messages with a length before them out of a byte stream.
#[derive(Debug, Default)]
pub struct MessageFramer(Vec<u8>);

impl MessageFramer {
    /// Takes bytes; whole messages go to `messages`. False: one is longer than any query may be.
    pub fn feed(&mut self, bytes: &[u8], messages: &mut Vec<Vec<u8>>) -> bool {
        self.0.extend_from_slice(bytes);
        let mut at = 0;
        while let Some(head) = self.0.get(at..at + 2) {
            let len = usize::from(u16::from_be_bytes([head[0], head[1]]));
            if len > MAX_QUERY_BYTES {
                return false;
            }
            let Some(message) = self.0.get(at + 2..at + 2 + len) else { break };
            messages.push(message.to_vec());
            at += 2 + len;
        }
        self.0.drain(..at);
        true
    }
}
