//! Operators' calls over HTTP/1.1, one a connection: bytes in, a call or what is wrong with it out.

use std::fmt::Write;

/// A call's head may hold so many bytes...
const HEAD_MOST: usize = 8_192;
/// ...and so many lines.
const LINES: usize = 64;
/// No call needs a body; one that has a short one is read past it, so that the answer is not lost in a reset.
const BODY_MOST: usize = 4_096;

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOperation {
    /// Whether this process is ready to serve.
    Status,
    /// The figures.
    Metrics,
    /// What is known of other routers.
    ClusterStatus,
    /// Parts of the fleet's limits.
    LimitStatus,
    /// Empty the router.
    Standby,
    /// Back to work.
    Active,
}

/// A call as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// What is wanted.
    pub operation: AdminOperation,
    /// Only the head of the answer is.
    pub head_only: bool,
}

/// Why a call is not followed: HTTP's status, and the methods that would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminRequestError {
    /// The status.
    pub status: u16,
    /// For 405.
    pub allow: Option<&'static str>,
}

const fn wrong(status: u16) -> AdminRequestError {
    AdminRequestError { status, allow: None }
}

/// Reads one call in pieces of any size; holds a head and the count of a body at most.
#[derive(Debug, Default)]
pub struct AdminRequestReader {
    head: Vec<u8>,
    /// The call, once its head is whole, and the bytes of its body that are still to come.
    body: Option<(Result<AdminRequest, AdminRequestError>, usize)>,
}

impl AdminRequestReader {
    /// Takes bytes; none: there are more to come. After an end further bytes mean nothing.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Option<Result<AdminRequest, AdminRequestError>> {
        if self.body.is_none() {
            let before = self.head.len();
            // More than a whole head is not held, however much comes at once.
            let part = bytes.len().min(HEAD_MOST + BODY_MOST - before);
            self.head.extend_from_slice(&bytes[..part]);
            let (ends, call, body) = match head(&self.head) {
                Ok(Some(whole)) => whole,
                Ok(None) if self.head.len() > HEAD_MOST => return Some(Err(wrong(431))),
                Ok(None) => return None,
                Err(wrong) => return Some(Err(wrong)),
            };
            self.body = Some((call, body));
            bytes = &bytes[ends.saturating_sub(before).min(bytes.len())..];
        }
        let (call, left) = self.body.as_mut()?;
        *left = left.saturating_sub(bytes.len());
        (*left == 0).then_some(*call)
    }
}

/// A head: where it ends, what is asked, and how many bytes of a body follow. None: it is not whole.
type Head = (usize, Result<AdminRequest, AdminRequestError>, usize);

fn head(bytes: &[u8]) -> Result<Option<Head>, AdminRequestError> {
    let mut lines = [httparse::EMPTY_HEADER; LINES];
    let mut request = httparse::Request::new(&mut lines);
    let ends = match request.parse(bytes) {
        Ok(httparse::Status::Complete(ends)) if ends <= HEAD_MOST => ends,
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => return Err(wrong(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Version) => return Err(wrong(505)),
        Err(_) => return Err(wrong(400)),
    };
    let (mut body, mut waits) = (0, false);
    let mut told = false;
    for line in request.headers.iter() {
        let value = std::str::from_utf8(line.value).unwrap_or("").trim();
        if line.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            // Told twice, or no number: where the call ends can't be known.
            let length = value.parse::<usize>().ok().filter(|_| digits && !told).ok_or(wrong(400))?;
            (body, told) = (length, true);
            if length > BODY_MOST {
                return Err(wrong(413));
            }
        } else if line.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(wrong(411));
        } else if line.name.eq_ignore_ascii_case("expect") {
            waits = true;
        }
    }
    let asked = call(request.method.unwrap_or(""), request.path.unwrap_or(""));
    // Who waits to be told to go on is told the end instead.
    Ok(Some((ends, asked, if waits { 0 } else { body })))
}

fn call(method: &str, target: &str) -> Result<AdminRequest, AdminRequestError> {
    // A target may be a whole URL.
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    let call = match path.split('?').next().unwrap_or(path) {
        "/status" => AdminOperation::Status,
        "/status/metrics" => AdminOperation::Metrics,
        "/status/fleet" => AdminOperation::ClusterStatus,
        "/status/fleet/limits" => AdminOperation::LimitStatus,
        "/standby" => AdminOperation::Standby,
        "/active" => AdminOperation::Active,
        _ => return Err(wrong(404)),
    };
    let reads = matches!(
        call,
        AdminOperation::Status
            | AdminOperation::Metrics
            | AdminOperation::ClusterStatus
            | AdminOperation::LimitStatus
    );
    match method {
        "GET" | "HEAD" if reads => Ok(AdminRequest { operation: call, head_only: method == "HEAD" }),
        "PUT" if !reads => Ok(AdminRequest { operation: call, head_only: false }),
        _ => Err(AdminRequestError { status: 405, allow: Some(if reads { "GET, HEAD" } else { "PUT" }) }),
    }
}

/// The bytes of an answer; the connection ends after it.
pub fn encode_text_response(status: u16, allow: Option<&str>, body: &str, head_only: bool) -> Vec<u8> {
    typed(status, allow, "text/plain; charset=utf-8", body, head_only)
}

/// A yes whose body is JSON.
pub fn encode_json_response(body: &str, head_only: bool) -> Vec<u8> {
    typed(200, None, "application/json", body, head_only)
}

fn typed(status: u16, allow: Option<&str>, kind: &str, body: &str, head_only: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
    if let Some(allow) = allow {
        // A String takes whatever is written to it.
        let _written = write!(text, "Allow: {allow}\r\n");
    }
    let _written = write!(text, "Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    if !head_only {
        text.push_str(body);
    }
    text.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn whole(bytes: &[u8]) -> Option<Result<AdminRequest, AdminRequestError>> {
        AdminRequestReader::default().feed(bytes)
    }

    fn asks(call: AdminOperation) -> Option<Result<AdminRequest, AdminRequestError>> {
        Some(Ok(AdminRequest { operation: call, head_only: false }))
    }

    /// Guards against a call that is read otherwise because it came in pieces.
    #[test]
    fn every_call_is_the_same_in_any_two_pieces() {
        let calls: [(&str, AdminOperation); 5] = [
            ("GET /status HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Status),
            ("GET http://a:1/status/metrics?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Metrics),
            ("PUT /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", AdminOperation::Standby),
            ("PUT /active HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nagain", AdminOperation::Active),
            ("GET /status HTTP/1.0\r\n\r\n", AdminOperation::Status),
        ];
        for (text, call) in calls {
            assert_eq!(whole(text.as_bytes()), asks(call), "{text}");
            for at in 1..text.len() {
                let mut reader = AdminRequestReader::default();
                assert_eq!(reader.feed(&text.as_bytes()[..at]), None, "{text} at {at}");
                assert_eq!(reader.feed(&text.as_bytes()[at..]), asks(call), "{text} at {at}");
            }
        }
    }

    /// Guards against a yes to what is no call, and against calls that never end.
    #[test]
    fn what_is_no_call_is_told_so() {
        let long = format!("GET /status HTTP/1.1\r\nx: {}", "y".repeat(HEAD_MOST));
        let many = format!("GET /status HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(LINES + 1));
        let cases = [
            ("GET / HTTP/1.1\r\n\r\n", 404),
            ("GET /status/ HTTP/1.1\r\n\r\n", 404),
            ("POST /standby HTTP/1.1\r\n\r\n", 405),
            ("GET /active HTTP/1.1\r\n\r\n", 405),
            ("PUT /status HTTP/1.1\r\n\r\n", 405),
            ("PUT /standby HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 413),
            ("PUT /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            ("PUT /standby HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            ("PUT /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
            ("*2\r\n$4\r\nPING\r\n$1\r\n1\r\n", 400),
            ("GET /status HTTP/3.0\r\n\r\n", 505),
            (&long, 431),
            (&many, 431),
        ];
        for (text, status) in cases {
            let got = whole(text.as_bytes()).expect("an end").expect_err(text);
            assert_eq!(got.status, status, "{text}");
            assert_eq!(got.allow.is_some(), status == 405, "{text}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        /// Guards against bytes that panic the reader or fill it.
        #[test]
        fn any_bytes_are_read_within_bounds(pieces in proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..400), 0..60)) {
            let mut reader = AdminRequestReader::default();
            for piece in pieces {
                if reader.feed(&piece).is_some() {
                    break;
                }
                prop_assert!(reader.head.len() <= HEAD_MOST);
            }
        }
    }
}
