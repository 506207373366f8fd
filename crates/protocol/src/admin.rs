//! The admin endpoint's HTTP/1.1, one request a connection: bytes in, a request or the reason for
//! its rejection out; and the responses' bytes. What an operation does is the server's part.

/// Longest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 8_192;
/// Most header lines of a request.
pub const MAX_HEADER_LINES: usize = 64;
/// Longest body of a request, in bytes. No operation needs one; a short one is read and discarded,
/// since closing with unread bytes would reset the connection before the response arrives.
const MAX_BODY_BYTES: usize = 4_096;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOperation {
    /// Whether this process is ready to serve.
    Status,
    /// The metrics in the text exposition format.
    Metrics,
    /// The membership of the cluster as this router knows it.
    ClusterStatus,
    /// The leases of the cluster's limits.
    LimitStatus,
    /// Leave rotation.
    Standby,
    /// Return to rotation.
    Active,
}

impl AdminOperation {
    fn from_path(path: &str) -> Option<AdminOperation> {
        match path {
            "/status" => Some(AdminOperation::Status),
            "/status/metrics" => Some(AdminOperation::Metrics),
            "/status/fleet" => Some(AdminOperation::ClusterStatus),
            "/status/fleet/limits" => Some(AdminOperation::LimitStatus),
            "/standby" => Some(AdminOperation::Standby),
            "/active" => Some(AdminOperation::Active),
            _ => None,
        }
    }

    fn is_read_only(self) -> bool {
        !matches!(self, AdminOperation::Standby | AdminOperation::Active)
    }
}

/// A valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// What is asked for.
    pub operation: AdminOperation,
    /// Whether only the head of the response is to be sent, as `HEAD` asks.
    pub head_only: bool,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// It is no HTTP, or its length can't be known.
    #[error("malformed request")]
    Malformed,
    /// There is no operation at that path.
    #[error("unknown path")]
    UnknownPath,
    /// The operation has other methods.
    #[error("method not allowed, only {allow}")]
    MethodNotAllowed {
        /// The methods that are allowed, as the `Allow` header has them.
        allow: &'static str,
    },
    /// The body has no declared length.
    #[error("body without a declared length")]
    LengthRequired,
    /// The body is longer than any that is read.
    #[error("body too large")]
    BodyTooLarge,
    /// The head is longer than any that is read.
    #[error("head too large")]
    HeadTooLarge,
    /// Another major version of HTTP.
    #[error("unsupported HTTP version")]
    UnsupportedVersion,
}

impl AdminRequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            AdminRequestError::Malformed => 400,
            AdminRequestError::UnknownPath => 404,
            AdminRequestError::MethodNotAllowed { .. } => 405,
            AdminRequestError::LengthRequired => 411,
            AdminRequestError::BodyTooLarge => 413,
            AdminRequestError::HeadTooLarge => 431,
            AdminRequestError::UnsupportedVersion => 505,
        }
    }

    /// The value of the response's `Allow` header, where there is one.
    pub fn allow(self) -> Option<&'static str> {
        match self {
            AdminRequestError::MethodNotAllowed { allow } => Some(allow),
            _ => None,
        }
    }
}

type ParsedRequest = Result<AdminRequest, AdminRequestError>;

/// The end of a head, and what it says.
struct Head {
    /// Its length in bytes.
    length: usize,
    request: ParsedRequest,
    /// Bytes of the body to discard before the response.
    body_length: usize,
}

/// A request whose head is complete and whose body is not.
#[derive(Clone, Copy, Debug)]
struct PendingBody {
    request: ParsedRequest,
    remaining: usize,
}

/// Reads one request in pieces of any size.
#[derive(Debug, Default)]
pub struct AdminRequestReader {
    head: Vec<u8>,
    pending_body: Option<PendingBody>,
}

impl AdminRequestReader {
    /// Takes bytes; none if the request is not complete. Bytes after its end are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<ParsedRequest> {
        let mut body = bytes;
        if self.pending_body.is_none() {
            let held = self.head.len();
            // No more than the longest request is kept, however much arrives at once.
            let taken = bytes.len().min(MAX_HEAD_BYTES + MAX_BODY_BYTES - held);
            self.head.extend_from_slice(&bytes[..taken]);
            let head = match parse_head(&self.head) {
                Ok(Some(head)) => head,
                Ok(None) if self.head.len() > MAX_HEAD_BYTES => {
                    return Some(Err(AdminRequestError::HeadTooLarge));
                }
                Ok(None) => return None,
                Err(error) => return Some(Err(error)),
            };
            let end_of_head = head.length.saturating_sub(held).min(bytes.len());
            body = &bytes[end_of_head..];
            self.pending_body = Some(PendingBody { request: head.request, remaining: head.body_length });
        }
        let pending = self.pending_body.as_mut()?;
        pending.remaining = pending.remaining.saturating_sub(body.len());
        (pending.remaining == 0).then_some(pending.request)
    }

    /// Bytes of the head that are held.
    pub fn buffered_bytes(&self) -> usize {
        self.head.len()
    }
}

/// Parses a head; none if it is not complete. An error means that the end of the request can't be
/// known, so that nothing is left to wait for.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, AdminRequestError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(AdminRequestError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Version) => return Err(AdminRequestError::UnsupportedVersion),
        Err(_) => return Err(AdminRequestError::Malformed),
    };
    let body_length = body_length(request.headers)?;
    let request = parse_request(request.method.unwrap_or(""), request.path.unwrap_or(""));
    Ok(Some(Head { length, request, body_length }))
}

/// The length of the body that is to be read before the response.
fn body_length(headers: &[httparse::Header]) -> Result<usize, AdminRequestError> {
    let mut length = None;
    let mut expects_continue = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            // Declared twice, the end of the request can't be known.
            if length.is_some() {
                return Err(AdminRequestError::Malformed);
            }
            let declared = parse_content_length(header.value)?;
            if declared > MAX_BODY_BYTES {
                return Err(AdminRequestError::BodyTooLarge);
            }
            length = Some(declared);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(AdminRequestError::LengthRequired);
        } else if header.name.eq_ignore_ascii_case("expect") {
            expects_continue = true;
        }
    }
    // A client that waits for `100 Continue` sends no body before it, and gets the final response
    // in its place.
    Ok(if expects_continue { 0 } else { length.unwrap_or(0) })
}

fn parse_content_length(value: &[u8]) -> Result<usize, AdminRequestError> {
    let digits = std::str::from_utf8(value).unwrap_or("").trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(AdminRequestError::Malformed);
    }
    digits.parse().map_err(|_| AdminRequestError::Malformed)
}

fn parse_request(method: &str, target: &str) -> ParsedRequest {
    let path = path_of(target);
    let operation = AdminOperation::from_path(path).ok_or(AdminRequestError::UnknownPath)?;
    match (method, operation.is_read_only()) {
        ("GET" | "HEAD", true) => Ok(AdminRequest { operation, head_only: method == "HEAD" }),
        ("PUT", false) => Ok(AdminRequest { operation, head_only: false }),
        (_, true) => Err(AdminRequestError::MethodNotAllowed { allow: "GET, HEAD" }),
        (_, false) => Err(AdminRequestError::MethodNotAllowed { allow: "PUT" }),
    }
}

/// The path of a request target without its query. The target may be an absolute URL.
fn path_of(target: &str) -> &str {
    let path_and_query = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |start| &rest[start..]),
        None => target,
    };
    path_and_query.split('?').next().unwrap_or(path_and_query)
}

/// A response with a text as its body; the connection ends after it.
pub fn encode_text_response(status: u16, allow: Option<&str>, body: &str, head_only: bool) -> Vec<u8> {
    encode_response(status, allow, "text/plain; charset=utf-8", body, head_only)
}

/// A response of status 200 with JSON as its body; the connection ends after it.
pub fn encode_json_response(body: &str, head_only: bool) -> Vec<u8> {
    encode_response(200, None, "application/json", body, head_only)
}

fn encode_response(
    status: u16,
    allow: Option<&str>,
    content_type: &str,
    body: &str,
    head_only: bool,
) -> Vec<u8> {
    let reason = reason_phrase(status);
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n");
    if let Some(allow) = allow {
        text.push_str(&format!("Allow: {allow}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    if !head_only {
        text.push_str(body);
    }
    text.into_bytes()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
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
    }
}
