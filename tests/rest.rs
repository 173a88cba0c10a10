//! Tests of the idle limit of connections, in virtual time.

use std::time;

use bulrushwind::decisions::rest;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn secs(s: f64) -> time::Duration {
    time::Duration::from_secs_f64(s)
}

/// Outcome of the requests to one backend server.
#[derive(Debug, Default)]
struct Sent {
    dialled: usize,
    broke: usize,
}

/// Sends a request every 0.2 to 9 s to backend servers that state an idle timeout of 10 s and drop
/// idle connections after `kept` seconds.
fn play(kept: f64) -> Sent {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut rest = rest::Rest::default();
    let mut sent = Sent::default();
    for _ in 0..1000 {
        let rested = secs(rng.random_range(0.2..9.0));
        if rested >= rest.limit(Some(secs(10.0))) {
            sent.dialled += 1;
        } else if rested > secs(kept) {
            sent.broke += 1;
            rest.broke(rested);
        } else {
            rest.held(rested);
        }
    }
    sent
}

/// Guards against closing idle connections too early: each of many backend servers gets a request
/// every few seconds, and a new connection costs callers of another region one more round trip.
#[test]
fn connections_rest_as_long_as_backend_servers_say() {
    let sent = play(10.0);
    assert_eq!((sent.dialled, sent.broke), (0, 0));
}

/// Backend servers drop connections after 0.3 s of idleness. Guards against requests that break one
/// after the other on these; bookings among them end with unknown outcome.
#[test]
fn where_connections_are_forgotten_they_soon_rest_less() {
    let sent = play(0.3);
    // With a fixed idle limit of 4 s, 420 of 1,000 would break.
    assert!(sent.broke <= 20, "{sent:?}");
}

/// Backend servers lose one answer of twenty and reset the connection, whether new or reused. Guards
/// against taking this for dropped idle connections: a new connection per request would cost callers
/// of another region a round trip.
#[test]
fn answers_that_are_lost_on_any_connection_are_no_reason_to_dial_anew() {
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let mut rest = rest::Rest::default();
    for _ in 0..2000 {
        let lost = rng.random_range(0..20) == 0;
        if rng.random_range(0..4) == 0 {
            rest.dialled(lost);
        } else if lost {
            assert!(!rest.broke(secs(rng.random_range(0.2..9.0))));
        } else {
            rest.held(secs(1.0));
        }
    }
    assert_eq!(rest.limit(Some(secs(10.0))), secs(9.5));
}

/// Guards against taking a crash during a request for a dropped idle connection.
#[test]
fn a_connection_that_breaks_at_work_was_not_forgotten() {
    assert!(rest::at_once(secs(0.112), secs(0.11)));
    assert!(!rest::at_once(secs(0.11 + 0.14), secs(0.11)));
    assert!(!rest::at_once(secs(0.14), secs(0.002)));
}

#[test]
fn what_a_backend_server_states_counts() {
    let rest = rest::Rest::default();
    assert_eq!(rest.limit(Some(secs(2.0))), secs(1.5));
    assert_eq!(rest.limit(None), secs(4.0));
    assert_eq!(rest.limit(Some(secs(0.0))), secs(0.0));
}
