//! Tests of the idle limit of connections, in virtual time.

use std::time;

use bulrushwind::decisions::idle_limit;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn secs(s: f64) -> time::Duration {
    time::Duration::from_secs_f64(s)
}

/// Outcome of the requests to one backend server.
#[derive(Debug, Default)]
struct Outcome {
    dialled: usize,
    broke: usize,
}

/// Sends a request every 0.2 to 9 s to backend servers that state an idle timeout of 10 s and drop
/// idle connections after `dropped_after_s` seconds.
fn simulate(dropped_after_s: f64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut rest = idle_limit::IdleLimit::default();
    let mut outcome = Outcome::default();
    for _ in 0..1000 {
        let idle_time = secs(rng.random_range(0.2..9.0));
        if idle_time >= rest.limit(Some(secs(10.0))) {
            outcome.dialled += 1;
        } else if idle_time > secs(dropped_after_s) {
            outcome.broke += 1;
            rest.record_break(idle_time);
        } else {
            rest.record_reuse(idle_time);
        }
    }
    outcome
}

/// Guards against closing idle connections too early: each of many backend servers gets a request
/// every few seconds, and a new connection costs callers of another region one more round trip.
#[test]
fn connections_stay_idle_as_long_as_backend_servers_state() {
    let outcome = simulate(10.0);
    assert_eq!((outcome.dialled, outcome.broke), (0, 0));
}

/// Backend servers drop connections after 0.3 s of idleness. Guards against requests that break one
/// after the other on these; bookings among them end with unknown outcome.
#[test]
fn where_connections_are_dropped_the_limit_soon_falls() {
    let outcome = simulate(0.3);
    // With a fixed idle limit of 4 s, 420 of 1,000 would break.
    assert!(outcome.broke <= 20, "{outcome:?}");
}

/// Backend servers lose one answer of twenty and reset the connection, whether new or reused. Guards
/// against taking this for dropped idle connections: a new connection per request would cost callers
/// of another region a round trip.
#[test]
fn answers_lost_on_any_connection_do_not_lower_the_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let mut rest = idle_limit::IdleLimit::default();
    for _ in 0..2000 {
        let lost = rng.random_range(0..20) == 0;
        if rng.random_range(0..4) == 0 {
            rest.record_new(lost);
        } else if lost {
            assert!(!rest.record_break(secs(rng.random_range(0.2..9.0))));
        } else {
            rest.record_reuse(secs(1.0));
        }
    }
    assert_eq!(rest.limit(Some(secs(10.0))), secs(9.5));
}

/// Guards against taking a crash during a request for a dropped idle connection.
#[test]
fn a_connection_that_breaks_during_a_request_was_not_dropped() {
    assert!(idle_limit::was_stale(secs(0.112), secs(0.11)));
    assert!(!idle_limit::was_stale(secs(0.11 + 0.14), secs(0.11)));
    assert!(!idle_limit::was_stale(secs(0.14), secs(0.002)));
}

#[test]
fn the_stated_idle_timeout_is_kept() {
    let rest = idle_limit::IdleLimit::default();
    assert_eq!(rest.limit(Some(secs(2.0))), secs(1.5));
    assert_eq!(rest.limit(None), secs(4.0));
    assert_eq!(rest.limit(Some(secs(0.0))), secs(0.0));
}
