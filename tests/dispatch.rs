//! Invariants of the decisions inside an availability zone under random sequences of events.

use std::collections;
use std::time;

use bulrushwind::decisions::{across, dispatch, policy, queue, retry};
use policy::{Action, Ended, Fate, Moment, Place, Policy};
use proptest::prelude::*;
use proptest::test_runner;

const BACKENDS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        caller: u64,
        fingerprint: u64,
        idempotent: bool,
        foreign: bool,
        patience_ms: u64,
    },
    End {
        pick: usize,
        how: Ended,
    },
    Gone(usize),
    Pass(u64),
    Leaving([bool; 3]),
    Probed {
        pick: usize,
        answered: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let how = prop_oneof![
        8 => Just(Ended::Answered),
        1 => Just(Ended::Failed),
        2 => Just(Ended::Shed),
        1 => Just(Ended::NotSent),
        2 => Just(Ended::Lost),
        1 => Just(Ended::Cancelled),
    ];
    let arrive = (0..4_u64, 0..6_u64, any::<bool>(), 0..8_u8, 1..500_u64);
    prop_oneof![
        8 => arrive.prop_map(|(caller, fingerprint, idempotent, foreign, patience_ms)| {
            Step::Arrive { caller, fingerprint, idempotent, foreign: foreign == 0, patience_ms }
        }),
        8 => (any::<usize>(), how).prop_map(|(pick, how)| Step::End { pick, how }),
        1 => any::<usize>().prop_map(Step::Gone),
        3 => (0..60_u64).prop_map(Step::Pass),
        1 => any::<[bool; 3]>().prop_map(Step::Leaving),
        1 => (0..3_usize, any::<bool>()).prop_map(|(pick, answered)| Step::Probed { pick, answered }),
    ]
}

#[derive(Debug, Default)]
struct Seen {
    idempotent: bool,
    maybe_run: bool,
    sends: u32,
    settled: u32,
}

/// Applies steps to a policy and checks each of its actions.
struct Play {
    dispatch: dispatch::Dispatch,
    cfg: dispatch::Config,
    now: Moment,
    seen: Vec<Seen>,
    out: Vec<(policy::RequestId, Place, Moment)>,
    leaving: [bool; 3],
}

impl Play {
    fn new() -> Self {
        let cfg = dispatch::Config {
            queue: queue::Config {
                max_len: 16,
                ..queue::Config::default()
            },
            ..dispatch::Config::default()
        };
        let across = across::Across::new(across::Config::default(), "here".into());
        let mut play = Self {
            dispatch: dispatch::Dispatch::new(cfg, across),
            cfg,
            now: Moment::from_secs(1),
            seen: Vec::new(),
            out: Vec::new(),
            leaving: [false; 3],
        };
        play.list();
        play
    }

    fn with(&mut self, f: impl FnOnce(&mut dispatch::Dispatch, Moment, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        f(&mut self.dispatch, self.now, &mut actions);
        for action in actions {
            self.act(action);
        }
        let most = self.cfg.queue.max_len + self.cfg.quarantine.waiting;
        assert!(self.dispatch.waiting() <= most, "the queue is not bounded");
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { req, to, deadline } => {
                assert!(!self.left(&to), "sent to {to:?}, which leaves");
                let seen = &mut self.seen[req.0 as usize];
                let again =
                    !seen.idempotent && (seen.maybe_run || self.out.iter().any(|o| o.0 == req));
                assert!(!again, "sent again though it may have run: {req:?}");
                assert_eq!(seen.settled, 0, "sent after its settlement: {req:?}");
                seen.sends += 1;
                self.out.push((req, to, deadline));
            }
            Action::Settle { req, fate } => {
                let out = self.out.iter().any(|o| o.0 == req);
                let seen = &mut self.seen[req.0 as usize];
                seen.settled += 1;
                let not_run = matches!(fate, Fate::NotRun { .. });
                let may_run = seen.maybe_run || out;
                assert!(
                    !(not_run && may_run),
                    "called not run though it may have: {req:?}"
                );
                assert!(fate != Fate::Answer || seen.sends > 0);
            }
            Action::Cancel { .. } | Action::Probe { .. } => {}
        }
    }

    fn left(&self, to: &Place) -> bool {
        let Place::Backend(id) = to else {
            return false;
        };
        let at = BACKENDS.iter().position(|b| *b == id.as_str());
        at.is_none_or(|i| self.leaving[i])
    }

    fn list(&mut self) {
        let leaving = self.leaving;
        let backends = [0, 1, 2].map(|i| policy::Backend {
            id: BACKENDS[i].into(),
            slots: 3,
            leaving: leaving[i],
        });
        self.with(|d, now, out| d.set_backends(now, &backends, out));
    }

    fn end(&mut self, at: usize, how: Ended) {
        let (req, place, _) = self.out.swap_remove(at);
        let seen = &mut self.seen[req.0 as usize];
        seen.maybe_run |= retry::may_have_run(how);
        self.with(|d, now, out| d.ended(now, req, &place, how, None, out));
    }

    fn pass(&mut self, millis: u64) {
        self.now += time::Duration::from_millis(millis);
        while let Some(late) = self.out.iter().position(|o| o.2 <= self.now) {
            self.end(late, Ended::TimedOut);
        }
        self.with(|d, now, out| d.tick(now, out));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive {
                caller,
                fingerprint,
                idempotent,
                foreign,
                patience_ms,
            } => {
                let id = policy::RequestId(self.seen.len() as u64);
                self.seen.push(Seen {
                    idempotent,
                    ..Seen::default()
                });
                let origin = match foreign {
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
                    deadline: self.now + time::Duration::from_millis(patience_ms),
                    bytes: 100,
                };
                self.with(|d, now, out| d.arrive(now, req, out));
            }
            Step::End { pick, how } if !self.out.is_empty() => {
                self.end(pick % self.out.len(), how);
            }
            Step::Gone(pick) if !self.seen.is_empty() => {
                let req = policy::RequestId((pick % self.seen.len()) as u64);
                self.with(|d, now, out| d.gone(now, req, out));
            }
            Step::End { .. } | Step::Gone(_) => {}
            Step::Pass(millis) => self.pass(millis),
            Step::Leaving(leaving) => {
                self.leaving = leaving;
                self.list();
            }
            Step::Probed { pick, answered } => {
                let report = answered.then_some(policy::Report {
                    in_flight: 0,
                    queued: 0,
                    leaving: false,
                });
                let from = BACKENDS[pick].into();
                self.with(|d, now, out| d.report(now, &from, report, out));
            }
        }
    }

    /// Advances past all deadlines, and checks that each request was settled once and that retries
    /// stayed within their budget.
    fn finish(mut self) {
        for _ in 0..100 {
            self.pass(10);
        }
        let unsettled = self.seen.iter().position(|seen| seen.settled != 1);
        assert_eq!(unsettled, None, "{:?}", self.seen);
        let second: u32 = self.seen.iter().map(|s| s.sends.saturating_sub(1)).sum();
        let cfg = self.cfg.retry;
        let budget = cfg.burst + cfg.budget_ratio * self.seen.len() as f64;
        assert!(f64::from(second) <= budget, "{second} second attempts");
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
    fn every_request_is_settled_once_and_truly(steps in prop::collection::vec(step(), 1..400)) {
        let mut play = Play::new();
        for step in steps {
            play.step(step);
        }
        play.finish();
    }
}

/// Bookings fill all slots continuously. Guards against starvation of queued reads with late
/// deadlines.
#[test]
fn patient_reads_are_not_starved() {
    let mut play = Play::new();
    let mut classes = collections::BTreeMap::new();
    for round in 0..2_000_u64 {
        let arrive = |idempotent| Step::Arrive {
            caller: round,
            fingerprint: 1_000 + round,
            idempotent,
            foreign: false,
            patience_ms: 10_000,
        };
        play.step(arrive(false));
        if round % 4 == 0 {
            play.step(arrive(true));
        }
        if round % 2 == 0 && !play.out.is_empty() {
            let read = play.seen[play.out[0].0.0 as usize].idempotent;
            *classes.entry(read).or_insert(0) += 1;
            play.end(0, Ended::Answered);
        }
        play.pass(5);
    }
    let reads = classes.get(&true).copied().unwrap_or(0);
    assert!(reads >= 20, "{classes:?}");
}
