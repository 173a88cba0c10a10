//! Which requests try backend servers that were ejected.

use std::time;

use bulrushwind::decisions::ejection;

const NOW: time::Duration = time::Duration::from_secs(100);

/// Guards against bookings that are lost at a failing backend server although reads could try it.
#[test]
fn bookings_try_no_backend_server_of_a_service_that_gets_reads() {
    let mut trials = ejection::Trials::default();
    trials.record_read(NOW);
    let soon = NOW + time::Duration::from_secs(2);
    assert!(trials.admit(soon, true) && !trials.admit(soon, false));
}

/// Guards against backend servers that stay out for good where no reads come.
#[test]
fn bookings_try_backend_servers_of_a_service_that_gets_no_reads() {
    let mut trials = ejection::Trials::default();
    assert!(trials.admit(NOW, false));
    trials.record_read(NOW);
    assert!(trials.admit(NOW + time::Duration::from_secs(10), false));
}

/// Guards against a booking for each ejection of a backend server that fails for some seconds.
#[test]
fn bookings_try_a_backend_server_that_failed_later_than_reads() {
    let cfg = ejection::Config::default();
    for (down, first) in [(true, 2), (false, 5)] {
        let mut health = ejection::Health::default();
        health.eject(&cfg, NOW, down);
        let after = |seconds| NOW + time::Duration::from_secs(seconds);
        assert!(health.trial_due(after(1), true) && !health.trial_due(after(first - 1), false));
        assert!(health.trial_due(after(first), false));
    }
}
