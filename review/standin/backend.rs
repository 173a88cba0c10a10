//! A stand-in for a backend server, as PROTOCOL describes it. Each run is a process of its own, which
//! says on its standard output what it does. Its parent writes its entry in the store.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Wire};
use crate::machine::{Signal, end_with_parent, signal};
use crate::record::Record;
use crate::store::Store;

/// Requests that run at once, and those that wait.
const SLOTS: u32 = 6;
const QUEUE: u32 = 18;

/// How often the entry in the store is written. It is removed after three intervals of silence.
const BEAT: Duration = Duration::from_millis(1500);

/// How long an answer may stay unread before it is cut off.
const UNREAD: Duration = Duration::from_secs(6);

/// How long a backend server that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// The body of the answer to a request: its id, again and again.
pub fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().chain([b' ']).cycle().take(bytes).collect()
}

/// A request that a backend server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub backend: String,
    pub at: Instant,
    /// When its whole answer had been handed to the connection.
    pub ended: Option<Instant>,
}

/// What a backend server is like.
#[derive(Clone)]
pub struct Kind {
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    /// How long it works on a request.
    pub work: Duration,
    /// How long it sends a long answer.
    pub sends_for: Duration,
    /// The path of requests that crash it.
    pub crashes_on: Option<String>,
}

/// A backend server, which starts again under a new id after a crash.
#[derive(Clone)]
pub struct Backend {
    runs: Arc<Mutex<Vec<Run>>>,
    child: Arc<Mutex<Option<Child>>>,
    ended: Arc<Mutex<bool>>,
    id: Arc<Mutex<String>>,
    /// Whether its present run has fallen silent.
    silent: Arc<Mutex<bool>>,
}

impl Backend {
    pub fn start(number: u8, kind: Kind, store: &Store, record: &Record) -> io::Result<Self> {
        let backend = Self {
            runs: Arc::default(),
            child: Arc::default(),
            ended: Arc::default(),
            id: Arc::new(Mutex::new(id_of(number, 0))),
            silent: Arc::default(),
        };
        let (keeper, store, record) = (backend.clone(), store.clone(), record.clone());
        let lines = keeper.spawn(&id_of(number, 0), &kind)?;
        thread::spawn(move || keeper.keep(number, &kind, lines, &store, &record));
        Ok(backend)
    }

    /// The requests that it began to run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Stops its process if it has this id, and ends that process after a time.
    pub fn silence(&self, id: &str, span: Duration) {
        if self.id.lock().unwrap().as_str() != id {
            return;
        }
        *self.silent.lock().unwrap() = true;
        let pid = self.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(pid) = pid {
            signal(pid, Signal::Stop);
        }
        let child = self.child.clone();
        thread::spawn(move || {
            thread::sleep(span);
            if let Some(child) = child.lock().unwrap().as_mut() {
                // Fails only if the process has ended.
                let _ = child.kill();
            }
        });
    }

    /// Ends its process for good.
    pub fn end(&self) {
        *self.ended.lock().unwrap() = true;
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            // Both fail only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn spawn(&self, id: &str, kind: &Kind) -> io::Result<Lines> {
        let work_ms = kind.work.as_millis().to_string();
        let sends_ms = kind.sends_for.as_millis().to_string();
        let crashes_on = kind.crashes_on.clone().unwrap_or_default();
        let mut command = Command::new(std::env::current_exe()?);
        let mut child = end_with_parent(&mut command)
            .args([
                "backend",
                &kind.addr.to_string(),
                id,
                &work_ms,
                &sends_ms,
                &crashes_on,
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        *self.child.lock().unwrap() = Some(child);
        Ok(BufReader::new(lines))
    }

    /// Follows one run after the other.
    fn keep(&self, number: u8, kind: &Kind, first: Lines, store: &Store, record: &Record) {
        let mut lines = first;
        for start in 1.. {
            let id = id_of(number, start - 1);
            let lives = Arc::new(Mutex::new(true));
            *self.id.lock().unwrap() = id.clone();
            *self.silent.lock().unwrap() = false;
            let (is_alive, is_silent) = (lives.clone(), self.silent.clone());
            let (store, kind_of, key) = (store.clone(), kind.clone(), id.clone());
            thread::spawn(move || {
                let beats = || *is_alive.lock().unwrap() && !*is_silent.lock().unwrap();
                beat(beats, &store, &kind_of, &key);
            });
            for line in lines.lines().map_while(Result::ok) {
                record.add(&format!("run       {line} at {id}"));
                if let Some(request) = line.strip_prefix("ends ") {
                    let mut runs = self.runs.lock().unwrap();
                    let ended = runs.iter_mut().find(|run| run.id == request);
                    if let Some(run) = ended {
                        run.ended = Some(Instant::now());
                    }
                }
                let mut words = line.split(' ');
                if let (Some("begins"), Some(request), Some(_), Some(target)) =
                    (words.next(), words.next(), words.next(), words.next())
                {
                    self.runs.lock().unwrap().push(Run {
                        id: request.to_owned(),
                        target: target.to_owned(),
                        backend: id.clone(),
                        at: Instant::now(),
                        ended: None,
                    });
                }
            }
            *lives.lock().unwrap() = false;
            if *self.ended.lock().unwrap() {
                return;
            }
            record.add(&format!("crash     {id} is down"));
            if !*self.silent.lock().unwrap() {
                thread::sleep(DOWN);
            }
            let id = id_of(number, start);
            match self.spawn(&id, kind) {
                Ok(next) => lines = next,
                Err(err) => return record.add(&format!("{id} cannot start: {err}")),
            }
            record.add(&format!(
                "start     {id}, at the address of the one that crashed"
            ));
        }
    }
}

type Lines = BufReader<std::process::ChildStdout>;

fn id_of(number: u8, start: u32) -> String {
    format!("i-{number:02x}7f3a{start:02x}")
}

/// Writes the entry of a run while it lives, and removes it when it has lapsed.
fn beat(beats: impl Fn() -> bool, store: &Store, kind: &Kind, id: &str) {
    let key = format!("servers/{id}");
    for seq in 1.. {
        if !beats() {
            break;
        }
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_s\":0.0,\"seq\":{seq}}}",
            kind.service, kind.addr, kind.zone
        );
        store.write(&key, &entry);
        thread::sleep(BEAT);
    }
    thread::sleep(BEAT * 2);
    store.delete(&key);
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// One run of a backend server.
#[derive(Clone)]
struct Process {
    id: String,
    work: Duration,
    sends_for: Duration,
    crashes_on: String,
    load: Arc<(Mutex<Load>, Condvar)>,
}

/// Runs a backend server's process: `backend ADDR ID WORK_MS SENDS_MS CRASHES_ON`.
pub fn serve(args: &[String]) -> ExitCode {
    let [addr, id, work_ms, sends_ms, crashes_on] = args else {
        return ExitCode::from(2);
    };
    let (Ok(listener), Ok(work_ms), Ok(sends_ms)) =
        (TcpListener::bind(addr), work_ms.parse(), sends_ms.parse())
    else {
        return ExitCode::from(2);
    };
    let process = Process {
        id: id.clone(),
        work: Duration::from_millis(work_ms),
        sends_for: Duration::from_millis(sends_ms),
        crashes_on: crashes_on.clone(),
        load: Arc::default(),
    };
    for stream in listener.incoming().flatten() {
        let process = process.clone();
        thread::spawn(move || process.serve(stream));
    }
    ExitCode::SUCCESS
}

/// Tells the parent. Without one, the process ends.
fn say(line: &str) {
    let mut out = io::stdout().lock();
    if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

impl Process {
    fn serve(&self, stream: TcpStream) {
        // Fails only on a closed socket.
        let _ = stream.set_write_timeout(Some(UNREAD));
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            if wire.body(head.length()).is_err() || self.reply(&mut wire, &head).is_err() {
                return;
            }
            if head.closes() {
                return;
            }
        }
    }

    fn fields(&self, id: &str) -> String {
        let load = self.load.0.lock().unwrap();
        format!(
            "Bulrushwind-Try-Id: {id}\r\nBulrushwind-Backend-Load: {},{},{SLOTS}\r\nKeep-Alive: timeout=10\r\n",
            load.running, load.waiting
        )
    }

    fn reply(&self, wire: &mut Wire, head: &Head) -> io::Result<()> {
        if head.path() == "/health" {
            return wire.answer(
                200,
                &format!("Bulrushwind-Instance-Id: {}\r\n", self.id),
                b"",
            );
        }
        let id = head
            .get("bulrushwind-try-id")
            .unwrap_or_default()
            .to_owned();
        if head
            .get("bulrushwind-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return wire.answer(421, &self.fields(&id), b"");
        }
        if !self.take_slot() {
            let fields = format!("Bulrushwind-Not-Run: 1\r\n{}", self.fields(&id));
            return wire.answer(503, &fields, b"");
        }
        say(&format!("begins {id} {} {}", head.method(), head.target()));
        if head.path() == self.crashes_on {
            std::process::exit(1);
        }
        let asked_ms = head.query("work_ms").and_then(|ms| ms.parse().ok());
        thread::sleep(asked_ms.map_or(self.work, Duration::from_millis));
        let bytes = head
            .query("bytes")
            .and_then(|n| n.parse().ok())
            .unwrap_or(200);
        let fields = format!(
            "Bulrushwind-Server-Stamp: {}.{id}\r\n{}",
            self.id,
            self.fields(&id)
        );
        self.free_slot();
        let sent = self.send(wire, &fields, &body_of(&id, bytes));
        match &sent {
            Ok(()) => say(&format!("ends {id}")),
            Err(err) => say(&format!("breaks off {id}: {err}")),
        }
        sent
    }

    /// Sends an answer, a long one in parts at an even pace.
    fn send(&self, wire: &mut Wire, fields: &str, body: &[u8]) -> io::Result<()> {
        const PARTS: u32 = 20;
        if self.sends_for.is_zero() {
            return wire.answer(200, fields, body);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        wire.send(head.as_bytes())?;
        for part in body.chunks((body.len() / PARTS as usize).max(1 << 10)) {
            wire.send(part)?;
            thread::sleep(self.sends_for / PARTS);
        }
        Ok(())
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.0.lock().unwrap();
        if load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            load = self.load.1.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.0.lock().unwrap().running -= 1;
        self.load.1.notify_one();
    }
}
