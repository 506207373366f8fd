//! A client of the platform's RESP-like protocol.

use super::{read_resp_array, resp_array, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub struct Client {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let output = TcpStream::connect(addr).unwrap();
        output.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { input: BufReader::new(output.try_clone().unwrap()), output }
    }

    /// Connects a client with a small TCP receive buffer, so that most unread data stays at the
    /// router.
    pub fn with_small_receive_buffer(addr: SocketAddr) -> Client {
        let client = Client::connect(addr);
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.output, 131_072).unwrap();
        client
    }

    /// Whether the router has closed the connection and nothing is left to read.
    pub fn is_closed(&mut self) -> bool {
        self.output.set_nonblocking(true).unwrap();
        let is_closed = self.input.buffer().is_empty() && matches!(self.output.peek(&mut [0]), Ok(0));
        self.output.set_nonblocking(false).unwrap();
        is_closed
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.output.write_all(bytes).unwrap();
    }

    /// Sends bytes until the router closes its side; a failed write is ignored.
    pub fn try_send(&mut self, bytes: &[u8]) {
        let _result = self.output.write_all(bytes);
    }

    pub fn send_request(&mut self, tag: u32, class: &str, rid: u64, more_fields: &str) {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17{more_fields}");
        let tag = tag.to_string();
        self.send(&resp_array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]));
    }

    /// Sends a request. Returns whether the connection still accepted it.
    pub fn try_send_request(&mut self, tag: u32, class: &str, rid: u64) -> bool {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17,obj=0000000000000007");
        let elements: [&[u8]; 5] =
            [b"DO", &tag.to_string().into_bytes(), class.as_bytes(), fields.as_bytes(), b""];
        self.output.write_all(&resp_array(&elements)).is_ok()
    }

    /// Reads a response as text with its elements separated by spaces, or "end" if the connection
    /// has ended.
    pub fn read_response(&mut self) -> String {
        let response = read_resp_array(&mut self.input);
        response.map_or("end".into(), |elements| {
            String::from_utf8_lossy(&elements.join(&b" "[..])).trim_end().to_string()
        })
    }

    /// Sends a request for an object and reads the response.
    pub fn get(&mut self, tag: u32, class: &str, rid: u64, object: u64) -> String {
        self.send_request(tag, class, rid, &format!(",obj={object:016x}"));
        self.read_response()
    }
}
