//! Runs a [`node::Node`] in a process: one thread that feeds it and carries out its actions, and
//! three that wait for the store (one for each watch, one for the rest), so that a slow store holds up neither peers nor time.
//!
//! Nothing on the request path waits for any of them: what they find out is handed to a [`Feed`].

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;

use super::{action, node, peers, reader, store};
use crate::decisions::policy;
use crate::metrics as names;
use crate::protocol::{hello, peer};
use crate::transport::peer as link;
use crate::{id, settings};
use action::{Action, Note, Prefix};

/// How often time passes for the node.
const TICK: time::Duration = time::Duration::from_millis(50);

/// How often the node sees the links.
const LINKS_EVERY: time::Duration = time::Duration::from_millis(250);

/// How long one watch waits. Each is a call when it ends, and a longer one is more often cut by
/// whatever lies between us and the store.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(25);

/// Messages for other parts of the process that wait to be read.
const INBOX: usize = 8192;

/// Takes what coordination finds out.
pub trait Feed: Send + 'static {
    /// These settings are in force.
    fn settings(&self, settings: sync::Arc<settings::Settings>);

    /// This is the list of VMs.
    fn vms(&self, vms: Vec<store::Vm>);

    /// This is how it goes now.
    fn standing(&self, standing: Standing);

    /// Whether anybody still reads what is fed.
    fn is_wanted(&self) -> bool;
}

data! {
    /// How a process stands with the platform and its peers.
    #[derive(Eq, Default)]
    pub struct Standing {
        /// The version of each team's settings in force.
        pub versions: collections::BTreeMap<id::TeamId, u64>,
        /// Whether the store answered the last call of the availability zone's reader.
        pub store_up: bool,
        /// Entry VMs that are linked.
        pub peers: u64,
    }
}

/// What a driver starts from.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node.
    pub node: node::Config,
    /// Where it listens for peers.
    pub listen: net::SocketAddr,
    /// The fleet's secrets. None: no links to peers.
    pub secrets: Option<hello::Secrets>,
}

/// A running node. It stops when it is dropped.
pub struct Driver {
    peers: Option<sync::Arc<peers::Peers>>,
    inbox: channel::Receiver<peers::Received>,
    control: channel::Sender<Control>,
}

enum Control {
    Leave(channel::Sender<()>),
}

enum Call {
    List(Prefix),
    Watch(Prefix, store::Revision),
    Write(String, store::Revision, sync::Arc<str>),
    Vms,
}

struct Loop<F> {
    node: node::Node<reader::FewestAccusations>,
    feed: F,
    peers: Option<sync::Arc<peers::Peers>>,
    calls: [channel::Sender<Call>; 3],
    ended: channel::Receiver<node::Event>,
    messages: channel::Receiver<peers::Received>,
    control: channel::Receiver<Control>,
    rest: channel::Sender<peers::Received>,
    started: time::Instant,
    next_tick: policy::Moment,
    next_links: policy::Moment,
    linked: u64,
    standing: Standing,
    out: Vec<Action>,
    log: slog::Logger,
}

impl Driver {
    /// Starts the links and the threads.
    pub fn start<S: store::Store, F: Feed>(
        cfg: Config,
        platform: S,
        feed: F,
        log: &slog::Logger,
    ) -> std::io::Result<Self> {
        let (peers, messages) = links(&cfg, log)?;
        let (events, ended) = channel::unbounded();
        let platform = sync::Arc::new(platform);
        let calls = std::array::from_fn(|_| caller(platform.clone(), events.clone()));
        let (rest, inbox) = channel::bounded(INBOX);
        let (control, controlled) = channel::unbounded();
        let mut driven = Loop {
            node: node::Node::new(cfg.node, policy::Moment::ZERO),
            feed,
            peers: peers.clone(),
            calls,
            ended,
            messages,
            control: controlled,
            rest,
            started: time::Instant::now(),
            next_tick: policy::Moment::ZERO,
            next_links: policy::Moment::ZERO,
            linked: 0,
            standing: Standing::default(),
            out: Vec::new(),
            log: log.clone(),
        };
        thread::Builder::new()
            .name("coordination".to_owned())
            .spawn(move || driven.run())?;
        Ok(Self {
            peers,
            inbox,
            control,
        })
    }

    /// The links to peers. None: the process has no secret for them.
    pub fn peers(&self) -> Option<&sync::Arc<peers::Peers>> {
        self.peers.as_ref()
    }

    /// Messages from peers that other parts of the process take.
    pub fn inbox(&self) -> &channel::Receiver<peers::Received> {
        &self.inbox
    }

    /// Tells the peers that this process is about to stop as planned.
    pub fn leave(&self) {
        let (tx, rx) = channel::bounded(1);
        if self.control.send(Control::Leave(tx)).is_ok() {
            let _ = rx.recv_timeout(time::Duration::from_secs(1));
        }
    }
}

fn links(
    cfg: &Config,
    log: &slog::Logger,
) -> std::io::Result<(
    Option<sync::Arc<peers::Peers>>,
    channel::Receiver<peers::Received>,
)> {
    let Some(secrets) = cfg.secrets.clone() else {
        slog::warn!(
            log,
            "no links to peers: set `peer_secrets`, the same on every VM"
        );
        return Ok((None, channel::never()));
    };
    let me = link::Me {
        vm: cfg.node.vm.clone(),
        az: cfg.node.az.clone(),
        incarnation: cfg.node.incarnation,
        secrets,
    };
    let (peers, messages) = peers::Peers::start(me, cfg.listen, log)?;
    Ok((Some(sync::Arc::new(peers)), messages))
}

/// A thread that makes one call at a time. It ends with the sender of its calls.
fn caller<S: store::Store>(
    platform: sync::Arc<S>,
    events: channel::Sender<node::Event>,
) -> channel::Sender<Call> {
    let (tx, rx) = channel::unbounded::<Call>();
    thread::spawn(move || {
        for call in rx {
            if events.send(make(&*platform, call)).is_err() {
                return;
            }
        }
    });
    tx
}

fn make<S: store::Store>(platform: &S, call: Call) -> node::Event {
    match call {
        Call::List(prefix) => {
            let result = platform.list(prefix.as_str());
            count("list", &result);
            node::Event::Listed(prefix, result)
        }
        Call::Watch(prefix, after) => {
            let result = platform.watch(prefix.as_str(), after, WATCH_WAIT);
            count("watch", &result);
            node::Event::Watched(prefix, result)
        }
        Call::Write(key, expect, value) => {
            let result = platform.compare_and_swap(&key, expect, value.as_bytes(), None);
            count("write", &result);
            node::Event::Wrote(key, result)
        }
        Call::Vms => {
            let result = platform.vms();
            count("vms", &result);
            node::Event::Vms(result)
        }
    }
}

fn count<T>(call: &'static str, result: &Result<T, store::Error>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(store::Error::Unavailable(_)) => "unavailable",
        Err(store::Error::Unknown(_)) => "lost",
        Err(_) => "refused",
    };
    metrics::counter!(names::STORE_CALLS, "call" => call, "outcome" => outcome).increment(1);
}

impl<F: Feed> Loop<F> {
    fn run(&mut self) {
        while self.feed.is_wanted() && self.turn() {}
    }

    /// Waits for one thing and handles it. False: the driver was dropped.
    fn turn(&mut self) -> bool {
        let wait = self.next_tick.saturating_sub(self.now());
        channel::select! {
            recv(self.control) -> control => match control {
                Ok(Control::Leave(done)) => {
                    self.step(node::Event::Stopping);
                    let _ = done.send(());
                }
                Err(_) => return false,
            },
            recv(self.ended) -> event => if let Ok(event) = event {
                self.step(event);
            },
            recv(self.messages) -> message => if let Ok((from, message)) = message {
                self.take(from, message);
            },
            default(wait) => {}
        }
        self.pass_time();
        true
    }

    fn take(&mut self, from: id::VmId, message: peer::Message) {
        if node::handles(&message) {
            self.step(node::Event::Message(from, message));
        } else if self.rest.try_send((from, message)).is_err() {
            metrics::counter!(names::PEER_DROPPED, "queue" => "inbox").increment(1);
        }
    }

    fn pass_time(&mut self) {
        let now = self.now();
        if now >= self.next_links
            && let Some(peers) = &self.peers
        {
            self.next_links = now + LINKS_EVERY;
            let linked = peers.linked();
            self.linked = linked.len() as u64;
            self.step(node::Event::Links(linked));
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.step(node::Event::Tick);
            self.tell_standing();
        }
    }

    fn tell_standing(&mut self) {
        let versions = self.node.sync().held().versions().iter();
        let standing = Standing {
            versions: versions.map(|(t, r)| (t.clone(), r.version)).collect(),
            store_up: self.node.store_is_up(),
            peers: self.linked,
        };
        if standing != self.standing {
            self.feed.standing(standing.clone());
            self.standing = standing;
        }
    }

    fn step(&mut self, event: node::Event) {
        let mut out = std::mem::take(&mut self.out);
        self.node.step(self.now(), event, &mut out);
        for action in out.drain(..) {
            self.act(action);
        }
        self.out = out;
    }

    fn act(&self, action: Action) {
        match action {
            Action::List(prefix) => self.call(2, Call::List(prefix)),
            Action::Watch(prefix, after) => self.call(prefix as usize, Call::Watch(prefix, after)),
            Action::Write { key, expect, value } => self.call(2, Call::Write(key, expect, value)),
            Action::ReadVms => self.call(2, Call::Vms),
            Action::InForce(settings) => self.feed.settings(settings),
            Action::Vms(vms) => self.feed.vms(vms),
            Action::Log(note) => self.tell(&note),
            action => self.send(action),
        }
    }

    fn send(&self, action: Action) {
        let Some(peers) = &self.peers else { return };
        match action {
            Action::Send(to, message) => {
                peers.send(&to, &message);
            }
            Action::ToAll { except, message } => {
                peers.to_all(except.as_ref(), &message);
            }
            Action::ToOwnAz { except, message } => {
                peers.to_own_az(except.as_ref(), &message);
            }
            Action::Targets(targets) => peers.set_targets(&targets),
            _ => {}
        }
    }

    fn call(&self, thread: usize, call: Call) {
        let _ = self.calls[thread].send(call);
    }

    fn tell(&self, note: &Note) {
        match note {
            Note::InForce { .. } | Note::Reader(_) => slog::info!(self.log, "{}", note),
            _ => slog::error!(self.log, "{}", note),
        }
    }

    fn now(&self) -> policy::Moment {
        self.started.elapsed()
    }
}
