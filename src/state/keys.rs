//! The keys that were spent at this process, and the answers kept for resends.
//!
//! What goes wrong without it: a caller's answer is lost, the caller sends the booking again, and
//! it runs twice. One would notice two entries with one key in a backend server's log. Only this
//! process decides about keys that begin with its tickets, so a key that is not in the table was
//! never started. It may be forgotten once its ticket takes no new keys: from then on a key that
//! is not in the table is refused, so that forgetting cannot cause a second run either.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::protocol::{backend, outcome, ticket};

/// The bounds of the table.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Keys remembered at a time.
    pub keys: usize,
    /// Bytes of answers kept at a time.
    pub answer_bytes: usize,
    /// How long after its issue a ticket takes new keys. A key is remembered for twice that time
    /// after it ended.
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

/// How a request under a key ended.
#[derive(Clone, Debug)]
pub enum End {
    /// With a backend server's answer.
    Answer(backend::Answer),
    /// With one that is no longer kept.
    AnswerGone,
    /// Without one; it may have run.
    Unknown(outcome::Problem),
}

/// What to do with a request that came with a key.
#[derive(Debug)]
pub enum Admission<W> {
    /// It is the first: run it, and call [`Keys::end`] when it ended.
    Run(W),
    /// The first one is still under way; this one waits for the same end.
    Joined,
    /// The first one ended so.
    Ended(End, W),
    /// It is turned away.
    Refused(outcome::Problem, W),
}

#[derive(Debug)]
enum State<W> {
    Running(Vec<W>),
    Ended(End),
}

#[derive(Debug)]
struct Spent<W> {
    fingerprint: policy::Fingerprint,
    state: State<W>,
}

/// The table. `W` is what waits for the end of a request that was sent twice.
#[derive(Debug)]
pub struct Keys<W> {
    limits: Limits,
    spent: collections::HashMap<String, Spent<W>>,
    /// Ended keys, with the time at which each is forgotten. Times only grow.
    forget: collections::VecDeque<(policy::Moment, String)>,
    /// Keys whose answers are kept, oldest first.
    answers: collections::VecDeque<String>,
    answer_bytes: usize,
}

impl<W> Keys<W> {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            spent: collections::HashMap::new(),
            forget: collections::VecDeque::new(),
            answers: collections::VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Keys remembered now.
    pub fn len(&self) -> usize {
        self.spent.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    /// Bytes of answers kept now.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides about a request that came with a key whose ticket this process issued.
    pub fn admit(
        &mut self,
        now: policy::Moment,
        key: &ticket::Key,
        fingerprint: policy::Fingerprint,
        waiter: W,
    ) -> Admission<W> {
        self.expire(now);
        if let Some(spent) = self.spent.get_mut(&key.text) {
            if spent.fingerprint != fingerprint {
                return Admission::Refused(outcome::Problem::KeyReused, waiter);
            }
            return match &mut spent.state {
                State::Running(waiters) => {
                    waiters.push(waiter);
                    Admission::Joined
                }
                State::Ended(end) => Admission::Ended(end.clone(), waiter),
            };
        }
        if let Err(problem) = self.first_sight(now, &key.ticket) {
            return Admission::Refused(problem, waiter);
        }
        let spent = Spent {
            fingerprint,
            state: State::Running(Vec::new()),
        };
        self.spent.insert(key.text.clone(), spent);
        Admission::Run(waiter)
    }

    fn first_sight(
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
        // A key is remembered for twice the ticket's lifetime after its end, so one that is not
        // here within that time of the ticket's issue has not run.
        if age >= self.limits.ttl {
            return Err(outcome::Problem::TicketExpired);
        }
        if self.spent.len() >= self.limits.keys {
            return Err(outcome::Problem::KeyTableFull);
        }
        Ok(())
    }

    /// The request under a key did not run: the key may be used again. Returns who waits.
    pub fn not_run(&mut self, key: &str) -> Vec<W> {
        // A key that ended stays spent, whatever is said of it later.
        let running = |spent: &&mut Spent<W>| matches!(spent.state, State::Running(_));
        if self.spent.get_mut(key).filter(running).is_none() {
            return Vec::new();
        }
        match self.spent.remove(key).map(|spent| spent.state) {
            Some(State::Running(waiters)) => waiters,
            _ => Vec::new(),
        }
    }

    /// The request under a key ended. Returns who waits.
    pub fn end(&mut self, now: policy::Moment, key: &str, end: End) -> Vec<W> {
        let Some(spent) = self.spent.get_mut(key) else {
            return Vec::new();
        };
        let bytes = kept_bytes(&end);
        let State::Running(waiters) = std::mem::replace(&mut spent.state, State::Ended(end)) else {
            return Vec::new();
        };
        if bytes > 0 {
            self.answer_bytes += bytes;
            self.answers.push_back(key.to_owned());
        }
        self.forget
            .push_back((now + self.limits.ttl * 2, key.to_owned()));
        self.shrink();
        waiters
    }

    /// Forgets what may be forgotten.
    pub fn expire(&mut self, now: policy::Moment) {
        while self.forget.front().is_some_and(|(when, _)| *when <= now) {
            let Some((_, key)) = self.forget.pop_front() else {
                return;
            };
            if let Some(spent) = self.spent.remove(&key) {
                self.answer_bytes -= state_bytes(&spent.state);
            }
            if self.answers.front() == Some(&key) {
                self.answers.pop_front();
            }
        }
    }

    /// Drops the oldest answers until the rest fits. Their keys stay spent.
    fn shrink(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            if let Some(spent) = self.spent.get_mut(&key) {
                self.answer_bytes -= state_bytes(&spent.state);
                spent.state = State::Ended(End::AnswerGone);
            }
        }
    }
}

fn state_bytes<W>(state: &State<W>) -> usize {
    match state {
        State::Ended(end) => kept_bytes(end),
        State::Running(_) => 0,
    }
}

/// What keeping an end costs. Headers count too: they may be larger than the body.
fn kept_bytes(end: &End) -> usize {
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

    /// A caller taps twice, or its first answer is lost on a bad line. A table that forgot the
    /// first would book the bay twice.
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

    /// A key is forgotten at last, and a very late resend of it comes. Taken for new, it would run
    /// a second time.
    #[test]
    fn a_forgotten_key_is_refused() {
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

    /// A booking runs early in its ticket's life, and its caller asks again when the ticket has
    /// just expired. Forgotten by then, the booking would be called not run, and booked anew.
    #[test]
    fn a_key_outlives_its_ticket() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        keys.end(at(2), &key(1).text, answer(3));
        for s in [59, 61, 100, 119] {
            let again = keys.admit(at(s), &key(1), PRINT, 2);
            assert!(matches!(again, Admission::Ended(End::Answer(_), 2)), "{s}");
        }
    }

    /// Many large answers are kept at once. Without a bound the process would run out of memory
    /// and take every request in flight with it.
    #[test]
    fn kept_answers_are_bounded_and_their_keys_stay_spent() {
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
    fn another_request_under_a_spent_key_is_an_error() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        let other = keys.admit(at(1), &key(1), policy::Fingerprint(2), 2);
        assert!(matches!(
            other,
            Admission::Refused(outcome::Problem::KeyReused, 2)
        ));
    }

    #[test]
    fn a_request_that_did_not_run_may_come_again() {
        let mut keys = keys(Limits::default());
        let _ = keys.admit(at(1), &key(1), PRINT, 1);
        assert_eq!(keys.not_run(&key(1).text), Vec::<u32>::new());
        assert!(matches!(
            keys.admit(at(1), &key(1), PRINT, 1),
            Admission::Run(1)
        ));
    }
}
