//! Calls of a router's admin endpoint over HTTP/1.1, one call a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// For connecting, and for each read. A router answers its admin endpoint within a second.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// In bytes: far more than the answer of the largest cluster; what is beyond is not read.
const MAX_ANSWER_BYTES: u64 = 8 << 20;
/// More header fields than a router sends.
const MAX_HEADERS: usize = 16;

/// Why an admin endpoint gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// It can't be reached, or the connection failed.
    #[error("{endpoint}: {cause}")]
    Connection {
        /// The admin endpoint.
        endpoint: SocketAddr,
        /// What failed.
        cause: std::io::Error,
    },
    /// Something answers there that does not speak HTTP.
    #[error("{endpoint}: no answer of a router: {cause}")]
    NotHttp {
        /// The admin endpoint.
        endpoint: SocketAddr,
        /// What can't be parsed.
        cause: httparse::Error,
    },
    /// The answer ends within its head.
    #[error("{endpoint}: the answer is cut off")]
    Truncated {
        /// The admin endpoint.
        endpoint: SocketAddr,
    },
    /// The router does not offer this report; it says why.
    #[error("{endpoint}: {reason}")]
    NotFound {
        /// The admin endpoint.
        endpoint: SocketAddr,
        /// The router's reason.
        reason: String,
    },
    /// Another HTTP status than 200.
    #[error("{endpoint}: {status}")]
    Status {
        /// The admin endpoint.
        endpoint: SocketAddr,
        /// The HTTP status; 0 if it gave none.
        status: u16,
    },
}

/// The body of the answer to `GET path`.
pub fn get(endpoint: SocketAddr, path: &str) -> Result<String, AdminError> {
    let answer = exchange(endpoint, path).map_err(|cause| AdminError::Connection { endpoint, cause })?;
    parse(endpoint, &answer)
}

/// Sends the request and reads until the router closes the connection.
fn exchange(endpoint: SocketAddr, path: &str) -> std::io::Result<Vec<u8>> {
    let mut socket = TcpStream::connect_timeout(&endpoint, ADMIN_TIMEOUT)?;
    socket.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    write!(socket, "GET {path} HTTP/1.1\r\nHost: {endpoint}\r\nConnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    socket.take(MAX_ANSWER_BYTES).read_to_end(&mut answer)?;
    Ok(answer)
}

fn parse(endpoint: SocketAddr, answer: &[u8]) -> Result<String, AdminError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(answer).map_err(|cause| AdminError::NotHttp { endpoint, cause })?;
    let httparse::Status::Complete(head_length) = parsed else {
        return Err(AdminError::Truncated { endpoint });
    };
    let body = String::from_utf8_lossy(&answer[head_length..]).into_owned();
    match response.code {
        Some(200) => Ok(body),
        Some(404) => Err(AdminError::NotFound { endpoint, reason: body.trim().to_string() }),
        code => Err(AdminError::Status { endpoint, status: code.unwrap_or(0) }),
    }
}
