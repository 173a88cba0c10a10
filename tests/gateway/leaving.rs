//! Backend servers that say in their answers that they leave.

use bulrushwind::gateway::cluster_state;
use bulrushwind::state::backends;

use super::harness::{Harness, Reaction, get_object, read_all, read_slowly, run_test};

/// Guards against requests to a backend server that leaves while the store, which lists it, is away.
#[test]
pub(crate) fn a_backend_server_whose_answer_says_that_it_leaves_gets_no_more_requests() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", None).await;
        harness.add_backend("i-1").await;
        harness.state("i-0", "x-leaving: 1\r\n");
        let mut caller = harness.caller().await;
        read_all(&mut caller, 0..20).await;
        assert_eq!(harness.runs_at("i-0"), 1);
        harness.cx.update_backend(&"i-0".into(), listed.clone());
        read_all(&mut caller, 20..40).await;
        harness.cx.remove_backend(&"i-0".into());
        harness.cx.update_backend(&"i-0".into(), listed);
        read_all(&mut caller, 40..60).await;
        assert_eq!(harness.runs_at("i-0"), 1);
    });
}

/// Guards against a malformed or contradictory value that takes a backend server out of use.
#[test]
pub(crate) fn other_values_do_not_take_a_backend_server_out_of_use() {
    run_test(async || {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        for (n, value) in ["0", "-1", "yes", "", "1\r\nx-leaving: 0"]
            .iter()
            .enumerate()
        {
            harness.state("i-0", &format!("x-leaving: {value}\r\n"));
            read_all(&mut caller, n * 5..n * 5 + 5).await;
        }
    });
}

/// Guards against a backend server that starts again under its name and stays out of use.
#[test]
pub(crate) fn a_backend_server_that_starts_again_no_longer_leaves() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        harness.start_backend("i-0", Some(100)).await;
        harness.state("i-0", "x-leaving: 1\r\n");
        let mut caller = harness.caller().await;
        read_all(&mut caller, 0..1).await;
        harness.state("i-0", "");
        harness.start_backend("i-0", Some(200)).await;
        read_all(&mut caller, 1..5).await;
    });
}

/// Guards against an announcement on an answer that runs nothing being missed.
#[test]
pub(crate) fn a_refusal_that_says_so_counts_too() {
    run_test(async || {
        let harness = Harness::new(2, &[]).await;
        harness.state("i-0", "x-leaving: 1\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..20).await, 20);
        assert_eq!(harness.arrived_at("i-0"), 1);
    });
}

/// Guards against an announcement that is lost because the entry was removed while the answer was
/// on its way, and returns.
#[test]
pub(crate) fn an_answer_that_arrives_without_an_entry_counts_when_the_entry_returns() {
    run_test(async || {
        let harness = Harness::new(0, &[Reaction::AfterNext("late"), Reaction::Answer("ok")]).await;
        let listed = harness.start_backend("i-0", None).await;
        harness.state("i-0", "x-leaving: 1\r\n");
        let mut first = harness.caller().await;
        first.send(&get_object("/read/first", "first", 0)).await;
        harness
            .until("the read runs", |seen| seen.ran.len() == 1)
            .await;
        harness.cx.remove_backend(&"i-0".into());
        harness.add_backend("i-1").await;
        let mut caller = harness.caller().await;
        read_all(&mut caller, 1..2).await;
        assert_eq!(first.receive().await.unwrap().text(), "late");
        harness.cx.update_backend(&"i-0".into(), listed);
        read_all(&mut caller, 2..20).await;
        assert_eq!(harness.runs_at("i-0"), 1);
    });
}

/// Guards against an older entry, from a restored copy of the store, that puts a backend server that
/// leaves back into use.
#[test]
pub(crate) fn an_entry_that_said_so_is_not_taken_back_by_an_older_one() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", Some(100)).await;
        harness.add_backend("i-1").await;
        let leaving = backends::Listed {
            leaving: true,
            ..listed.clone()
        };
        harness.cx.update_backend(&"i-0".into(), leaving.clone());
        let effect = harness.cx.update_backend(&"i-0".into(), listed.clone());
        assert_eq!(effect, cluster_state::Effect::Rejected);
        let mut caller = harness.caller().await;
        read_all(&mut caller, 0..20).await;
        harness.cx.remove_backend(&"i-0".into());
        harness.cx.update_backend(&"i-0".into(), listed);
        read_all(&mut caller, 20..40).await;
        assert_eq!(harness.runs_at("i-0"), 0);
        harness.start_backend("i-0", Some(200)).await;
        read_all(&mut caller, 40..80).await;
        assert!(harness.runs_at("i-0") > 0);
    });
}

/// Guards against an older entry that says nothing of a cold phase, for as long as backend servers
/// need to write again.
#[test]
pub(crate) fn a_cold_backend_server_stays_so_when_the_store_returns_from_a_copy() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", Some(100)).await;
        let cold = backends::Listed {
            cold_until: harness.cx.now() + std::time::Duration::from_secs(60),
            ..listed.clone()
        };
        let id = "i-0".into();
        harness.cx.update_backend(&id, cold);
        harness.cx.record_restored_store();
        harness.cx.update_backend(&id, listed);
        let mut answered = 0;
        for object in 0..30 {
            let mut caller = harness.caller().await;
            answered += caller.read_objects(object..object + 1).await;
        }
        assert!(answered < 30, "{answered} reads were answered");
    });
}
