//! Entries of backend servers that cannot be read, from the store to where requests go.

use std::time;

use bulrushwind::gateway::{self, mirror as following, placement};
use bulrushwind::id;
use bulrushwind::logging;
use bulrushwind::platform::feed;
use bulrushwind::protocol::mirror;
use serde_json::{Value, json};
use tokio::task;

use super::processes::{LONG, config, play};
use super::support::store;

fn entry() -> Value {
    json!({"service": "svc", "addr": "127.0.0.1:1", "zone": "az-a", "version": "v1", "slots": 3,
        "state": "ready", "cold_left_s": 0, "seq": 1})
}

/// Whether requests may go to a backend server.
fn gets_work(cx: &gateway::Gateway, name: &str) -> bool {
    let service = id::ServiceId::from("svc");
    let others: Vec<id::VmId> = ["i-0", "i-1", "i-2"]
        .into_iter()
        .filter(|other| *other != name)
        .map(id::VmId::from)
        .collect();
    let need = placement::Need {
        service: &service,
        key: None,
        remote: false,
        homes: bulrushwind::protocol::routes::Homes::default(),
        idempotent: true,
        low_priority: false,
        tried: &others,
    };
    cx.reserve(&need).is_ok()
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = time::Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// One program overwrites the entries of two backend servers, one with bytes that are no base64 and
/// one with a list. Requests that still go there reach whatever has the address by then; and if the
/// bad value made the whole answer of the store unreadable, a change of the routes beside it would
/// not come into force.
#[test]
fn an_unreadable_entry_names_no_backend_server_and_hides_no_other_news() {
    play(async || {
        let store = store::Store::start();
        store.write("op/config", &config(1, &["/read/"]));
        for name in ["i-0", "i-1", "i-2"] {
            store.write(&format!("servers/{name}"), &entry());
        }
        let cx = gateway::Gateway::new(gateway::Config::default(), logging::silent());
        let source = feed::Feed::new(cx.clone(), store.addr);
        task::spawn_local(following::Mirror::new(cx.clone()).run(source, Vec::new()));
        until("all are known", || gets_work(&cx, "i-2")).await;
        store.write_text("servers/i-0", "%%%".to_owned());
        store.write("servers/i-1", &json!(["other"]));
        store.write("op/config", &config(2, &["/read/", "/more/"]));
        until("the routes change", || {
            cx.table().is_some_and(|table| table.version == 2)
        })
        .await;
        assert!(!gets_work(&cx, "i-0"));
        assert!(!gets_work(&cx, "i-1"));
        assert!(gets_work(&cx, "i-2"));
        store.write("servers/i-0", &entry());
        until("it is listed again", || gets_work(&cx, "i-0")).await;
    });
}

/// One entry VM reads the store for others. If it kept to itself that an entry can no longer be
/// read, theirs would go on sending there.
#[test]
fn an_unreadable_entry_is_news_for_those_who_follow() {
    let cx = gateway::Gateway::new(gateway::Config::default(), logging::silent());
    let source = feed::Feed::new(cx.clone(), "127.0.0.1:1".parse().unwrap());
    let record = |value: &str| mirror::Record {
        key: "servers/i-0".to_owned(),
        value: Some(value.to_owned().into()),
    };
    let apply = |value: &str| following::Source::apply(&source, &record(value));
    assert!(apply(&entry().to_string()));
    assert!(!apply(&entry().to_string()), "a heartbeat is none");
    assert!(apply("{}"));
    assert!(!gets_work(&cx, "i-0"));
}
