//! Sends a request to one backend server: it is answered, has not run, or may have run.

use std::cell;
use std::rc;
use std::time;

use bytes::{BufMut, Bytes, BytesMut};
use metrics::{counter, gauge};

use super::connecting::{ConnectError, Connection, Target};
use super::{Gateway, long_answers, placement, pool, relaying};
use crate::decisions::{idle_limit, policy};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::{customers, http1, names, routes};
use crate::transport::{callers, memory, upstream};

/// Answers up to this size are buffered whole before they go to the caller. If a buffered answer is
/// truncated, another backend server can still answer.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Extra time beyond the deadline to wait for a backend server's answer. The backend server stops at
/// the deadline itself, and its answer says more than a timeout.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(120);

/// Longest idle time of a connection that carries a non-idempotent request. If the backend server
/// closes the connection as the request is sent, the outcome is unknown, so only a recently used
/// connection is safe.
const MAX_IDLE_NON_IDEMPOTENT: time::Duration = time::Duration::from_millis(1500);

/// What a send needs to know of its request.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request's head.
    pub head: http1::RequestHead,
    /// The request id.
    pub id: Bytes,
    /// The service that serves the request.
    pub service: id::ServiceId,
    /// The customer whose key the request carries; `None` on routes that need no key.
    pub customer: Option<rc::Rc<customers::Customer>>,
    /// The route.
    pub route: rc::Rc<routes::Route>,
    /// Equal for equal requests; identifies those that crash backend servers.
    pub fingerprint: u64,
    /// When the caller or the route times out.
    pub deadline: policy::Moment,
    /// The entry VM that the latest send went through; `None`: it was direct.
    pub via: rc::Rc<cell::RefCell<Option<id::VmId>>>,
    /// The state shared with its caller's connection.
    pub caller: rc::Rc<callers::Cancellation>,
}

impl Job {
    /// When backend servers are no longer waited for.
    pub(super) fn ends_at(&self) -> policy::Moment {
        self.deadline + ANSWER_GRACE
    }

    /// The regions where the request may run.
    pub fn homes(&self) -> routes::AllowedRegions<'_> {
        routes::AllowedRegions {
            route: &self.route.regions,
            customer: self.customer.as_ref().map_or(&[], |c| &c.regions),
        }
    }
}

/// How a send ended.
#[derive(Debug)]
pub enum Outcome {
    /// The backend server answered.
    Answer {
        /// The answer.
        answer: callers::Answer,
        /// Whether the status is a server error.
        failed: bool,
    },
    /// The request has not run.
    NotRun(NotRun),
    /// The request may have run; there is no usable answer.
    Unknown(upstream::Failure),
}

/// The result of sending on one connection.
struct SendResult {
    received: Result<upstream::Received, upstream::Failure>,
    /// Whether the connection broke so early that it was probably closed before the send.
    broke_at_once: bool,
}

/// How a send ended, and on which kind of connection.
struct Sent {
    outcome: Outcome,
    /// Whether it was on a connection of this VM's own.
    is_direct: bool,
}

impl Sent {
    fn unsent(err: ConnectError) -> Self {
        Self {
            outcome: Outcome::NotRun(NotRun::NoConnection(err)),
            is_direct: true,
        }
    }
}

/// Why a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The connection could not be opened, or broke before the first byte was sent.
    NoConnection(ConnectError),
    /// The backend server refused it because it is full or leaving.
    Shed,
    /// The backend server refused it although it reported free slots and an empty queue.
    Declined,
    /// Another backend server uses the address now.
    Misdirected,
}

impl Outcome {
    /// Why there was no connection, as a log value; empty for any other outcome.
    pub fn connect_error(&self) -> &'static str {
        match self {
            Self::NotRun(NotRun::NoConnection(err)) => err.as_str(),
            _ => "",
        }
    }

    /// The outcome as a log and metric value.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answer { failed: false, .. } => "answered",
            Self::Answer { failed: true, .. } => "failed",
            Self::NotRun(NotRun::NoConnection(_)) => "no connection",
            Self::NotRun(NotRun::Shed) => "shed",
            Self::NotRun(NotRun::Declined) => "declined",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::Unknown(upstream::Failure::Lost) => "connection broke",
            Self::Unknown(upstream::Failure::InvalidAnswer) => "not an answer",
            Self::Unknown(upstream::Failure::CallerDisconnected) => "caller broke off",
            Self::Unknown(upstream::Failure::Unsent) => "not sent",
        }
    }
}

impl Gateway {
    /// Sends a request to the reserved backend server. Dropping the future closes the connection,
    /// which ends the work there.
    pub async fn attempt(
        self,
        job: rc::Rc<Job>,
        mut payload: upstream::Payload,
        reservation: placement::Reservation,
    ) -> (id::VmId, Outcome) {
        let (run, new_object) = (reservation.run.clone(), reservation.new_object);
        let (placed_by, ahead) = (reservation.placed_by, reservation.ahead);
        let started = self.now();
        let sent = self.send(&job, &mut payload, reservation).await;
        let outcome = sent.outcome;
        if placed_by.is_some() && matches!(outcome, Outcome::Answer { failed: false, .. }) {
            self.record_work_pace(&run, started, ahead, new_object);
        }
        self.record_outcome(&job, &run, started, &outcome, sent.is_direct);
        if self.waiting.is_on()
            && let Outcome::Answer { failed: false, .. } = outcome
        {
            let took = self.now().saturating_sub(started);
            self.with_service(&job.service, |state| {
                let is_cold = new_object
                    && state
                        .cold_lateness
                        .caches_cold(&self.cfg.thresholds.warming);
                state.throughput.answered(took, is_cold);
            });
        }
        if new_object && let Outcome::Answer { failed: false, .. } = outcome {
            let late = self.now().saturating_sub(started) > job.route.latency_target;
            self.with_service(&job.service, |state| state.cold_lateness.answered(late));
        }
        (run.id, outcome)
    }

    async fn send(
        &self,
        job: &Job,
        payload: &mut upstream::Payload,
        reservation: placement::Reservation,
    ) -> Sent {
        let received = match self.idle_connection(job, &reservation) {
            Some(pooled) => {
                self.exchange_pooled(job, pooled, payload, &reservation)
                    .await
            }
            None => None,
        };
        let (connection, received) = match received {
            Some(received) => received,
            None => {
                let mut connection = match self.connect_for(job, &reservation).await {
                    Ok(connection) => connection,
                    Err(err) => return Sent::unsent(err),
                };
                let sent = self
                    .exchange(job, &mut connection, payload, &reservation)
                    .await;
                if connection.via.is_none() {
                    let mut pool = self.pool.borrow_mut();
                    pool.idle_limit.record_new(sent.broke_at_once);
                }
                (connection, sent.received)
            }
        };
        let is_direct = connection.via.is_none();
        let outcome = match received {
            Ok(received) => self.finish(job, connection, received, reservation).await,
            Err(upstream::Failure::Unsent) => {
                Outcome::NotRun(NotRun::NoConnection(ConnectError::Broke))
            }
            Err(failure) => Outcome::Unknown(failure),
        };
        Sent { outcome, is_direct }
    }

    async fn connect_for(
        &self,
        job: &Job,
        reservation: &placement::Reservation,
    ) -> Result<Connection, ConnectError> {
        self.connect(&target(job, reservation)).await
    }

    /// Takes an idle connection that the request may be sent on. If the request must not run twice,
    /// the links must be known to work.
    fn idle_connection(
        &self,
        job: &Job,
        reservation: &placement::Reservation,
    ) -> Option<pool::IdleConnection> {
        let max_idle = match job.route.idempotent {
            true => time::Duration::MAX,
            false if self.may_links_hang() => return None,
            false => MAX_IDLE_NON_IDEMPOTENT,
        };
        let homes = job.homes();
        self.pool
            .borrow_mut()
            .take(&reservation.run.id, max_idle, |region| {
                homes.includes(region)
            })
    }

    /// Sends on an idle connection. Returns `None` if the connection was already closed and nothing
    /// was sent, so that a new connection can be used.
    async fn exchange_pooled(
        &self,
        job: &Job,
        pooled: pool::IdleConnection,
        payload: &mut upstream::Payload,
        reservation: &placement::Reservation,
    ) -> Option<(Connection, Result<upstream::Received, upstream::Failure>)> {
        let mut connection = pooled.connection;
        let sent = self
            .exchange(job, &mut connection, payload, reservation)
            .await;
        match sent.broke_at_once {
            _ if connection.via.is_some() => {}
            true => self.record_idle_break(reservation, pooled.idle_for),
            false => self
                .pool
                .borrow_mut()
                .idle_limit
                .record_reuse(pooled.idle_for),
        }
        let received = sent.received;
        let unsent = matches!(received, Err(upstream::Failure::Unsent));
        match unsent && payload.is_replayable() {
            true => None,
            false => Some((connection, received)),
        }
    }

    fn record_idle_break(&self, reservation: &placement::Reservation, idle_for: time::Duration) {
        if !self.pool.borrow_mut().idle_limit.record_break(idle_for) {
            return;
        }
        if let Some(left_out) = self.log_limiter.admit("rest", self.now()) {
            slog::info!(self.log, "idle connections break; shortening the idle time"; "backend" => %reservation.run.id, "rested_ms" => idle_for.as_millis() as u64, "left_out" => left_out);
        }
    }

    async fn exchange(
        &self,
        job: &Job,
        connection: &mut Connection,
        payload: &mut upstream::Payload,
        reservation: &placement::Reservation,
    ) -> SendResult {
        let Connection { wire, via } = connection;
        *job.via.borrow_mut() = via.as_ref().map(|via| via.vm.clone());
        if via.is_some() {
            let service = self.labels.label(job.service.as_str());
            counter!(metric_names::TUNNEL_SENDS, "service" => service).increment(1);
        }
        let started = self.now();
        let head = self.head_for(job, payload, &reservation.run.id);
        let tag = upstream::Tag {
            field: self.cfg.names.id,
            id: &job.id,
            to_head: job.head.method() == b"HEAD",
        };
        let (to, stall) = (target(job, reservation), wire.stall());
        let carried = via.as_ref().map(|via| self.send_through(&via.vm));
        let hangs = match &carried {
            Some(carried) => carried.hangs.notified(),
            None => self.links_hang.notified(),
        };
        let received = tokio::select! {
            biased;
            received = upstream::exchange(wire, &head, payload, tag) => received,
            // The backend server's run that had the request has ended and cannot answer.
            () = reservation.run.ended() => Err(upstream::Failure::Lost),
            () = hangs, if job.route.idempotent => Err(upstream::Failure::Lost),
            () = self.until_unreachable(&to, via.is_none(), &stall) => {
                self.record_unreachable(&job.id, &reservation.run.id);
                Err(upstream::Failure::Lost)
            }
        };
        if received.is_ok() {
            self.record_contact(via.as_ref());
        }
        let after = self.now().saturating_sub(started);
        let broke = matches!(
            received,
            Err(upstream::Failure::Unsent | upstream::Failure::Lost)
        );
        SendResult {
            received,
            broke_at_once: broke && idle_limit::was_stale(after, wire.round_trip),
        }
    }

    fn head_for(&self, job: &Job, payload: &upstream::Payload, to: &id::VmId) -> BytesMut {
        let names = &self.cfg.names;
        let mut out = BytesMut::with_capacity(512);
        out.put_slice(job.head.method());
        out.put_slice(b" ");
        out.put_slice(job.head.target().as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
        for (name, value) in job.head.fields.end_to_end() {
            let replaced = [names.timeout_ms, names.instance, "expect"]
                .iter()
                .any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
            if !replaced && !names.identifies_customer(name) {
                http1::put_field(&mut out, name, value);
            }
        }
        let left = job.deadline.saturating_sub(self.now());
        let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        http1::put_number(&mut out, names.timeout_ms, ms);
        http1::put_field(&mut out, names.instance.as_bytes(), to.as_str().as_bytes());
        if let Some(customer) = &job.customer {
            let name = customer.name.as_str().as_bytes();
            http1::put_field(&mut out, names.customer.as_bytes(), name);
        }
        let length = match payload {
            upstream::Payload::Whole(body) => Some(body.len() as u64),
            upstream::Payload::Pieces { length, .. } => *length,
        };
        let none = matches!(job.head.method(), b"GET" | b"HEAD") && length == Some(0);
        match length {
            Some(_) if none => {}
            Some(n) => http1::put_number(&mut out, "Content-Length", n),
            None => http1::put_field(&mut out, b"Transfer-Encoding", b"chunked"),
        }
        out.put_slice(b"\r\n");
        out
    }

    /// Reads the answer's body and classifies the outcome.
    async fn finish(
        &self,
        job: &Job,
        mut connection: Connection,
        received: upstream::Received,
        reservation: placement::Reservation,
    ) -> Outcome {
        let head = received.head;
        self.note_stated(&reservation.run, &head);
        let refusal = match self.note_load(&reservation.run, &head) {
            true => NotRun::Declined,
            false => NotRun::Shed,
        };
        let withheld = self.withheld(&head, refusal);
        let mut reader = http1::BodyReader::new(head.framing);
        let mut body = BytesMut::new();
        let mut charge = self.memory.charge(memory::Owner::Answers);
        let mut long = None;
        loop {
            let piece = match upstream::next_piece(&mut connection.wire, &mut reader).await {
                Ok(None) => break,
                Ok(Some(piece)) => piece,
                Err(failure) => return withheld.unwrap_or(Outcome::Unknown(failure)),
            };
            let has_memory = charge.try_grow_to(body.capacity().max(body.len() + piece.len()));
            body.extend_from_slice(&piece);
            charge.set(body.capacity());
            if has_memory && body.len() <= MAX_BUFFERED_BYTES {
                continue;
            }
            if let Some(outcome) = withheld {
                return outcome;
            }
            // Another backend server can replace a buffered answer, and a complete one shows that the rest of
            // the request's body is not needed.
            let should_buffer =
                job.caller.pipelined.get() || !upstream::is_sent(&mut connection.wire);
            if !has_memory
                || !should_buffer
                || !self.buffers_long_answer(&mut long, head.framing, body.len())
            {
                let body = charge.guard(body.freeze());
                return self.relay(job, connection, head, reader, body, reservation);
            }
        }
        if received.reusable && connection.wire.is_idle() {
            let stated = stated_keep_alive(&head.fields);
            self.keep(&reservation.run.id, connection, stated);
        }
        if let Some(outcome) = withheld {
            return outcome;
        }
        let body = charge.guard(body.freeze());
        let body = match long {
            Some(held) => held.guard(body),
            None => body,
        };
        let answer = callers::Answer {
            status: head.status,
            fields: fields_for_caller(&head.fields),
            body: callers::Body::Whole(body),
            close: false,
        };
        let failed = head.status >= 500;
        Outcome::Answer { answer, failed }
    }

    /// Whether the memory limits allow to buffer the rest of a long answer.
    fn buffers_long_answer(
        &self,
        held: &mut Option<long_answers::Held>,
        framing: http1::Framing,
        received: usize,
    ) -> bool {
        let length = framing.length().unwrap_or_default();
        let length = usize::try_from(length).unwrap_or(usize::MAX).max(received);
        let held = held.get_or_insert_with(|| self.long_answers.hold());
        let is_buffered = held.grow_to(length);
        gauge!(metric_names::LONG_ANSWER_BYTES).set(self.long_answers.used() as f64);
        is_buffered
    }

    /// The outcome if the answer is not passed on, whatever its body is. `refusal` is the reason if the
    /// backend server states that the request has not run.
    fn withheld(&self, head: &http1::ResponseHead, refusal: NotRun) -> Option<Outcome> {
        let names = &self.cfg.names;
        if head.status == hyper::StatusCode::MISDIRECTED_REQUEST {
            return Some(Outcome::NotRun(NotRun::Misdirected));
        }
        if head.fields.get(names.not_run).is_some() {
            return Some(Outcome::NotRun(refusal));
        }
        // Only a signed success proves that the backend server itself answered.
        let is_success = (200..300).contains(&head.status);
        let is_unsigned = is_success && head.fields.get(names.proof).is_none();
        let is_too_long =
            matches!(head.framing, http1::Framing::Length(n) if n > relaying::MAX_ANSWER_BYTES);
        let is_invalid = is_unsigned || is_too_long;
        is_invalid.then_some(Outcome::Unknown(upstream::Failure::InvalidAnswer))
    }

    /// Records the load that an answer reports. Returns whether it leaves a free slot.
    fn note_load(&self, run: &placement::Run, head: &http1::ResponseHead) -> bool {
        let stated = head
            .fields
            .get(self.cfg.names.load)
            .and_then(names::parse_load);
        let Some(load) = stated else {
            return false;
        };
        let now = self.now();
        if let Some(backend) = self.backends.borrow_mut().get_mut(&run.id) {
            backend.record_load_report(now, load.running, load.waiting);
            self.waiting.note_room(backend.hash);
        }
        self.note_work_pace(run, head, load.pace);
        load.has_free_slot()
    }
}

/// The backend server that is reserved for a request.
fn target<'a>(job: &'a Job, reservation: &'a placement::Reservation) -> Target<'a> {
    Target {
        backend: &reservation.run.id,
        addr: reservation.addr,
        regions: job.homes(),
    }
}

pub(super) fn fields_for_caller(fields: &http1::Fields) -> BytesMut {
    let mut out = BytesMut::with_capacity(256);
    for (name, value) in fields.end_to_end() {
        http1::put_field(&mut out, name, value);
    }
    out
}

/// The keep-alive timeout that the backend server's answer states.
fn stated_keep_alive(fields: &http1::Fields) -> Option<time::Duration> {
    let text = fields.text("keep-alive")?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(time::Duration::from_secs)
}
