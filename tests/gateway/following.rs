//! Entry VMs that follow other entry VMs for the store's records.

use std::cell;
use std::convert;
use std::rc;
use std::time;

use bulrushwind::coordination::unconfirmed;
use bulrushwind::gateway::{self, cluster_state, mirror as following};
use bulrushwind::logging;
use bulrushwind::protocol::mirror;
use bulrushwind::transport::{mirror as links, socket};
use tokio::task;

use super::harness::{LONG, run_test};
use super::support::proxy;

/// A store that answers until a test stops its answers.
#[derive(Clone, Default)]
struct SilenceableStore(rc::Rc<cell::Cell<bool>>);

impl following::Source for SilenceableStore {
    type Error = convert::Infallible;

    async fn read(&mut self, _stale: bool) -> Result<following::Changes, Self::Error> {
        let record = mirror::Record {
            key: "a".to_owned(),
            value: Some("1".into()),
        };
        let position = mirror::Position {
            epoch: 1,
            revision: 7,
        };
        Ok((vec![record], position))
    }

    async fn read_zone(&mut self) -> Result<Vec<mirror::Record>, Self::Error> {
        Ok(Vec::new())
    }

    async fn watch(
        &mut self,
        after: mirror::Position,
        wait: time::Duration,
    ) -> Result<following::Changes, following::ReadError<Self::Error>> {
        if self.0.get() {
            return std::future::pending().await;
        }
        tokio::time::sleep(wait).await;
        Ok((Vec::new(), after))
    }

    fn apply(&self, _record: &mirror::Record) -> cluster_state::Effect {
        cluster_state::Effect::Changed
    }

    fn hold(&self, _key: &str) -> unconfirmed::Hold {
        unconfirmed::Hold::default()
    }
}

async fn follow(addr: std::net::SocketAddr) -> mirror::Message {
    follow_from(addr, mirror::Position::default()).await
}

/// The answer to a follower that holds the records of a position.
async fn follow_from(addr: std::net::SocketAddr, own: mirror::Position) -> mirror::Message {
    let mut link = links::Link::open(addr, LONG).await.unwrap();
    let request = mirror::encode(&mirror::FollowRequest {
        fresh: true,
        since: own.revision,
        epoch: own.epoch,
        ..mirror::FollowRequest::default()
    })
    .unwrap();
    link.send(request.into()).await.unwrap();
    link.receive(LONG).await.unwrap()
}

async fn wait_until(addr: std::net::SocketAddr, what: &str, is: impl Fn(&mirror::Message) -> bool) {
    let started = time::Instant::now();
    while !is(&follow(addr).await) {
        assert!(started.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// A reader's call to the store hangs. VMs that begin to follow it would take outdated routes for
/// current ones.
#[test]
fn a_vm_without_a_recent_store_answer_reports_not_reading() {
    run_test(|| async {
        let cx = gateway::Gateway::new(gateway::Config::default(), logging::silent());
        let mirror = following::Mirror::new(cx);
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.local_addr().unwrap();
        let store = SilenceableStore::default();
        task::spawn_local(mirror.clone().serve(listener));
        task::spawn_local(mirror.run(store.clone(), Vec::new()));
        let whole =
            |m: &mirror::Message| matches!(m, mirror::Message::Snapshot { revision: 7, .. });
        wait_until(addr, "it tells what it reads", whole).await;
        store.0.set(true);
        let not = |m: &mirror::Message| *m == mirror::Message::NotReading;
        wait_until(addr, "it says that it does not read", not).await;
    });
}

/// Guards against a follower that goes back to records of an epoch that it has left.
#[test]
fn a_vm_that_has_not_seen_the_followers_epoch_reports_not_reading() {
    run_test(|| async {
        let cx = gateway::Gateway::new(gateway::Config::default(), logging::silent());
        let mirror = following::Mirror::new(cx);
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.local_addr().unwrap();
        task::spawn_local(mirror.clone().serve(listener));
        task::spawn_local(mirror.run(SilenceableStore::default(), Vec::new()));
        let whole = |m: &mirror::Message| matches!(m, mirror::Message::Snapshot { .. });
        wait_until(addr, "it tells what it reads", whole).await;
        let at = |epoch, revision| mirror::Position { epoch, revision };
        let delta = follow_from(addr, at(1, 7)).await;
        assert!(matches!(delta, mirror::Message::Delta { .. }), "{delta:?}");
        assert!(whole(&follow_from(addr, at(0, 7)).await));
        assert_eq!(
            follow_from(addr, at(2, 3)).await,
            mirror::Message::NotReading
        );
    });
}

const SILENCE: time::Duration = time::Duration::from_millis(500);

/// Serves frames through a proxy that passes 8 KB at a time with this pause.
fn slow_link(pause: time::Duration, frames: Vec<Vec<u8>>) -> std::net::SocketAddr {
    let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let proxy = proxy::Proxy::start(listener.local_addr().unwrap());
    proxy.set(proxy::Fault::Delay(pause));
    task::spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut link, _) = links::Link::accept(stream).await.unwrap();
        for frame in frames {
            link.send(frame.into()).await.unwrap();
        }
        link.wait_closed().await;
    });
    proxy.addr
}

fn random_bytes(len: usize) -> bytes::Bytes {
    use rand::{Rng, SeedableRng};
    let mut bytes = vec![0; len];
    rand_chacha::ChaCha8Rng::seed_from_u64(5).fill_bytes(&mut bytes);
    bytes.into()
}

fn whole(len: usize) -> mirror::Message {
    let record = mirror::Record {
        key: "a".to_owned(),
        value: Some(random_bytes(len)),
    };
    mirror::Message::Snapshot {
        records: vec![record],
        revision: 7,
        epoch: 1,
        unconfirmed: Vec::new(),
    }
}

/// A list of 1,900 routes takes longer over a 10 Mbit/s link than the silence timeout. If all
/// followers dropped the reader, they would read the store at once and get later changes late.
#[test]
fn a_slow_message_is_no_timeout() {
    run_test(|| async {
        let sent = whole(120 << 10);
        let frame = mirror::encode(&sent).unwrap();
        let addr = slow_link(time::Duration::from_millis(60), vec![frame]);
        let mut link = links::Link::open(addr, LONG).await.unwrap();
        let received: mirror::Message = link.receive(SILENCE).await.unwrap();
        assert_eq!(received, sent);
    });
}

/// A link delivers a few bytes now and then but never a whole message. A follower that keeps
/// waiting would use outdated records.
#[test]
fn a_message_that_stays_incomplete_ends_the_link() {
    run_test(|| async {
        let frame = mirror::encode(&whole(4 << 20)).unwrap();
        let addr = slow_link(time::Duration::from_millis(100), vec![frame]);
        let mut link = links::Link::open(addr, LONG).await.unwrap();
        let received = link.receive::<mirror::Message>(SILENCE).await;
        assert!(matches!(received, Err(links::Error::Timeout)));
    });
}

#[test]
fn long_messages_are_compressed_and_decoded_unchanged() {
    let text = "{\"host\":\"a.example\",\"prefix\":\"/a/b/\",\"kind\":\"safe\"},".repeat(2_000);
    let message = mirror::Message::Delta {
        records: vec![mirror::Record {
            key: "routes".to_owned(),
            value: Some(text.clone().into()),
        }],
        revision: 9,
        epoch: 1,
        unconfirmed: Vec::new(),
    };
    let packed = mirror::encode(&message).unwrap();
    assert!(packed.len() < text.len() / 10, "{}", packed.len());
    let back: mirror::Message = mirror::decode(&packed).unwrap();
    assert_eq!(back, message);
}

/// A peer of another version or a faulty link sends invalid bytes. A panic in the decoder would end
/// the process and all its requests.
#[test]
fn invalid_bytes_do_not_panic_the_decoder() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(12);
    let messages = [whole(100), whole(8 << 10)].map(|m| mirror::encode(&m).unwrap());
    assert!(mirror::decode::<mirror::Message>(b"").is_err());
    for n in 0..2_000 {
        let mut bytes = messages[n % 2].clone();
        for _ in 0..rng.random_range(1..8) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        let _ = mirror::decode::<mirror::Message>(&bytes);
    }
}
