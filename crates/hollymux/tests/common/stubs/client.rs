//! A client of the platform's protocol.

use super::{read_resp_array, resp_array, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub struct Client {
    out: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let out = TcpStream::connect(addr).unwrap();
        out.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { input: BufReader::new(out.try_clone().unwrap()), out }
    }

    /// One whose machine takes in little that it has not read.
    pub fn with_small_receive_buffer(addr: SocketAddr) -> Client {
        let client = Client::connect(addr);
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.out, 131_072).unwrap();
        client
    }

    /// Whether the other side has closed it and nothing is left to read.
    pub fn is_closed(&mut self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let end = self.input.buffer().is_empty() && matches!(self.out.peek(&mut [0]), Ok(0));
        self.out.set_nonblocking(false).unwrap();
        end
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    /// Sends as much as the other side takes.
    pub fn try_send(&mut self, bytes: &[u8]) {
        let _part = self.out.write_all(bytes);
    }

    pub fn send_request(&mut self, tag: u32, class: &str, rid: u64, more: &str) {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17{more}");
        let tag = tag.to_string();
        self.send(&resp_array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]));
    }

    /// A request, if the connection still takes it.
    pub fn try_send_request(&mut self, tag: u32, class: &str, rid: u64) -> bool {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17,obj=0000000000000007");
        let words: [&[u8]; 5] =
            [b"DO", &tag.to_string().into_bytes(), class.as_bytes(), fields.as_bytes(), b""];
        self.out.write_all(&resp_array(&words)).is_ok()
    }

    /// An answer as words, or the end of the connection.
    pub fn answer(&mut self) -> String {
        let words = read_resp_array(&mut self.input);
        words.map_or("end".into(), |w| String::from_utf8_lossy(&w.join(&b" "[..])).trim_end().to_string())
    }

    /// A request and its answer.
    pub fn get(&mut self, tag: u32, class: &str, rid: u64, object: u64) -> String {
        self.send_request(tag, class, rid, &format!(",obj={object:016x}"));
        self.answer()
    }
}
