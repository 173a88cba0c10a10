//! Gateway processes whose store returns from an older copy of its contents.

use std::time;

use serde_json::json;

use super::processes::{Deployment, TEST_TIMEOUT, config, run_scenario, wait_for_status};
use super::support::store;

/// Writes records that no VM interprets, which raises the store's revision.
fn raise_revision(store: &store::Store, writes: usize) {
    (0..writes).for_each(|n| store.write("op/note", &json!(n)));
}

/// Waits until a process has logged a line that contains all these texts.
async fn wait_for_line(deployment: &Deployment, node: &str, texts: &[&str]) {
    let file = deployment.dir.path().join(format!("{node}.log"));
    let is_logged = || {
        let log = std::fs::read_to_string(&file).unwrap_or_default();
        log.lines()
            .any(|line| texts.iter().all(|text| line.contains(text)))
    };
    let begun = time::Instant::now();
    while !is_logged() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "never logged: {texts:?}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against a store that returns from an older copy without a trace in the log.
#[test]
fn an_epoch_of_the_store_is_logged_and_so_is_one_that_cannot_be_read() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.ready, "/ready", 200).await;
        wait_for_line(&deployment, "vm-1", &["\"store's epoch\"", "\"epoch\":0"]).await;
        deployment.store.restore(deployment.store.copy());
        wait_for_line(&deployment, "vm-1", &["\"store's epoch\"", "\"epoch\":1"]).await;
        for text in ["", "-1", "2.5", "two", "99999999999999999999"] {
            deployment.store.state_epoch(Some(text));
            let value = format!("\"value\":\"{text}\"");
            wait_for_line(&deployment, "vm-1", &["epoch cannot be read", &value]).await;
        }
        wait_for_status(ports.front, "/read/a", 200).await;
    });
}

/// Guards against changes that are skipped because they have revisions that an earlier history of the
/// store had given out.
#[test]
fn a_configuration_written_after_the_store_returned_from_a_copy_is_in_force() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.ready, "/ready", 200).await;
        let copy = deployment.store.copy();
        raise_revision(&deployment.store, 20);
        deployment.store.write("op/config", &config(2, &["/two/"]));
        wait_for_status(ports.front, "/two/a", 200).await;
        deployment.store.set_mode(store::Mode::Silent);
        wait_for_line(&deployment, "vm-1", &["store does not serve"]).await;
        deployment.store.restore(copy);
        deployment
            .store
            .write("op/config", &config(3, &["/three/"]));
        raise_revision(&deployment.store, 40);
        deployment.store.set_mode(store::Mode::Up);
        wait_for_status(ports.front, "/three/a", 200).await;
    });
}
