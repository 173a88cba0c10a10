//! Backend servers that say in their answers that they leave.

use super::harness::{Caller, Harness, get_object, run_test};

async fn read_objects(caller: &mut Caller, objects: std::ops::Range<usize>) {
    for object in objects {
        let id = format!("r{object}");
        let read = get_object(&format!("/read/{object}"), &id, object);
        assert_eq!(caller.request(&read).await.status, 200, "object {object}");
    }
}

/// Guards against requests to a backend server that leaves while the store, which lists it, is away.
#[test]
fn a_backend_server_whose_answer_says_that_it_leaves_gets_no_more_requests() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", None).await;
        harness.add_backend("i-1").await;
        harness.state("i-0", "x-leaving: 1\r\n");
        let mut caller = harness.caller().await;
        read_objects(&mut caller, 0..20).await;
        assert_eq!(harness.runs_at("i-0"), 1);
        harness.cx.update_backend(&"i-0".into(), listed.clone());
        read_objects(&mut caller, 20..40).await;
        harness.cx.remove_backend(&"i-0".into());
        harness.cx.update_backend(&"i-0".into(), listed);
        read_objects(&mut caller, 40..60).await;
        assert_eq!(harness.runs_at("i-0"), 1);
    });
}
