//! A stand-in for a client with one kept connection.

use std::io::{self, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::body_of;
use crate::http::{Head, Wire};
use crate::machine;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, addr: *const [u8; 16], length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// The longest segment on an Ethernet, and a small window, as the machines' links have them. With
/// segments of 64 KB, the loopback interface's kernel takes a whole answer for a client that reads
/// nothing.
const SEGMENT: i32 = 1460;
const WINDOW: i32 = 8 << 10;

/// Connects as over an Ethernet.
fn connect_by_ethernet(addr: SocketAddrV4) -> io::Result<TcpStream> {
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&addr.port().to_be_bytes());
    raw[4..8].copy_from_slice(&addr.ip().octets());
    // SAFETY: the arguments are valid for these calls, and the descriptor has one owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let fd = stream.as_raw_fd();
        if setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4) != 0
            || setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW, 4) != 0
            || connect(fd, &raw, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer of a backend server.
    Whole(u16),
    /// A whole answer of the system's own.
    Own(u16),
    /// Another request's answer, or one that is none.
    Wrong(String),
    /// The connection ended first, with so many bytes of the body received.
    Cut {
        received: usize,
        of: usize,
        why: String,
    },
}

impl End {
    pub fn text(&self) -> String {
        match self {
            Self::Whole(status) => format!("{status}, whole"),
            Self::Own(status) => format!("{status} of the system's own"),
            Self::Wrong(what) => format!("a wrong answer: {what}"),
            Self::Cut {
                received,
                of: 0,
                why,
            } => {
                format!("no answer, the connection ended: {why} ({received} bytes)")
            }
            Self::Cut { received, of, why } => {
                format!("cut after {received} of {of} bytes: {why}")
            }
        }
    }
}

/// How a client reads.
#[derive(Clone, Copy, Debug)]
pub enum Reading {
    /// At once.
    Fast,
    /// At most so many bytes a second.
    Steady(usize),
    /// Nothing for a time, then at once.
    After(Duration),
    /// At once, and not longer than until then.
    Until(Instant),
}

/// A client's connection.
pub struct Client {
    pub wire: Wire,
    host: String,
    /// The object that its requests concern.
    pub object: Option<&'static str>,
}

/// The `front` address that the directory of a machine names first for a region and a zone.
pub fn resolve(directory: SocketAddr, host: &str, region: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/resolve?name={host}&region={region}&zone={zone}");
    let Ok((200, body)) = machine::get(directory, &target) else {
        return Vec::new();
    };
    let json = crate::json::Json::parse(&body).unwrap_or(crate::json::Json::Null);
    let addrs = json.get("addrs").list().iter();
    addrs.filter_map(|addr| addr.text().parse().ok()).collect()
}

impl Client {
    pub fn connect(addr: SocketAddr, host: &str) -> io::Result<Self> {
        let SocketAddr::V4(addr) = addr else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let stream = connect_by_ethernet(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Self {
            wire: Wire::new(stream),
            host: host.to_owned(),
            object: None,
        })
    }

    /// Sends a request without a body.
    pub fn send(&mut self, target: &str, id: &str, deadline_ms: u64) -> io::Result<()> {
        self.send_with_body("GET", target, id, deadline_ms, "")
    }

    /// Sends a request.
    pub fn send_with_body(
        &mut self,
        method: &str,
        target: &str,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> io::Result<()> {
        let (host, length) = (&self.host, body.len());
        let length = match length {
            0 => String::new(),
            _ => format!("Content-Length: {length}\r\n"),
        };
        let object = self.object.map_or(String::new(), |object| {
            format!("Cookie: Bulrushwind-Affinity-Key={object}\r\n")
        });
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nBulrushwind-Try-Id: {id}\r\nBulrushwind-Deadline-Ms: {deadline_ms}\r\n{object}{length}\r\n{body}"
        );
        self.wire.stream.write_all(text.as_bytes())
    }

    /// Receives the answer to the request with this id.
    pub fn receive(&mut self, id: &str, reading: Reading) -> End {
        if let Reading::After(pause) = reading {
            thread::sleep(pause);
        }
        let head = match self.wire.head() {
            Ok(Some(head)) => head,
            Ok(None) => return cut(0, 0, "closed"),
            Err(err) => return cut(self.wire.buf.len(), 0, &err.to_string()),
        };
        self.receive_body(&head, id, reading)
    }

    fn receive_body(&mut self, head: &Head, id: &str, reading: Reading) -> End {
        let (started, of) = (Instant::now(), head.length());
        if head.get("transfer-encoding").is_some() {
            return End::Wrong("of unknown length".to_owned());
        }
        while self.wire.buf.len() < of {
            let received = self.wire.buf.len();
            let most = match reading {
                Reading::Steady(per_s) => {
                    let due = received as f64 / per_s as f64;
                    let due = Duration::from_secs_f64(due);
                    thread::sleep(due.saturating_sub(started.elapsed()));
                    8 << 10
                }
                Reading::Until(last) => {
                    let left = last.saturating_duration_since(Instant::now());
                    if left.is_zero() || self.wire.stream.set_read_timeout(Some(left)).is_err() {
                        return cut(received, of, "nothing more came");
                    }
                    64 << 10
                }
                Reading::Fast | Reading::After(_) => 64 << 10,
            };
            match self.wire.fill(most) {
                Ok(0) => return cut(received, of, "closed"),
                Ok(_) => {}
                Err(err)
                    if err.kind() == io::ErrorKind::WouldBlock
                        && matches!(reading, Reading::Until(_)) => {}
                Err(err) => return cut(received, of, &err.to_string()),
            }
        }
        let body: Vec<u8> = self.wire.buf.drain(..of).collect();
        let answered = head.get("bulrushwind-try-id").unwrap_or_default();
        if answered != id {
            return End::Wrong(format!("of {answered}"));
        }
        if head.get("bulrushwind-server-stamp").is_none() {
            return End::Own(head.status());
        }
        match body == body_of(id, of) {
            true => End::Whole(head.status()),
            false => End::Wrong("with other bytes".to_owned()),
        }
    }
}

fn cut(received: usize, of: usize, why: &str) -> End {
    End::Cut {
        received,
        of,
        why: why.to_owned(),
    }
}
