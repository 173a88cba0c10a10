//! An entry process inside the test, with backend servers whose raw answers the test defines.

use std::collections;
use std::io;
use std::io::{BufRead, Read, Write};
use std::net;
use std::path;
use std::sync;
use std::thread;

use bulrushwind::coordination::store;
use bulrushwind::state::fleet;
use bulrushwind::{config, entry, logging, settings};
use parking_lot::Mutex;

use super::testenv;

/// A request as a backend server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) path: String,
    pub(crate) headers: collections::BTreeMap<String, String>,
    pub(crate) body: String,
}

impl ReceivedRequest {
    /// The bytes of a valid answer to this request.
    pub(crate) fn answer(&self) -> String {
        let attempt = &self.headers["bulrushwind-request"];
        let body = self.path.as_str();
        format!(
            "HTTP/1.1 200 OK\r\nBulrushwind-Request: {attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// A backend server that answers with raw bytes.
pub(crate) struct RawBackend {
    pub(crate) addr: net::SocketAddr,
    received: sync::Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl RawBackend {
    /// Starts a backend server. `script` receives each request with its number, from 0. If it
    /// returns an error, the connection is closed.
    pub(crate) fn start<F>(script: F) -> Self
    where
        F: Fn(usize, &ReceivedRequest, &mut net::TcpStream) -> io::Result<()>
            + Send
            + Sync
            + 'static,
    {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let received = sync::Arc::new(Mutex::new(Vec::new()));
        let (script, requests) = (sync::Arc::new(script), received.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (script, requests) = (script.clone(), requests.clone());
                thread::spawn(move || serve(stream.unwrap(), &requests, &*script));
            }
        });
        Self { addr, received }
    }

    /// The requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().clone()
    }
}

fn serve<F>(mut stream: net::TcpStream, requests: &Mutex<Vec<ReceivedRequest>>, script: &F)
where
    F: Fn(usize, &ReceivedRequest, &mut net::TcpStream) -> io::Result<()>,
{
    let mut reader = io::BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read(&mut reader) {
        let number = {
            let mut requests = requests.lock();
            requests.push(request.clone());
            requests.len() - 1
        };
        if script(number, &request, &mut stream).is_err() {
            let _ = stream.shutdown(net::Shutdown::Both);
            return;
        }
    }
}

fn read(reader: &mut io::BufReader<net::TcpStream>) -> Option<ReceivedRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut headers = collections::BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let len = headers
        .get("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedRequest {
        path,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

/// Starts an entry process with the naive policy and backend servers of the ledger.
pub(crate) fn entry(backends: &[net::SocketAddr]) -> entry::Entry<entry::MakeNaive> {
    entry_with(entry::MakeNaive, backends)
}

/// Starts an entry process with the test's policy.
pub(crate) fn entry_with<M: entry::MakePolicy>(
    make: M,
    backends: &[net::SocketAddr],
) -> entry::Entry<M> {
    let root = path::Path::new("examples/cooperative");
    let shared = sync::Arc::new(entry::SharedTables::default());
    shared
        .apply_settings(settings::Settings::read(root).unwrap())
        .unwrap();
    let cfg = config::Config {
        az: testenv::AZ.into(),
        vm: "e1".into(),
        ..config::Config::default()
    };
    let vms = backends.iter().enumerate().map(|(n, addr)| store::Vm {
        id: format!("l{n}").as_str().into(),
        az: testenv::AZ.into(),
        addr: *addr,
        role: store::VmRole::Backend {
            service: "ledger".into(),
        },
        state: store::VmState::Live,
    });
    shared
        .fleet
        .store(sync::Arc::new(fleet::Fleet::new(vms.collect())));
    let log = logging::silent();
    let entry = entry::Entry::start_without_coordination(cfg, make, shared, log).unwrap();
    testenv::wait_for("the entry process takes requests", || {
        send(
            entry.addr(),
            "GET /lookup/ledger HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        )
        .starts_with("HTTP/1.1 200")
    });
    entry
}

/// Sends raw bytes and reads until the connection closes.
pub(crate) fn send(to: net::SocketAddr, text: &str) -> String {
    let mut stream = net::TcpStream::connect(to).unwrap();
    let _ = stream.write_all(text.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
