//! A minimal HTTP/1.1 client for a router's admin endpoint, with one request per connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting and for each read. A router answers within a second.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the response size in bytes, far above the response of the largest cluster. The rest of
/// a longer response is not read.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Most header fields of a response. A router sends fewer.
const MAX_HEADERS: usize = 16;

/// Why the admin endpoint gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The connection could not be opened, or failed before the end of the response.
    #[error("{endpoint}: {cause}")]
    Connection {
        /// The address of the admin endpoint.
        endpoint: SocketAddr,
        /// The I/O error of the connection.
        cause: std::io::Error,
    },
    /// The response is not HTTP, so the address is not that of an admin endpoint.
    #[error("{endpoint}: response is not HTTP, so this is not a router's admin endpoint: {cause}")]
    NotHttp {
        /// The address to which the request was sent.
        endpoint: SocketAddr,
        /// The error of the HTTP parser.
        cause: httparse::Error,
    },
    /// The response ended before the end of its HTTP head.
    #[error("{endpoint}: response ended before the end of its HTTP head")]
    Truncated {
        /// The address of the admin endpoint.
        endpoint: SocketAddr,
    },
    /// The router does not provide the report (status 404).
    #[error("{endpoint}: {reason}")]
    NotFound {
        /// The address of the admin endpoint.
        endpoint: SocketAddr,
        /// The body of the response, in which the router gives the reason.
        reason: String,
    },
    /// The response has an HTTP status other than 200 and 404.
    #[error("{endpoint}: unexpected HTTP status {status}")]
    Status {
        /// The address of the admin endpoint.
        endpoint: SocketAddr,
        /// The HTTP status; 0 if the response has none.
        status: u16,
    },
}

/// Requests `path` and returns the body of the response.
pub fn get(endpoint: SocketAddr, path: &str) -> Result<String, AdminError> {
    let response = exchange(endpoint, path).map_err(|cause| AdminError::Connection { endpoint, cause })?;
    parse(endpoint, &response)
}

/// Sends the request and reads until the router closes the connection.
fn exchange(endpoint: SocketAddr, path: &str) -> std::io::Result<Vec<u8>> {
    let mut socket = TcpStream::connect_timeout(&endpoint, ADMIN_TIMEOUT)?;
    socket.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    write!(socket, "GET {path} HTTP/1.1\r\nHost: {endpoint}\r\nConnection: close\r\n\r\n")?;
    let mut response = Vec::new();
    socket.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    Ok(response)
}

fn parse(endpoint: SocketAddr, bytes: &[u8]) -> Result<String, AdminError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).map_err(|cause| AdminError::NotHttp { endpoint, cause })?;
    let httparse::Status::Complete(head_length) = parsed else {
        return Err(AdminError::Truncated { endpoint });
    };
    let body = String::from_utf8_lossy(&bytes[head_length..]).into_owned();
    match response.code {
        Some(200) => Ok(body),
        Some(404) => Err(AdminError::NotFound { endpoint, reason: body.trim().to_string() }),
        code => Err(AdminError::Status { endpoint, status: code.unwrap_or(0) }),
    }
}
