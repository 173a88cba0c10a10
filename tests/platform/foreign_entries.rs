//! Records of other programs among those of backend servers.

use std::cell;
use std::rc;
use std::time;

use bulrushwind::platform::store as client;
use serde_json::{Value, json};

use super::processes::{Deployment, TEST_TIMEOUT, config, get, run_scenario, wait_for_status};
use super::restored_store::{count_lines, until, wait_for_line};
use super::support::{backend, store};

/// Ends of names that a target has to encode, and some that it need not.
const ENDS: [&str; 17] = [
    "&x",
    "+x",
    "#x",
    "%x",
    "%41x",
    "%2",
    " x",
    "?=x",
    "/x",
    "!x",
    "\"x",
    "\\x",
    "\n\tx",
    "\u{7f}x",
    "äx",
    "\u{1f600}",
    "&after=i-9",
];

fn entry(addr: std::net::SocketAddr) -> Value {
    json!({
        "service": "svc", "addr": addr, "zone": "az-a", "version": "v1", "slots": 3,
        "state": "ready", "cold_left_s": 0.0, "seq": 1,
    })
}

/// The keys that a list of the backend servers' records returns.
async fn listed(store: &store::Store) -> Result<Vec<String>, client::Error> {
    let mut client = client::Client::new(store.addr);
    let list = client.range("servers/", false);
    let (records, _) = tokio::time::timeout(TEST_TIMEOUT, list)
        .await
        .expect("the list ends")?;
    Ok(records.into_iter().map(|record| record.key).collect())
}

/// Guards against a list that fails, or lacks keys, after a key that the target did not encode.
#[test]
fn a_list_holds_each_key_once_whatever_one_of_them_contains() {
    run_scenario(|| async {
        let long = "z".repeat(200 - "servers/i-0".len());
        for end in ENDS.into_iter().chain([long.as_str()]) {
            // Before, within and after each page.
            for at in 0..9 {
                let store = store::Store::start();
                (0..9).for_each(|n| store.write(&format!("servers/i-{n}"), &json!(n)));
                store.write(&format!("servers/i-{at}{end}"), &json!("foreign"));
                let mut keys = listed(&store)
                    .await
                    .unwrap_or_else(|err| panic!("{end:?}: {err}"));
                keys.sort();
                assert_eq!(keys, store.keys("servers/"), "{end:?} behind {at}");
            }
        }
    });
}

/// Guards against an endless list, and memory that grows with it.
#[test]
fn a_list_whose_pages_do_not_advance_ends_with_an_error() {
    run_scenario(|| async {
        let store = store::Store::start();
        (0..9).for_each(|n| store.write(&format!("servers/i-{n}"), &json!(n)));
        store.set_mode(store::Mode::RepeatsPages);
        let err = listed(&store).await.unwrap_err();
        assert!(err.to_string().contains("servers/i-3"), "{err}");
        store.set_mode(store::Mode::Up);
        assert_eq!(listed(&store).await.unwrap().len(), 9);
    });
}

/// Guards against VMs that start while a record of another program ends a page, and never serve.
#[test]
fn processes_start_beside_a_record_of_another_program() {
    for end in ["&x", "+x", "#x", "%x", " x", "äx"] {
        run_scenario(|| async {
            let deployment = Deployment::new();
            let store = &deployment.store;
            // The list has two pages; the record is the last one of the first.
            let (foreign, more) = (format!("servers/i-2{end}"), "servers/other");
            store.write(&foreign, &json!({"note": 1}));
            (0..3).for_each(|n| store.write(&format!("{more}-{n}"), &json!([n])));
            let vms = ["vm-1", "vm-2"].map(|node| deployment.start(node, store.addr, &[]));
            for (ports, _) in &vms {
                wait_for_status(ports.front, "/read/a", 200).await;
            }
            for n in 0..20 {
                let ports = vms[n % 2].0;
                let (status, _) = get(ports.front, "/read/a", &format!("r{n}")).await.unwrap();
                assert_eq!(status, 200);
            }
        });
    }
}

/// Values that name no backend server, as they are on the wire.
fn unusable_values() -> Vec<Value> {
    let text = |value: &str| Value::from(data_encoding::BASE64.encode(value.as_bytes()));
    vec![
        "no base64!".into(),
        "".into(),
        text("no JSON"),
        text("[1,2]"),
        text("7"),
        text("null"),
        text("{}"),
        text(r#"{"service":"svc","addr":"nowhere","slots":"3"}"#),
        7.into(),
        json!({"value": 1}),
        json!([null]),
        true.into(),
    ]
}

/// Guards against one value that makes a whole list or a whole answer to a watch unusable.
#[test]
fn values_of_other_programs_leave_the_other_records_in_force() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let store = &deployment.store;
        let write_all = |name: &str| {
            for (n, value) in unusable_values().into_iter().enumerate() {
                store.write_text(&format!("servers/{name}-{n}"), value);
            }
        };
        write_all("listed");
        let (ports, _gateway) = deployment.start("vm-1", store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        write_all("watched");
        store.write("op/config", &config(2, &["/new/"]));
        wait_for_status(ports.front, "/new/a", 200).await;
        // The three backend servers are all in use.
        let runs = || {
            deployment
                .backends
                .iter()
                .map(|b| b.runs())
                .collect::<Vec<_>>()
        };
        let before = runs();
        for n in 0..60 {
            let id = format!("r{n}");
            let target = format!("/new/{n}");
            assert_eq!(get(ports.front, &target, &id).await.unwrap().0, 200);
        }
        let used = runs()
            .iter()
            .zip(&before)
            .filter(|(now, then)| now > then)
            .count();
        assert!(used >= 2, "{:?} after {before:?}", runs());
    });
}

/// Guards against requests to a server that another program's record names, and against a line in the log
/// for each time that the record is written.
#[test]
fn a_record_with_a_foreign_name_is_not_used_and_logged_once() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let store = &deployment.store;
        let log: rc::Rc<cell::RefCell<backend::Log>> = rc::Rc::default();
        let work = time::Duration::from_millis(1);
        let named = backend::Backend::start("i-9&x", "svc", "az-a", work, log.clone());
        let keys: Vec<String> = ENDS.iter().map(|end| format!("servers/i-9{end}")).collect();
        let write_all = || {
            keys.iter()
                .for_each(|key| store.write(key, &entry(named.addr)))
        };
        write_all();
        let (ports, _gateway) = deployment.start("vm-1", store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        for round in 0..3 {
            write_all();
            store.write(
                "op/config",
                &config(2 + round, &["/read/", &format!("/{round}/")]),
            );
            wait_for_status(ports.front, &format!("/{round}/a"), 200).await;
        }
        for n in 0..30 {
            let target = format!("/read/{n}");
            assert_eq!(get(ports.front, &target, "r").await.unwrap().0, 200);
        }
        assert!(log.borrow().arrivals.is_empty());
        let rejected = ["record from the store rejected"];
        wait_for_line(&deployment, "vm-1", &rejected).await;
        assert_eq!(count_lines(&deployment, "vm-1", &rejected), keys.len());
        let key = "servers/i-9!x";
        store.remove(key);
        store.write(key, &entry(named.addr));
        until("logged again", || {
            count_lines(&deployment, "vm-1", &rejected) == keys.len() + 1
        })
        .await;
    });
}
