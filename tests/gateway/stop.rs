//! Planned stops of an entry VM.

use std::future;
use std::time;

use bulrushwind::decisions::planned_stop;
use bulrushwind::gateway;
use futures_util::future as futures;

use super::harness::{Caller, Harness, LONG, Reaction, get, get_object, post, run_test};

/// An entry VM stops as planned. Running requests must be answered, and callers sent elsewhere.
#[test]
pub(crate) fn a_planned_stop_answers_running_requests_and_closes_their_connections() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::AfterNext("late"), Reaction::Answer("ok")]).await;
        let mut caller = harness.caller().await;
        caller.send(&get("/read/a", "r1")).await;
        harness.until("it runs", |seen| seen.ran.len() == 1).await;
        harness.cx.stop();
        assert!(!harness.cx.is_ready());
        assert!(harness.cx.entries_for(Some("region")).len() <= 1);
        let other = harness.caller().await.request(&get("/read/a", "r2")).await;
        assert_eq!(
            other.status, 200,
            "callers who have not heard are still served"
        );
        let answer = caller.receive().await.unwrap();
        assert_eq!((answer.status, answer.text()), (200, "late"));
        assert!(answer.head.fields.contains_token("connection", "close"));
        assert!(caller.is_closed().await);
    });
}

/// A request late in a planned stop would be cut off at its end. Refused, it can run on another VM.
#[test]
pub(crate) fn late_in_a_planned_stop_requests_are_refused_and_nothing_is_sent() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        harness.cx.stop();
        let started = std::time::Instant::now();
        while !harness.cx.is_closed() {
            assert!(started.elapsed() < super::harness::LONG);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let mut caller = harness.caller().await;
        let answer = caller.request(&get("/read/a", "r1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.head.fields.get("retry-after").is_some());
        assert!(caller.is_closed().await);
        assert_eq!(harness.seen.borrow().arrived, 0);
        assert!(harness.cx.is_drained());
    });
}

/// What a caller still waits for when a planned stop accepts no more requests.
#[derive(Clone, Copy, Debug)]
enum Waits {
    /// The rest of answers that are written whole.
    WholeAnswers,
    /// The rest of an answer that is relayed.
    RelayedAnswer,
    /// The answer to a request whose body it is still sending.
    BodyBeingSent,
    /// The answer to a request that it has sent in part.
    HeadBeingSent,
}

impl Waits {
    const ALL: [Self; 4] = [
        Self::WholeAnswers,
        Self::RelayedAnswer,
        Self::BodyBeingSent,
        Self::HeadBeingSent,
    ];

    /// The lengths of the answers, which are more than the system takes; none if the request has not run.
    fn answers(self) -> Vec<usize> {
        match self {
            Self::WholeAnswers => vec![250_000; 6],
            Self::RelayedAnswer => vec![2 << 20],
            Self::BodyBeingSent | Self::HeadBeingSent => Vec::new(),
        }
    }

    /// The request in two parts. The second is sent when the stop accepts no more requests.
    fn request(self) -> (String, String) {
        let (whole, split) = match self {
            Self::WholeAnswers | Self::RelayedAnswer => {
                let objects = 0..self.answers().len();
                let requests = objects.map(|n| get_object("/read/a", &format!("r{n}"), n));
                (requests.collect(), 0)
            }
            Self::BodyBeingSent => (post("/book/a", "b1", "0123456789"), 5),
            Self::HeadBeingSent => (get("/read/a", "r1"), 40),
        };
        let (first, rest) = whole.split_at(whole.len() - split);
        (first.to_owned(), rest.to_owned())
    }

    async fn play(self) {
        let answers = self.answers();
        let script: Vec<_> = answers.iter().map(|n| Reaction::Long(*n)).collect();
        let harness = Harness::new(6, &script).await;
        let mut caller = Caller::connect_slow(harness.caller_addr).await;
        let (first, rest) = self.request();
        caller.send(&first).await;
        harness
            .until("all run", |seen| seen.ran.len() == answers.len())
            .await;
        harness.cx.stop();
        while !harness.cx.is_closed() {
            tokio::time::sleep(time::Duration::from_millis(500)).await;
            if !answers.is_empty() {
                caller.wire.fill().await.unwrap();
            }
        }
        assert!(!harness.cx.is_drained(), "{self:?}: the caller waits");
        caller.send(&rest).await;
        for len in &answers {
            let answer = caller.receive().await.unwrap();
            assert_eq!((answer.status, answer.body.len()), (200, *len), "{self:?}");
        }
        if answers.is_empty() {
            assert_eq!(caller.receive().await.unwrap().status, 503, "{self:?}");
        }
        drop(caller);
        let finished = harness.cx.finish_stop(future::ready(()));
        tokio::time::timeout(LONG, finished).await.unwrap();
        assert!(harness.cx.is_drained(), "{self:?}: nothing is pending");
    }
}

async fn until(holds: impl Fn() -> bool) {
    let started = time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < LONG);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against a planned stop that ends while callers still send a request or read their answer.
#[test]
pub(crate) fn a_planned_stop_waits_until_callers_have_their_answers() {
    run_test(|| async {
        futures::join_all(Waits::ALL.map(Waits::play)).await;
    });
}

/// Guards against a planned stop that waits for callers which wait for nothing.
#[test]
pub(crate) fn a_planned_stop_does_not_wait_for_idle_connections() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        assert_eq!(caller.request(&get("/read/a", "r1")).await.status, 200);
        harness.cx.stop();
        until(|| harness.cx.is_closed()).await;
        assert!(harness.cx.is_drained());
        drop(caller);
    });
}

/// Guards against a planned stop that cuts connections at its end, with answers that are ready behind a
/// request which still runs.
#[test]
pub(crate) fn at_the_end_of_a_planned_stop_each_caller_gets_an_answer() {
    run_test(|| async {
        let cfg = gateway::Config {
            grace: time::Duration::from_secs(4),
            ..gateway::Config::default()
        };
        let script = [
            Reaction::Hang,
            Reaction::Answer("ready"),
            Reaction::Hang,
            Reaction::Hang,
        ];
        let harness = Harness::with(cfg, 4, &script).await;
        let mut callers = Vec::new();
        let mut runs = 0;
        for requests in [
            vec![
                get_object("/read/a", "r1", 1),
                get_object("/read/b", "r2", 2),
            ],
            vec![post("/book/a", "b1", "x")],
            vec![get_object("/read/c", "r3", 3)],
        ] {
            let mut caller = harness.caller().await;
            for request in requests {
                caller.send(&request).await;
                runs += 1;
                harness
                    .until("it runs", |seen| seen.ran.len() == runs)
                    .await;
            }
            callers.push(caller);
        }
        let mut uploading = harness.caller().await;
        let booking = post("/book/b", "b2", "0123456789");
        uploading.send(&booking[..booking.len() - 5]).await;
        harness.cx.stop();
        harness.cx.finish_stop(future::ready(())).await;
        let expected = [vec![502, 200], vec![502], vec![502]];
        for (caller, expected) in callers.iter_mut().zip(expected) {
            for status in expected {
                assert_eq!(caller.receive().await.unwrap().status, status);
            }
            assert!(caller.is_closed().await);
        }
        let refused = uploading.receive().await.unwrap();
        assert_eq!(refused.status, 503, "it has not run");
        assert!(refused.retry_after() > 0.0);
    });
}

/// Guards against requests that are ended while there is time for their own answers.
#[test]
pub(crate) fn a_planned_stop_ends_requests_only_in_its_last_part() {
    for grace in [1, 3, 6, 30].map(time::Duration::from_secs) {
        let schedule = planned_stop::Schedule::new(grace);
        assert!(schedule.yield_at <= schedule.end_at && schedule.end_at < schedule.exit_at);
        assert!(schedule.exit_at < grace);
    }
    let schedule = planned_stop::Schedule::new(time::Duration::from_secs(6));
    assert!(schedule.yield_at > time::Duration::from_secs(5));
    assert!(!planned_stop::Phase::Stopping.ends_request(true));
    assert!(!planned_stop::Phase::Yielding.ends_request(false));
}
