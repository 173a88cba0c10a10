//! A backend server: it runs `slots` requests at a time, queues a few, and answers with its signature.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Wire};
use crate::store::Store;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: usize,
    pub began: Instant,
    /// Whether the whole answer was written.
    pub answered: bool,
    /// Bytes of the request's body that it has read.
    pub body: usize,
}

/// Requests in hand.
#[derive(Default)]
struct Busy {
    /// Running or queued.
    all: usize,
    running: usize,
}

/// What all servers have run, by request id.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

#[derive(Clone)]
pub struct Settings {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Length of an answer.
    pub bytes: usize,
}

#[derive(Clone)]
pub struct Server {
    pub number: usize,
    pub id: String,
    pub addr: SocketAddr,
    pub settings: Settings,
    /// While set, every N-th answer is broken off; 0: none.
    pub breaks_every: Arc<AtomicU64>,
    /// Answers that were broken off.
    pub broken: Arc<AtomicU64>,
    /// How long it reads nothing of a body after its first part; 0: it reads at once.
    pub pauses_ms: Arc<AtomicU64>,
    answers: Arc<AtomicU64>,
    busy: Arc<(Mutex<Busy>, Condvar)>,
    runs: Runs,
}

impl Server {
    pub fn start(number: usize, ip: &str, settings: Settings, runs: Runs) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a server");
        let server = Self {
            number,
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            addr: listener.local_addr().expect("an address"),
            settings,
            breaks_every: Arc::default(),
            broken: Arc::default(),
            pauses_ms: Arc::default(),
            answers: Arc::default(),
            busy: Arc::default(),
            runs,
        };
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Writes its entry, as it does at each heartbeat.
    pub fn beat(&self, store: &Store, seq: u64) {
        let Settings {
            service,
            zone,
            slots,
            ..
        } = &self.settings;
        let entry = format!(
            r#"{{"service":"{service}","addr":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_left_s":0,"seq":{seq}}}"#,
            self.addr
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            if !self.answer(&mut wire, &head) {
                return;
            }
        }
    }

    fn refuse(&self, wire: &mut Wire, status: &str, id: &str) -> bool {
        let answer = format!(
            "HTTP/1.1 {status}\r\nBulrushwind-Try-Id: {id}\r\nBulrushwind-Not-Run: 1\r\nBulrushwind-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        wire.send(answer.as_bytes()).is_ok()
    }

    /// Runs and answers a request. Returns whether the connection stays open.
    fn answer(&self, wire: &mut Wire, head: &Head) -> bool {
        let id = head
            .get("bulrushwind-try-id")
            .unwrap_or_default()
            .to_owned();
        if head
            .get("bulrushwind-expect-instance")
            .is_some_and(|i| i != self.id)
        {
            return wire.body(head).is_ok() && self.refuse(wire, "421 Misdirected Request", &id);
        }
        if id.is_empty() {
            return wire.body(head).is_ok() && self.refuse(wire, "400 Bad Request", &id);
        }
        let (lock, freed) = &*self.busy;
        let mut busy = lock.lock().unwrap();
        if busy.all >= self.settings.slots + self.settings.queue {
            drop(busy);
            return wire.body(head).is_ok() && self.refuse(wire, "503 Service Unavailable", &id);
        }
        busy.all += 1;
        while busy.running >= self.settings.slots {
            busy = freed.wait(busy).unwrap();
        }
        busy.running += 1;
        drop(busy);
        let run = Run {
            server: self.number,
            began: Instant::now(),
            answered: false,
            body: 0,
        };
        let nth = {
            let mut runs = self.runs.lock().unwrap();
            let of = runs.entry(id.clone()).or_default();
            of.push(run);
            of.len() - 1
        };
        let body = self.read(wire, head);
        if let Ok(bytes) = &body {
            self.note(&id, nth, |run| run.body = *bytes);
            thread::sleep(self.settings.work);
        }
        let load = {
            let mut busy = lock.lock().unwrap();
            busy.all -= 1;
            busy.running -= 1;
            freed.notify_one();
            (busy.running, busy.all - busy.running)
        };
        if body.is_err() {
            return false;
        }
        let text = body_of(&id, self.settings.bytes);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nBulrushwind-Try-Id: {id}\r\nBulrushwind-Server-Stamp: {}.{nth}\r\nBulrushwind-Backend-Load: {},{},{}\r\nContent-Length: {}\r\n\r\n",
            self.id,
            load.0,
            load.1,
            self.settings.slots,
            text.len()
        );
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.breaks_every.load(Ordering::Relaxed);
        if every > 0 && count % every == 0 {
            self.broken.fetch_add(1, Ordering::Relaxed);
            let part = &text.as_bytes()[..text.len() * 9 / 10];
            // The connection is closed before the stated length.
            let _ = wire.send(answer.as_bytes()).and_then(|()| wire.send(part));
            return false;
        }
        let sent = wire
            .send(answer.as_bytes())
            .and_then(|()| wire.send(text.as_bytes()));
        self.note(&id, nth, |run| run.answered = sent.is_ok());
        sent.is_ok()
    }

    /// Reads a request's body, with a pause after its first part. Returns its length.
    fn read(&self, wire: &mut Wire, head: &Head) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(
            self.pauses_ms.load(Ordering::Relaxed),
        ));
        wire.body(head).map(|body| body.len())
    }

    fn note(&self, id: &str, nth: usize, note: impl FnOnce(&mut Run)) {
        let mut runs = self.runs.lock().unwrap();
        if let Some(run) = runs.get_mut(id).and_then(|runs| runs.get_mut(nth)) {
            note(run);
        }
    }
}

/// The body of the answer to a request.
pub fn body_of(id: &str, bytes: usize) -> String {
    let line = format!("answer to {id}\n");
    line.chars().cycle().take(bytes).collect()
}
