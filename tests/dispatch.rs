//! Invariants of the decisions inside an availability zone under random sequences of events.

use std::collections;
use std::time;

use bulrushwind::decisions::{cross_az, dispatch, policy, queue, retry};
use policy::{Action, AttemptOutcome, Destination, Moment, Policy, RequestOutcome};
use proptest::prelude::*;
use proptest::test_runner;

const BACKENDS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        caller: u64,
        fingerprint: u64,
        idempotent: bool,
        from_az: bool,
        timeout_ms: u64,
    },
    End {
        pick: usize,
        how: AttemptOutcome,
    },
    CallerLeft(usize),
    Advance(u64),
    Leaving([bool; 3]),
    Probed {
        pick: usize,
        answered: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let how = prop_oneof![
        8 => Just(AttemptOutcome::Answered),
        1 => Just(AttemptOutcome::Failed),
        2 => Just(AttemptOutcome::Shed),
        1 => Just(AttemptOutcome::NotSent),
        2 => Just(AttemptOutcome::Lost),
        1 => Just(AttemptOutcome::Cancelled),
    ];
    let arrive = (0..4_u64, 0..6_u64, any::<bool>(), 0..8_u8, 1..500_u64);
    prop_oneof![
        8 => arrive.prop_map(|(caller, fingerprint, idempotent, from_az, timeout_ms)| {
            Step::Arrive { caller, fingerprint, idempotent, from_az: from_az == 0, timeout_ms }
        }),
        8 => (any::<usize>(), how).prop_map(|(pick, how)| Step::End { pick, how }),
        1 => any::<usize>().prop_map(Step::CallerLeft),
        3 => (0..60_u64).prop_map(Step::Advance),
        1 => any::<[bool; 3]>().prop_map(Step::Leaving),
        1 => (0..3_usize, any::<bool>()).prop_map(|(pick, answered)| Step::Probed { pick, answered }),
    ]
}

#[derive(Debug, Default)]
struct RequestState {
    idempotent: bool,
    maybe_run: bool,
    sends: u32,
    settled: u32,
}

/// Applies steps to a policy and checks each of its actions.
struct Harness {
    dispatch: dispatch::Dispatch,
    cfg: dispatch::Config,
    now: Moment,
    requests: Vec<RequestState>,
    in_flight: Vec<(policy::RequestId, Destination, Moment)>,
    leaving: [bool; 3],
}

impl Harness {
    fn new() -> Self {
        let cfg = dispatch::Config {
            queue: queue::Config {
                max_len: 16,
                ..queue::Config::default()
            },
            ..dispatch::Config::default()
        };
        let cross_az = cross_az::CrossAzRouter::new(cross_az::Config::default(), "here".into());
        let mut harness = Self {
            dispatch: dispatch::Dispatch::new(cfg, cross_az),
            cfg,
            now: Moment::from_secs(1),
            requests: Vec::new(),
            in_flight: Vec::new(),
            leaving: [false; 3],
        };
        harness.update_backends();
        harness
    }

    fn apply(&mut self, f: impl FnOnce(&mut dispatch::Dispatch, Moment, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        f(&mut self.dispatch, self.now, &mut actions);
        for action in actions {
            self.check_action(action);
        }
        let max_waiting = self.cfg.queue.max_len + self.cfg.quarantine.max_waiting;
        assert!(
            self.dispatch.waiting() <= max_waiting,
            "the queue is not bounded"
        );
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { req, to, deadline } => {
                assert!(!self.is_leaving(&to), "sent to {to:?}, which leaves");
                let request = &mut self.requests[req.0 as usize];
                let forbidden_resend = !request.idempotent
                    && (request.maybe_run || self.in_flight.iter().any(|o| o.0 == req));
                assert!(
                    !forbidden_resend,
                    "sent again though it may have run: {req:?}"
                );
                assert_eq!(request.settled, 0, "sent after its settlement: {req:?}");
                request.sends += 1;
                self.in_flight.push((req, to, deadline));
            }
            Action::Settle { req, fate } => {
                let in_flight = self.in_flight.iter().any(|o| o.0 == req);
                let request = &mut self.requests[req.0 as usize];
                request.settled += 1;
                let not_run = matches!(fate, RequestOutcome::NotRun { .. });
                let may_run = request.maybe_run || in_flight;
                assert!(
                    !(not_run && may_run),
                    "called not run though it may have: {req:?}"
                );
                assert!(fate != RequestOutcome::Answer || request.sends > 0);
            }
            Action::Cancel { .. } | Action::Probe { .. } => {}
        }
    }

    fn is_leaving(&self, to: &Destination) -> bool {
        let Destination::Backend(id) = to else {
            return false;
        };
        let at = BACKENDS.iter().position(|b| *b == id.as_str());
        at.is_none_or(|i| self.leaving[i])
    }

    fn update_backends(&mut self) {
        let leaving = self.leaving;
        let backends = [0, 1, 2].map(|i| policy::Backend {
            id: BACKENDS[i].into(),
            slots: 3,
            leaving: leaving[i],
        });
        self.apply(|d, now, out| d.set_backends(now, &backends, out));
    }

    fn end_attempt(&mut self, at: usize, how: AttemptOutcome) {
        let (req, place, _) = self.in_flight.swap_remove(at);
        let request = &mut self.requests[req.0 as usize];
        request.maybe_run |= retry::may_have_run(how);
        self.apply(|d, now, out| d.ended(now, req, &place, how, None, out));
    }

    fn advance(&mut self, millis: u64) {
        self.now += time::Duration::from_millis(millis);
        while let Some(late) = self.in_flight.iter().position(|o| o.2 <= self.now) {
            self.end_attempt(late, AttemptOutcome::TimedOut);
        }
        self.apply(|d, now, out| d.tick(now, out));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive {
                caller,
                fingerprint,
                idempotent,
                from_az,
                timeout_ms,
            } => {
                let id = policy::RequestId(self.requests.len() as u64);
                self.requests.push(RequestState {
                    idempotent,
                    ..RequestState::default()
                });
                let origin = match from_az {
                    true => policy::Origin::Az("there".into()),
                    false => policy::Origin::Caller,
                };
                let req = policy::Arrival {
                    id,
                    caller: policy::CallerId(caller),
                    fingerprint: policy::Fingerprint(fingerprint),
                    origin,
                    idempotent,
                    worth: if idempotent { 2 } else { 20 },
                    typical: time::Duration::from_millis(10),
                    deadline: self.now + time::Duration::from_millis(timeout_ms),
                    bytes: 100,
                };
                self.apply(|d, now, out| d.arrive(now, req, out));
            }
            Step::End { pick, how } if !self.in_flight.is_empty() => {
                self.end_attempt(pick % self.in_flight.len(), how);
            }
            Step::CallerLeft(pick) if !self.requests.is_empty() => {
                let req = policy::RequestId((pick % self.requests.len()) as u64);
                self.apply(|d, now, out| d.caller_gone(now, req, out));
            }
            Step::End { .. } | Step::CallerLeft(_) => {}
            Step::Advance(millis) => self.advance(millis),
            Step::Leaving(leaving) => {
                self.leaving = leaving;
                self.update_backends();
            }
            Step::Probed { pick, answered } => {
                let report = answered.then_some(policy::Report {
                    in_flight: 0,
                    queued: 0,
                    leaving: false,
                });
                let from = BACKENDS[pick].into();
                self.apply(|d, now, out| d.report(now, &from, report, out));
            }
        }
    }

    /// Advances past all deadlines, and checks that each request was settled once and that retries
    /// stayed within their budget.
    fn finish(mut self) {
        for _ in 0..100 {
            self.advance(10);
        }
        let unsettled = self
            .requests
            .iter()
            .position(|request| request.settled != 1);
        assert_eq!(unsettled, None, "{:?}", self.requests);
        let retries: u32 = self
            .requests
            .iter()
            .map(|s| s.sends.saturating_sub(1))
            .sum();
        let cfg = self.cfg.retry;
        let budget = cfg.burst + cfg.budget_ratio * self.requests.len() as f64;
        assert!(f64::from(retries) <= budget, "{retries} second attempts");
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Backend servers shed, fail, crash and recover while callers come and go. Guards against a
    /// request that is settled twice, never, or with a wrong outcome, and against a second send of
    /// a booking that may have run.
    #[test]
    fn every_request_is_settled_once_and_correctly(steps in prop::collection::vec(step(), 1..400)) {
        let mut harness = Harness::new();
        for step in steps {
            harness.step(step);
        }
        harness.finish();
    }
}

/// Bookings fill all slots continuously. Guards against starvation of queued reads with late
/// deadlines.
#[test]
fn reads_are_not_starved() {
    let mut harness = Harness::new();
    let mut answers_by_kind = collections::BTreeMap::new();
    for round in 0..2_000_u64 {
        let arrive = |idempotent| Step::Arrive {
            caller: round,
            fingerprint: 1_000 + round,
            idempotent,
            from_az: false,
            timeout_ms: 10_000,
        };
        harness.step(arrive(false));
        if round % 4 == 0 {
            harness.step(arrive(true));
        }
        if round % 2 == 0 && !harness.in_flight.is_empty() {
            let read = harness.requests[harness.in_flight[0].0.0 as usize].idempotent;
            *answers_by_kind.entry(read).or_insert(0) += 1;
            harness.end_attempt(0, AttemptOutcome::Answered);
        }
        harness.advance(5);
    }
    let reads = answers_by_kind.get(&true).copied().unwrap_or(0);
    assert!(reads >= 20, "{answers_by_kind:?}");
}
