//! HTTP/1.1 codec of the admin endpoint: decodes requests and encodes responses.
//!
//! A connection carries one request and is closed after the response. The server package executes
//! the operations.

/// Maximum length of a request head (request line and headers), in bytes.
pub const MAX_HEAD_BYTES: usize = 8_192;
/// Maximum number of header lines in a request.
pub const MAX_HEADER_LINES: usize = 64;
/// Maximum length of a request body, in bytes. No operation needs a body, but a short one is read
/// and discarded: closing a connection with unread bytes would reset it before the response
/// arrives.
const MAX_BODY_BYTES: usize = 4_096;

/// An operation of the admin endpoint, identified by the path of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOperation {
    /// `/status`: returns the lifecycle phase, with status 200 if this process is ready and 503
    /// otherwise.
    Status,
    /// `/status/metrics`: returns the metrics in text exposition format.
    Metrics,
    /// `/status/fleet`: returns the cluster membership as this router knows it.
    ClusterStatus,
    /// `/status/fleet/limits`: returns the quotas of the cluster and their leases.
    QuotaStatus,
    /// `/standby`: takes this router out of rotation.
    Standby,
    /// `/active`: puts this router back into rotation.
    Active,
}

impl AdminOperation {
    fn from_path(path: &str) -> Option<AdminOperation> {
        match path {
            "/status" => Some(AdminOperation::Status),
            "/status/metrics" => Some(AdminOperation::Metrics),
            "/status/fleet" => Some(AdminOperation::ClusterStatus),
            "/status/fleet/limits" => Some(AdminOperation::QuotaStatus),
            "/standby" => Some(AdminOperation::Standby),
            "/active" => Some(AdminOperation::Active),
            _ => None,
        }
    }

    fn is_read_only(self) -> bool {
        !matches!(self, AdminOperation::Standby | AdminOperation::Active)
    }
}

/// A valid request to the admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// The operation that the method and the path of the request name.
    pub operation: AdminOperation,
    /// Whether the response must be sent without its body, because the method is `HEAD`.
    pub head_only: bool,
}

/// Reason for rejecting a request. The message is sent as the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// The bytes are not an HTTP request, or the `Content-Length` header is invalid or repeated.
    #[error("malformed request")]
    Malformed,
    /// No operation has the requested path.
    #[error("unknown path")]
    UnknownPath,
    /// The operation does not support the method of the request.
    #[error("method not allowed, only {allow}")]
    MethodNotAllowed {
        /// Supported methods, as the value of the `Allow` header.
        allow: &'static str,
    },
    /// The request has a `Transfer-Encoding` header instead of a declared body length.
    #[error("body without a declared length")]
    LengthRequired,
    /// The declared length of the body exceeds 4096 bytes.
    #[error("body too large")]
    BodyTooLarge,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has more than [`MAX_HEADER_LINES`] header lines.
    #[error("head too large")]
    HeadTooLarge,
    /// The HTTP version is neither 1.0 nor 1.1.
    #[error("unsupported HTTP version")]
    UnsupportedVersion,
}

impl AdminRequestError {
    /// Returns the HTTP status code of the response.
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

    /// Returns the value of the `Allow` header of the response. Returns `None` for errors other
    /// than [`AdminRequestError::MethodNotAllowed`], whose responses have no such header.
    pub fn allow(self) -> Option<&'static str> {
        match self {
            AdminRequestError::MethodNotAllowed { allow } => Some(allow),
            _ => None,
        }
    }
}

type ParsedRequest = Result<AdminRequest, AdminRequestError>;

/// A complete request head.
struct Head {
    /// Length of the head in bytes, including the empty line at its end.
    length: usize,
    request: ParsedRequest,
    /// Number of bytes of the body to read and discard before the response is sent.
    body_length: usize,
}

/// A request whose head is complete but whose body is not.
#[derive(Clone, Copy, Debug)]
struct PendingBody {
    request: ParsedRequest,
    /// Number of bytes of the body that have not been received yet.
    remaining: usize,
}

/// Incremental decoder for the one request of a connection.
#[derive(Debug, Default)]
pub struct AdminRequestReader {
    /// Bytes received up to the end of the head, with body bytes that arrived together with it.
    head: Vec<u8>,
    /// Request whose body is not complete yet; `None` while the head is incomplete.
    pending_body: Option<PendingBody>,
}

impl AdminRequestReader {
    /// Decodes received bytes. Returns `None` if the request is not complete yet. Bytes after the
    /// end of the request are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<ParsedRequest> {
        let mut body = bytes;
        if self.pending_body.is_none() {
            let already_buffered = self.head.len();
            // However many bytes arrive at once, no more than the longest request is buffered.
            let accepted = bytes.len().min(MAX_HEAD_BYTES + MAX_BODY_BYTES - already_buffered);
            self.head.extend_from_slice(&bytes[..accepted]);
            let head = match parse_head(&self.head) {
                Ok(Some(head)) => head,
                Ok(None) if self.head.len() > MAX_HEAD_BYTES => {
                    return Some(Err(AdminRequestError::HeadTooLarge));
                }
                Ok(None) => return None,
                Err(error) => return Some(Err(error)),
            };
            let end_of_head = head.length.saturating_sub(already_buffered).min(bytes.len());
            body = &bytes[end_of_head..];
            self.pending_body = Some(PendingBody { request: head.request, remaining: head.body_length });
        }
        let pending = self.pending_body.as_mut()?;
        pending.remaining = pending.remaining.saturating_sub(body.len());
        (pending.remaining == 0).then_some(pending.request)
    }

    /// Returns the number of buffered bytes, at most [`MAX_HEAD_BYTES`] while the head is
    /// incomplete.
    pub fn buffered_bytes(&self) -> usize {
        self.head.len()
    }
}

/// Parses a request head. Returns `None` if it is not complete yet.
///
/// An error means that the end of the request cannot be determined, so it is reported without
/// waiting for a body. Errors of the path or method are in [`Head::request`] instead, since the
/// body must still be read.
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

/// Returns the number of bytes of the body to read before the response is sent.
fn body_length(headers: &[httparse::Header]) -> Result<usize, AdminRequestError> {
    let mut length = None;
    let mut expects_continue = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            // With two declared lengths, the end of the request would be ambiguous.
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
    // A client that expects `100 Continue` sends its body only after that interim response. It gets
    // the final response instead, so there is no body to read.
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

/// Returns the path of a request target, without its query. The target may be an absolute URL.
fn path_of(target: &str) -> &str {
    let path_and_query = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |start| &rest[start..]),
        None => target,
    };
    path_and_query.split('?').next().unwrap_or(path_and_query)
}

/// Encodes a response with a plain text body and the header `Connection: close`. With `head_only`,
/// the body is omitted but its length is still declared.
pub fn encode_text_response(status: u16, allow: Option<&str>, body: &str, head_only: bool) -> Vec<u8> {
    encode_response(status, allow, "text/plain; charset=utf-8", body, head_only)
}

/// Encodes a response of status 200 with a JSON body and the header `Connection: close`. With
/// `head_only`, the body is omitted but its length is still declared.
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
