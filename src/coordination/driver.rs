//! Runs a [`node::Node`] in a process. One thread passes events to it and carries out its actions;
//! three call the store (one per watch, one for other calls), so a slow store delays neither peers
//! nor timers. The request path waits for none of them: an [`Observer`] receives the results.

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;

use super::{action, node, peers, reader, store};
use crate::decisions::policy;
use crate::metrics as metric_names;
use crate::protocol::{hello, peer};
use crate::transport::peer as link;
use crate::{id, settings};
use action::{Action, Note, Prefix};

/// The interval of the node's timer.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How often the node gets the list of open links.
const LINKS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// How long one watch waits. Each watch costs one call, but a longer one is more often cut by a
/// device between the VM and the store.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(25);

/// The most messages queued for other parts of the process.
const MAX_INBOX_MESSAGES: usize = 8192;

/// Receives the results of coordination.
pub trait Observer: Send + 'static {
    /// Called when new settings come into force.
    fn settings(&self, settings: sync::Arc<settings::Settings>);

    /// Called with the current list of VMs.
    fn vms(&self, vms: Vec<store::Vm>);

    /// Called when the status changes.
    fn status(&self, status: Status);

    /// Whether the results are still used. If not, the driver stops.
    fn is_active(&self) -> bool;
}

data! {
    /// The state of the store and of the links to peers, as this process sees it.
    #[derive(Eq, Default)]
    pub struct Status {
        /// The version of each team's settings in force.
        pub versions: collections::BTreeMap<id::TeamId, u64>,
        /// Whether the store answered the last call of the availability zone's reader.
        pub store_up: bool,
        /// The number of linked entry VMs.
        pub peers: u64,
    }
}

/// The configuration of a driver.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node.
    pub node: node::Config,
    /// The address to listen on for peers.
    pub listen: net::SocketAddr,
    /// The secrets shared by the fleet. None: no links to peers.
    pub secrets: Option<hello::Secrets>,
}

/// A running node. It stops on drop.
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

struct Loop<O> {
    node: node::Node<reader::FewestAccusations>,
    observer: O,
    peers: Option<sync::Arc<peers::Peers>>,
    calls: [channel::Sender<Call>; 3],
    store_events: channel::Receiver<node::Event>,
    messages: channel::Receiver<peers::Received>,
    control: channel::Receiver<Control>,
    inbox_tx: channel::Sender<peers::Received>,
    started_at: time::Instant,
    next_tick: policy::Moment,
    next_links: policy::Moment,
    linked_count: u64,
    status: Status,
    actions: Vec<Action>,
    log: slog::Logger,
}

impl Driver {
    /// Starts links and threads. Fails if the address cannot be bound or a thread cannot start.
    pub fn start<S: store::Store, O: Observer>(
        cfg: Config,
        platform: S,
        observer: O,
        log: &slog::Logger,
    ) -> std::io::Result<Self> {
        let (peers, messages) = start_links(&cfg, log)?;
        let (event_tx, store_events) = channel::unbounded();
        let platform = sync::Arc::new(platform);
        let calls = std::array::from_fn(|_| spawn_call_thread(platform.clone(), event_tx.clone()));
        let (inbox_tx, inbox) = channel::bounded(MAX_INBOX_MESSAGES);
        let (control, control_rx) = channel::unbounded();
        let mut event_loop = Loop {
            node: node::Node::new(cfg.node, policy::Moment::ZERO),
            observer,
            peers: peers.clone(),
            calls,
            store_events,
            messages,
            control: control_rx,
            inbox_tx,
            started_at: time::Instant::now(),
            next_tick: policy::Moment::ZERO,
            next_links: policy::Moment::ZERO,
            linked_count: 0,
            status: Status::default(),
            actions: Vec::new(),
            log: log.clone(),
        };
        thread::Builder::new()
            .name("coordination".to_owned())
            .spawn(move || event_loop.run())?;
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

    /// Messages from peers for other parts of the process.
    pub fn inbox(&self) -> &channel::Receiver<peers::Received> {
        &self.inbox
    }

    /// Announces a planned stop to the peers. Waits at most a second for the message to be queued.
    pub fn announce_stop(&self) {
        let (tx, rx) = channel::bounded(1);
        if self.control.send(Control::Leave(tx)).is_ok() {
            let _ = rx.recv_timeout(time::Duration::from_secs(1));
        }
    }
}

fn start_links(
    cfg: &Config,
    log: &slog::Logger,
) -> std::io::Result<(
    Option<sync::Arc<peers::Peers>>,
    channel::Receiver<peers::Received>,
)> {
    let Some(secrets) = cfg.secrets.clone() else {
        slog::warn!(
            log,
            "no links to peers: `peer_secrets` is not set; give every VM the same value"
        );
        return Ok((None, channel::never()));
    };
    let me = link::LocalIdentity {
        vm: cfg.node.vm.clone(),
        az: cfg.node.az.clone(),
        incarnation: cfg.node.incarnation,
        secrets,
    };
    let (peers, messages) = peers::Peers::start(me, cfg.listen, log)?;
    Ok((Some(sync::Arc::new(peers)), messages))
}

/// Starts a thread that makes one call at a time. It ends when the sender of its calls is dropped.
fn spawn_call_thread<S: store::Store>(
    platform: sync::Arc<S>,
    event_tx: channel::Sender<node::Event>,
) -> channel::Sender<Call> {
    let (tx, rx) = channel::unbounded::<Call>();
    thread::spawn(move || {
        for call in rx {
            if event_tx.send(make_call(&*platform, call)).is_err() {
                return;
            }
        }
    });
    tx
}

fn make_call<S: store::Store>(platform: &S, call: Call) -> node::Event {
    match call {
        Call::List(prefix) => {
            let result = platform.list(prefix.as_str());
            count_call("list", &result);
            node::Event::Listed(prefix, result)
        }
        Call::Watch(prefix, after) => {
            let result = platform.watch(prefix.as_str(), after, MAX_WATCH_WAIT);
            count_call("watch", &result);
            node::Event::Watched(prefix, result)
        }
        Call::Write(key, expect, value) => {
            let result = platform.compare_and_swap(&key, expect, value.as_bytes(), None);
            count_call("write", &result);
            node::Event::Wrote(key, result)
        }
        Call::Vms => {
            let result = platform.vms();
            count_call("vms", &result);
            node::Event::Vms(result)
        }
    }
}

fn count_call<T>(call: &'static str, result: &Result<T, store::Error>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(store::Error::Unavailable(_)) => "unavailable",
        Err(store::Error::Unknown(_)) => "lost",
        Err(_) => "refused",
    };
    metrics::counter!(metric_names::STORE_CALLS, "call" => call, "outcome" => outcome).increment(1);
}

impl<O: Observer> Loop<O> {
    fn run(&mut self) {
        while self.observer.is_active() && self.handle_next() {}
    }

    /// Waits for one event and handles it. False: the driver was dropped.
    fn handle_next(&mut self) -> bool {
        let wait = self.next_tick.saturating_sub(self.now());
        channel::select! {
            recv(self.control) -> control => match control {
                Ok(Control::Leave(done)) => {
                    self.step(node::Event::Stopping);
                    let _ = done.send(());
                }
                Err(_) => return false,
            },
            recv(self.store_events) -> event => if let Ok(event) = event {
                self.step(event);
            },
            recv(self.messages) -> message => if let Ok((from, message)) = message {
                self.dispatch(from, message);
            },
            default(wait) => {}
        }
        self.run_timers();
        true
    }

    fn dispatch(&mut self, from: id::VmId, message: peer::Message) {
        if node::handles(&message) {
            self.step(node::Event::Message(from, message));
        } else if self.inbox_tx.try_send((from, message)).is_err() {
            metrics::counter!(metric_names::PEER_DROPPED, "queue" => "inbox").increment(1);
        }
    }

    fn run_timers(&mut self) {
        let now = self.now();
        if now >= self.next_links
            && let Some(peers) = &self.peers
        {
            self.next_links = now + LINKS_POLL_INTERVAL;
            let linked = peers.linked();
            self.linked_count = linked.len() as u64;
            self.step(node::Event::Links(linked));
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.step(node::Event::Tick);
            self.report_status();
        }
    }

    fn report_status(&mut self) {
        let versions = self.node.sync().held().versions().iter();
        let status = Status {
            versions: versions.map(|(t, r)| (t.clone(), r.version)).collect(),
            store_up: self.node.store_is_up(),
            peers: self.linked_count,
        };
        if status != self.status {
            self.observer.status(status.clone());
            self.status = status;
        }
    }

    fn step(&mut self, event: node::Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.node.step(self.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&self, action: Action) {
        match action {
            Action::List(prefix) => self.queue_call(2, Call::List(prefix)),
            Action::Watch(prefix, after) => {
                self.queue_call(prefix as usize, Call::Watch(prefix, after))
            }
            Action::Write { key, expect, value } => {
                self.queue_call(2, Call::Write(key, expect, value))
            }
            Action::ReadVms => self.queue_call(2, Call::Vms),
            Action::InForce(settings) => self.observer.settings(settings),
            Action::Vms(vms) => self.observer.vms(vms),
            Action::Log(note) => self.log_note(&note),
            action => self.send_to_peers(action),
        }
    }

    fn send_to_peers(&self, action: Action) {
        let Some(peers) = &self.peers else { return };
        match action {
            Action::Send(to, message) => {
                peers.send(&to, &message);
            }
            Action::ToAll { except, message } => {
                peers.send_to_all(except.as_ref(), &message);
            }
            Action::ToOwnAz { except, message } => {
                peers.send_to_own_az(except.as_ref(), &message);
            }
            Action::Targets(targets) => peers.set_targets(&targets),
            _ => {}
        }
    }

    fn queue_call(&self, thread: usize, call: Call) {
        let _ = self.calls[thread].send(call);
    }

    fn log_note(&self, note: &Note) {
        match note {
            Note::InForce { .. } | Note::Reader(_) => slog::info!(self.log, "{}", note),
            _ => slog::error!(self.log, "{}", note),
        }
    }

    fn now(&self) -> policy::Moment {
        self.started_at.elapsed()
    }
}
