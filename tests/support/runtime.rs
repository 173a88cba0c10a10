//! Runs asynchronous tests.

use std::time;

use tokio::task;

/// A timeout far above any expected duration: reaching it means a hang.
pub(crate) const LONG: time::Duration = time::Duration::from_secs(20);

/// Runs an asynchronous test to its end on one thread.
pub(crate) fn run_test(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let ended = tokio::time::timeout(LONG, test()).await;
        ended.expect("the test ends");
    });
}
