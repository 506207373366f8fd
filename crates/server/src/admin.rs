//! The admin endpoint: HTTP calls by operators, at an address of its own.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, MAX_READS_PER_EVENT};
use crate::sockets::Stream;
use crate::Server;
use hollymux_decision::Timestamp;
use hollymux_protocol::admin::{
    encode_json_response, encode_text_response, AdminOperation, AdminRequest, AdminRequestReader,
};
use hollymux_router::buffers::BufferChain;
use hollymux_router::lifecycle::{Event, Phase};
use hollymux_router::metrics::Gauges;
use rustix::event::epoll::EventFlags;
use rustix::net::Shutdown;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tracing::{debug, info};

/// Maximum number of open connections; a further one replaces the oldest.
pub(crate) const MAX_ADMIN_CONNECTIONS: usize = 8;
/// A connection is closed this long after it was accepted: enough for the call, and for reading the
/// response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const SERVICE_UNAVAILABLE: u16 = 503;

/// A connection to the admin endpoint. It carries one call.
pub(crate) struct AdminConnection {
    pub(crate) stream: Stream,
    reader: AdminRequestReader,
    /// The part of the response that is not written yet.
    output: BufferChain,
    accepted_at: Timestamp,
    /// Whether the response was queued. Bytes received after it are ignored.
    answered: bool,
}

impl Server {
    /// Opens the admin listener, if one is configured and it is not open. If the address can't be
    /// bound yet, housekeeping tries again; the router serves without it until then.
    pub(crate) fn open_admin_listener(&mut self) {
        if self.admin_listener.is_some() {
            return;
        }
        let Some(address) = self.config.admin_listen else { return };
        match self.bind_admin_listener(address) {
            Ok(token) => {
                self.admin_listener = Some(token);
                let address = self.admin_address().unwrap_or(address);
                info!(%address, "admin endpoint listening");
            }
            Err(error) => debug!(%address, %error, "admin endpoint can't listen yet"),
        }
    }

    fn bind_admin_listener(&mut self, address: SocketAddr) -> io::Result<ConnectionToken> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        self.insert(ConnectionKind::AdminListener(listener))
    }

    fn admin_address(&self) -> Option<SocketAddr> {
        match self.connections.get(self.admin_listener?) {
            Some(ConnectionKind::AdminListener(listener)) => listener.local_addr().ok(),
            _ => None,
        }
    }

    /// Accepts connections to the admin endpoint.
    pub(crate) fn on_admin_accept(&mut self, listener: &mut TcpListener) -> ConnectionAction {
        for _ in 0..MAX_READS_PER_EVENT {
            let Ok((socket, _)) = listener.accept() else { break };
            self.evict_admin_connection();
            // A socket that can't be registered is dropped, which closes it.
            let _added = self.add_admin_connection(socket);
        }
        ConnectionAction::Keep
    }

    /// Closes the oldest connection if [`MAX_ADMIN_CONNECTIONS`] are open.
    fn evict_admin_connection(&mut self) {
        let is_admin = |connection: &ConnectionKind| matches!(connection, ConnectionKind::Admin(_));
        let count = self.connections.iter().filter(|(_, connection)| is_admin(connection)).count();
        if count < MAX_ADMIN_CONNECTIONS {
            return;
        }
        let oldest = self.connections.lowest_ranked(|connection| match connection {
            ConnectionKind::Admin(admin) => Some(admin.accepted_at),
            _ => None,
        });
        if let Some(token) = oldest {
            self.close(token);
        }
    }

    fn add_admin_connection(&mut self, socket: TcpStream) -> io::Result<ConnectionToken> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        self.insert(ConnectionKind::Admin(AdminConnection {
            stream: Stream::new(socket, self.now),
            reader: AdminRequestReader::default(),
            output: self.buffers.chain(),
            accepted_at: self.now,
            answered: false,
        }))
    }

    /// Handles epoll events of an admin connection.
    pub(crate) fn on_admin_connection(
        &mut self,
        token: ConnectionToken,
        connection: &mut AdminConnection,
        flags: EventFlags,
    ) -> ConnectionAction {
        let is_writable = flags.contains(EventFlags::OUT);
        if is_writable && self.flush_admin(token, connection) == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
        self.read_from(
            connection,
            MAX_READS_PER_EVENT,
            |connection| &mut connection.stream,
            |server, connection, bytes| server.on_admin_bytes(token, connection, bytes),
        )
    }

    fn on_admin_bytes(
        &mut self,
        token: ConnectionToken,
        connection: &mut AdminConnection,
        bytes: &[u8],
    ) -> ConnectionAction {
        if connection.answered {
            return ConnectionAction::Keep;
        }
        let response = match connection.reader.feed(bytes) {
            None => return ConnectionAction::Keep,
            Some(Ok(request)) => self.execute_admin_request(request),
            Some(Err(error)) => {
                let body = format!("no: {}\n", error.status());
                encode_text_response(error.status(), error.allow(), &body, false)
            }
        };
        connection.answered = true;
        match connection.output.extend(&response) {
            Ok(()) => self.flush_admin(token, connection),
            Err(_) => ConnectionAction::Close,
        }
    }

    fn execute_admin_request(&mut self, request: AdminRequest) -> Vec<u8> {
        let (status, body) = match request.operation {
            AdminOperation::Status => {
                let status = if self.lifecycle.is_ready() { OK } else { SERVICE_UNAVAILABLE };
                (status, self.phase_line())
            }
            AdminOperation::Metrics => (OK, self.metrics_text() + &self.cluster_metrics()),
            AdminOperation::ClusterStatus => {
                return section_response(self.cluster_status(), "fleet", request)
            }
            AdminOperation::QuotaStatus => {
                return section_response(self.quota_status(), "fleet.limits", request)
            }
            AdminOperation::Standby => (self.change_phase(Event::Standby), self.phase_line()),
            AdminOperation::Active => (self.change_phase(Event::Active), self.phase_line()),
        };
        encode_text_response(status, None, &body, request.head_only)
    }

    /// Applies a lifecycle event and returns the HTTP status: 409 if the event is not possible.
    fn change_phase(&mut self, event: Event) -> u16 {
        if self.apply_lifecycle_event(event) {
            OK
        } else {
            CONFLICT
        }
    }

    fn phase_line(&self) -> String {
        format!("{}\n", phase_name(self.lifecycle.phase()))
    }

    fn metrics_text(&self) -> String {
        let rotation = self.router.rotation();
        self.router.metrics.lines(Gauges {
            open_requests: self.router.open_request_count(),
            listed_endpoints: rotation.listed,
            unavailable_endpoints: rotation.avoided,
        })
    }

    fn flush_admin(&mut self, token: ConnectionToken, connection: &mut AdminConnection) -> ConnectionAction {
        let action = self.flush(token, &mut connection.stream, &mut connection.output);
        let is_done = connection.answered && connection.output.is_empty();
        if action == ConnectionAction::Keep && is_done {
            // Reads go on until the caller closes its side: closing the socket with unread bytes
            // would reset the connection and lose the response.
            let _shutdown = rustix::net::shutdown(&connection.stream.socket, Shutdown::Write);
        }
        action
    }

    /// The periodic check of an admin connection.
    pub(crate) fn admin_housekeeping(&mut self, connection: &AdminConnection) -> ConnectionAction {
        if self.now > connection.accepted_at + CALL_TIMEOUT {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}

/// The name of a phase in admin responses.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Standby => "standby",
        Phase::Replaced => "replaced",
        Phase::Stopping => "stopping",
    }
}

/// The response with the state of a section of the operator's file, or 404 if the section is off.
fn section_response(status: Option<serde_json::Value>, section: &str, request: AdminRequest) -> Vec<u8> {
    match status {
        Some(status) => encode_json_response(&status.to_string(), request.head_only),
        None => {
            let body = format!("no: the section {section} is off\n");
            encode_text_response(NOT_FOUND, None, &body, request.head_only)
        }
    }
}
