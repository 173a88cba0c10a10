//! Entry VMs that follow one another.

use std::cell;
use std::convert;
use std::rc;
use std::time;

use bulrushwind::gateway::{self, mirror as following};
use bulrushwind::logging;
use bulrushwind::protocol::mirror;
use bulrushwind::transport::{mirror as links, socket};
use tokio::task;

use super::stage::{LONG, play};

/// A store that answers until it is told to fall silent.
#[derive(Clone, Default)]
struct Silenced(rc::Rc<cell::Cell<bool>>);

impl following::Source for Silenced {
    type Error = convert::Infallible;

    async fn read(&mut self, _stale: bool) -> Result<(Vec<mirror::Record>, u64), Self::Error> {
        let record = mirror::Record {
            key: "a".to_owned(),
            value: Some("1".into()),
        };
        Ok((vec![record], 7))
    }

    async fn watch(
        &mut self,
        after: u64,
        wait: time::Duration,
    ) -> Result<(Vec<mirror::Record>, u64), following::ReadError<Self::Error>> {
        if self.0.get() {
            return std::future::pending().await;
        }
        tokio::time::sleep(wait).await;
        Ok((Vec::new(), after))
    }

    fn apply(&self, _record: &mirror::Record) -> bool {
        true
    }
}

async fn ask(addr: std::net::SocketAddr) -> mirror::Message {
    let mut link = links::Link::open(addr).await.unwrap();
    let ask = mirror::encode(&mirror::Ask { fresh: true }).unwrap();
    link.send(&ask).await.unwrap();
    link.receive(LONG).await.unwrap()
}

async fn until(addr: std::net::SocketAddr, what: &str, is: impl Fn(&mirror::Message) -> bool) {
    let begun = time::Instant::now();
    while !is(&ask(addr).await) {
        assert!(begun.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// A reader's call to the store hangs, and it does not know yet. Others that begin to follow it then
/// take old routes for new ones, and callers meet services that have moved.
#[test]
fn one_that_has_not_heard_the_store_lately_says_that_it_does_not_read() {
    play(|| async {
        let cx = gateway::Gateway::new(gateway::Config::default(), logging::silent());
        let mirror = following::Mirror::new(cx);
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.local_addr().unwrap();
        let store = Silenced::default();
        task::spawn_local(mirror.clone().serve(listener));
        task::spawn_local(mirror.run(store.clone(), Vec::new()));
        let whole = |m: &mirror::Message| matches!(m, mirror::Message::Whole { revision: 7, .. });
        until(addr, "it tells what it reads", whole).await;
        store.0.set(true);
        let not = |m: &mirror::Message| *m == mirror::Message::NotReading;
        until(addr, "it says that it does not read", not).await;
    });
}
