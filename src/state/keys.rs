//! Table of the idempotency keys used at this process, and the answers kept for resends.
//!
//! It guards against duplicate runs. Without it, a request resent after a lost answer would run
//! twice and appear twice with one key in a backend server's log. Only this process admits keys
//! that begin with its tickets, so a request whose key is not in the table was never started. A
//! key may be removed once its ticket accepts no new keys: from then on an unknown key is refused,
//! so the removal cannot cause a second run.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::protocol::{backend, outcome, ticket};

/// The bounds of the table.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of keys in the table.
    pub keys: usize,
    /// The maximum bytes of all kept answers.
    pub answer_bytes: usize,
    /// How long after its issue a ticket accepts new keys. A key is kept for twice that time after
    /// its request ended.
    pub ttl: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keys: 100_000,
            answer_bytes: 16 << 20,
            ttl: time::Duration::from_secs(60),
        }
    }
}

/// The result of a request with a key.
#[derive(Clone, Debug)]
pub enum End {
    /// A backend server answered.
    Answer(backend::Answer),
    /// A backend server answered, and the answer is no longer kept.
    AnswerGone,
    /// No answer came; the request may have run.
    Unknown(outcome::Problem),
}

/// The decision about a request with a key.
#[derive(Debug)]
pub enum Admission<W> {
    /// The key is new: run the request, then call [`Keys::end`] or [`Keys::not_run`].
    Run(W),
    /// The first request with the key still runs; this one waits for its result.
    Joined,
    /// The first request with the key has ended with this result.
    Ended(End, W),
    /// The request is refused.
    Refused(outcome::Problem, W),
}

#[derive(Debug)]
enum State<W> {
    Running(Vec<W>),
    Ended(End),
}

#[derive(Debug)]
struct KeyRecord<W> {
    fingerprint: policy::Fingerprint,
    state: State<W>,
}

/// The table of keys. `W` is the waiter of a resent request, notified with its result.
#[derive(Debug)]
pub struct Keys<W> {
    limits: Limits,
    records: collections::HashMap<String, KeyRecord<W>>,
    /// Keys of ended requests with their expiry times, in ascending order of time.
    expiries: collections::VecDeque<(policy::Moment, String)>,
    /// Keys whose answers are kept, oldest first.
    answers: collections::VecDeque<String>,
    answer_bytes: usize,
}

impl<W> Keys<W> {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: collections::HashMap::new(),
            expiries: collections::VecDeque::new(),
            answers: collections::VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// The number of keys in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The bytes of all kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides about a request with a key whose ticket this process issued.
    pub fn admit(
        &mut self,
        now: policy::Moment,
        key: &ticket::Key,
        fingerprint: policy::Fingerprint,
        waiter: W,
    ) -> Admission<W> {
        self.expire(now);
        if let Some(record) = self.records.get_mut(&key.text) {
            if record.fingerprint != fingerprint {
                return Admission::Refused(outcome::Problem::KeyReused, waiter);
            }
            return match &mut record.state {
                State::Running(waiters) => {
                    waiters.push(waiter);
                    Admission::Joined
                }
                State::Ended(end) => Admission::Ended(end.clone(), waiter),
            };
        }
        if let Err(problem) = self.check_new_key(now, &key.ticket) {
            return Admission::Refused(problem, waiter);
        }
        let record = KeyRecord {
            fingerprint,
            state: State::Running(Vec::new()),
        };
        self.records.insert(key.text.clone(), record);
        Admission::Run(waiter)
    }

    fn check_new_key(
        &self,
        now: policy::Moment,
        ticket: &ticket::Ticket,
    ) -> Result<(), outcome::Problem> {
        let issued = ticket.issued();
        if issued > now {
            return Err(outcome::Problem::BadKey(ticket::Error::NoTicket));
        }
        let age = now - issued;
        if age >= self.limits.ttl * 2 {
            return Err(outcome::Problem::TicketForgotten);
        }
        // A key stays in the table for twice the ticket's lifetime after its request ended, so a
        // request whose key is missing within that time of the ticket's issue has not run.
        if age >= self.limits.ttl {
            return Err(outcome::Problem::TicketExpired);
        }
        if self.records.len() >= self.limits.keys {
            return Err(outcome::Problem::KeyTableFull);
        }
        Ok(())
    }

    /// Releases the key of a request that did not run. Returns the waiters.
    pub fn not_run(&mut self, key: &str) -> Vec<W> {
        // The key of an ended request is never released.
        let running = |record: &&mut KeyRecord<W>| matches!(record.state, State::Running(_));
        if self.records.get_mut(key).filter(running).is_none() {
            return Vec::new();
        }
        match self.records.remove(key).map(|record| record.state) {
            Some(State::Running(waiters)) => waiters,
            _ => Vec::new(),
        }
    }

    /// Records the result of the request with a key. Returns the waiters.
    pub fn end(&mut self, now: policy::Moment, key: &str, end: End) -> Vec<W> {
        let Some(record) = self.records.get_mut(key) else {
            return Vec::new();
        };
        let bytes = end_bytes(&end);
        let State::Running(waiters) = std::mem::replace(&mut record.state, State::Ended(end))
        else {
            return Vec::new();
        };
        if bytes > 0 {
            self.answer_bytes += bytes;
            self.answers.push_back(key.to_owned());
        }
        self.expiries
            .push_back((now + self.limits.ttl * 2, key.to_owned()));
        self.evict_answers();
        waiters
    }

    /// Removes the expired keys.
    pub fn expire(&mut self, now: policy::Moment) {
        while self.expiries.front().is_some_and(|(when, _)| *when <= now) {
            let Some((_, key)) = self.expiries.pop_front() else {
                return;
            };
            if let Some(record) = self.records.remove(&key) {
                self.answer_bytes -= state_bytes(&record.state);
            }
            if self.answers.front() == Some(&key) {
                self.answers.pop_front();
            }
        }
    }

    /// Evicts the oldest answers until the rest fits the limit. Their keys stay in the table.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&key) {
                self.answer_bytes -= state_bytes(&record.state);
                record.state = State::Ended(End::AnswerGone);
            }
        }
    }
}

fn state_bytes<W>(state: &State<W>) -> usize {
    match state {
        State::Ended(end) => end_bytes(end),
        State::Running(_) => 0,
    }
}

/// The bytes that a kept result takes. Headers count, as they may be larger than the body.
fn end_bytes(end: &End) -> usize {
    match end {
        End::Answer(answer) => {
            let headers: usize = answer
                .headers
                .iter()
                .map(|(name, value)| name.as_str().len() + value.len())
                .sum();
            answer.body.len() + headers + 1
        }
        End::AnswerGone | End::Unknown(_) => 0,
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;
    use crate::id;

    const TTL: time::Duration = time::Duration::from_secs(60);

    fn keys(limits: Limits) -> Keys<u32> {
        Keys::new(limits)
    }

    fn key(seq: u32) -> ticket::Key {
        let ticket = ticket::Ticket {
            vm: "a".into(),
            incarnation: id::Incarnation(1),
            issued_ms: 0,
            random: 1,
        };
        ticket::Key::parse(&format!("{ticket}.{seq}"), None).unwrap()
    }

    fn answer(len: usize) -> End {
        End::Answer(backend::Answer {
            body: Bytes::from(vec![0; len]),
            ..backend::Answer::default()
        })
    }

    fn at(s: u64) -> policy::Moment {
        time::Duration::from_secs(s)
    }

    const PRINT: policy::Fingerprint = policy::Fingerprint(1);

    /// A caller sends a request twice, because the user tapped twice or the first answer was lost.
    /// Without the key table the request would run twice.
    #[test]
    fn a_key_runs_once() {
        let mut keys = keys(Limits::default());
        assert!(matches!(
            keys.admit(at(1), &key(1), PRINT, 1),
            Admission::Run(1)
        ));
        assert!(matches!(
            keys.admit(at(1), &key(1), PRINT, 2),
            Admission::Joined
        ));
        assert_eq!(keys.end(at(2), &key(1).text, answer(3)), vec![2]);
        let again = keys.admit(at(61), &key(1), PRINT, 3);
        assert!(matches!(again, Admission::Ended(End::Answer(_), 3)));
    }

    /// A resend arrives after its key has expired. Treated as new, it would run a second time.
    #[test]
    fn an_expired_key_is_refused() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(59), &key(1), PRINT, 1);
        keys.end(at(60), &key(1).text, answer(3));
        let late = keys.admit(at(181), &key(1), PRINT, 2);
        assert!(matches!(
            late,
            Admission::Refused(outcome::Problem::TicketForgotten, 2)
        ));
        let unseen = keys.admit(at(61), &key(2), PRINT, 3);
        assert!(matches!(
            unseen,
            Admission::Refused(outcome::Problem::TicketExpired, 3)
        ));
        assert_eq!((keys.len(), keys.answer_bytes()), (0, 0));
    }

    /// A request runs early in its ticket's lifetime and is resent just after the ticket expired.
    /// If its key were removed by then, the resend would be reported as not run and sent anew.
    #[test]
    fn a_key_is_kept_longer_than_its_ticket() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        keys.end(at(2), &key(1).text, answer(3));
        for s in [59, 61, 100, 119] {
            let again = keys.admit(at(s), &key(1), PRINT, 2);
            assert!(matches!(again, Admission::Ended(End::Answer(_), 2)), "{s}");
        }
    }

    /// Without a bound on kept answers, many large ones would exhaust the memory of the process,
    /// and every request in flight would fail.
    #[test]
    fn kept_answers_are_bounded_and_their_keys_stay_in_use() {
        let mut keys = keys(Limits {
            answer_bytes: 1000,
            ttl: TTL,
            ..Limits::default()
        });
        for seq in 0..20 {
            let _ = keys.admit(at(1), &key(seq), PRINT, 0);
            keys.end(at(1), &key(seq).text, answer(300));
        }
        assert!(keys.answer_bytes() <= 1000);
        let oldest = keys.admit(at(2), &key(0), PRINT, 1);
        assert!(matches!(oldest, Admission::Ended(End::AnswerGone, 1)));
        let newest = keys.admit(at(2), &key(19), PRINT, 1);
        assert!(matches!(newest, Admission::Ended(End::Answer(_), 1)));
    }

    #[test]
    fn another_request_with_a_used_key_is_refused() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        let other = keys.admit(at(1), &key(1), policy::Fingerprint(2), 2);
        assert!(matches!(
            other,
            Admission::Refused(outcome::Problem::KeyReused, 2)
        ));
    }

    #[test]
    fn a_request_that_did_not_run_may_be_resent() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        assert_eq!(keys.not_run(&key(1).text), Vec::<u32>::new());
        assert!(matches!(
            keys.admit(at(1), &key(1), PRINT, 1),
            Admission::Run(1)
        ));
    }
}
