//! End-to-end tests of the operators' command line against the stand-in store.

use std::fs;
use std::path;
use std::process;
use std::thread;

use bulrushwind::coordination::store;
use bulrushwind::settings::envelope;
use bulrushwind::standin;
use bulrushwind::transport::pool;
use standin::store::{Faults, Memory};
use store::Store;

const TEAMS: [&str; 3] = ["bays", "places", "records"];

/// A deployment: a store, a directory, a root key and one operator's key on every team's ring.
struct Deployment {
    memory: Memory,
    _server: pool::Pool,
    dir: tempfile::TempDir,
}

struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl Deployment {
    fn new() -> Self {
        let memory = Memory::default();
        let server = standin::store::serve(&memory, "127.0.0.1:0".parse().unwrap(), 8).unwrap();
        let dir = tempfile::tempdir().unwrap();
        let store = server.addr();
        let new = Self {
            memory,
            _server: server,
            dir,
        };
        copy(path::Path::new("examples/cooperative"), new.dir.path());
        let root = new.keygen("root");
        let text = format!("store = \"{store}\"\nroot_keys = [\"{root}\"]\n");
        fs::write(new.path("deployment.toml"), text).unwrap();
        new.add_key("otgon", &TEAMS);
        new
    }

    fn path(&self, name: &str) -> path::PathBuf {
        self.dir.path().join(name)
    }

    fn file(&self, name: &str) -> path::PathBuf {
        self.path("teams").join(name)
    }

    /// Runs the program.
    fn run(&self, args: &[&str]) -> CommandOutput {
        let output = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind"))
            .args(args)
            .env_clear()
            .env("BULRUSHWIND_DIR", self.dir.path())
            .env("BULRUSHWIND_ROOT_SECRET", self.path("root.key"))
            .stdin(process::Stdio::null())
            .output()
            .unwrap();
        CommandOutput {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    fn run_ok(&self, args: &[&str]) -> CommandOutput {
        let output = self.run(args);
        assert_eq!(output.code, 0, "{args:?}: {}{}", output.out, output.err);
        output
    }

    /// Generates a key and returns its public key.
    fn keygen(&self, holder: &str) -> String {
        let file = self.path(&format!("{holder}.key"));
        let output = self.run_ok(&["keygen", file.to_str().unwrap(), "--format", "json"]);
        let json: serde_json::Value = serde_json::from_str(&output.out).unwrap();
        json["public"].as_str().unwrap().to_owned()
    }

    /// Generates a key for `holder` and adds it to the rings of `teams`.
    fn add_key(&self, holder: &str, teams: &[&str]) {
        let public = self.keygen(holder);
        for team in teams {
            self.run_ok(&["keys", "add", team, "--holder", holder, "--public", &public]);
        }
    }

    fn apply(&self, holder: &str, more: &[&str]) -> CommandOutput {
        let key = self.path(&format!("{holder}.key"));
        let mut args = vec!["apply", "--yes", "--key", key.to_str().unwrap()];
        args.extend(more);
        self.run(&args)
    }

    fn envelope(&self, team: &str) -> Option<envelope::Envelope> {
        let entry = self.memory.get(&format!("settings/{team}")).unwrap()?;
        Some(envelope::Envelope::decode(&entry.value).unwrap())
    }

    fn replace(&self, file: &str, from: &str, to: &str) {
        let path = self.file(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{file} has no {from}");
        fs::write(path, text.replace(from, to)).unwrap();
    }
}

fn copy(from: &path::Path, to: &path::Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let to = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy(&entry.path(), &to);
        } else {
            fs::copy(entry.path(), to).unwrap();
        }
    }
}

#[test]
fn an_apply_writes_each_team_once() {
    let deployment = Deployment::new();
    deployment.run_ok(&["check"]);
    let planned = deployment.run_ok(&["plan"]);
    assert!(planned.out.contains("+ service ledger"), "{}", planned.out);
    let output = deployment.apply("otgon", &[]);
    assert_eq!(output.code, 0, "{}", output.err);
    for team in TEAMS {
        assert!(deployment.envelope(team).is_some(), "{team}");
    }
    let before = deployment.memory.calls().writes;
    let again = deployment.apply("otgon", &[]);
    assert!(again.out.contains("Nothing to change"), "{}", again.out);
    assert_eq!(deployment.memory.calls().writes, before);
}

/// Two operators change the same team concurrently. Without the planned revision, the second write
/// would silently undo the first.
#[test]
fn a_conflict_names_who_and_what() {
    let deployment = Deployment::new();
    deployment.add_key("sarnai", &["bays"]);
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    let plan = deployment.path("kept.json");
    deployment.replace("bays/ledger.toml", "shift_cap = 0.1", "shift_cap = 0.15");
    deployment.run_ok(&["plan", "--out", plan.to_str().unwrap()]);
    deployment.replace("bays/ledger.toml", "shift_cap = 0.15", "shift_cap = 0.05");
    assert_eq!(deployment.apply("sarnai", &[]).code, 0);

    let output = deployment.apply("otgon", &["--plan", plan.to_str().unwrap()]);
    assert_eq!(output.code, 3, "{}", output.err);
    for part in [
        "sarnai",
        "shift_cap: 0.15 -> 0.05",
        "nothing of yours",
        "bulrushwind plan",
    ] {
        assert!(output.err.contains(part), "no {part}: {}", output.err);
    }
    assert!(deployment.envelope("bays").unwrap().text.contains("0.05"));
}

/// Two applies based on the same revision reach the store concurrently.
#[test]
fn of_two_racing_applies_one_wins() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    let plans = ["0.11", "0.12", "0.13"].map(|cap| {
        let text = format!("shift_cap = {cap}");
        deployment.replace(
            "bays/ledger.toml",
            "shift_cap = 0.1\n",
            &format!("{text}\n"),
        );
        let plan = deployment.path(&format!("{cap}.json"));
        deployment.run_ok(&["plan", "--out", plan.to_str().unwrap()]);
        deployment.replace("bays/ledger.toml", &text, "shift_cap = 0.1");
        plan
    });
    let deployment = &deployment;
    let codes: Vec<i32> = thread::scope(|scope| {
        let running = plans.each_ref().map(|plan| {
            scope.spawn(move || {
                deployment
                    .apply("otgon", &["--plan", plan.to_str().unwrap()])
                    .code
            })
        });
        running.map(|thread| thread.join().unwrap()).to_vec()
    });
    assert_eq!(
        codes.iter().filter(|code| **code == 0).count(),
        1,
        "{codes:?}"
    );
    assert_eq!(
        codes.iter().filter(|code| **code == 3).count(),
        2,
        "{codes:?}"
    );
}

/// A key that is not in the team's ring signs. If the settings were stored, every entry VM would
/// reject them without the operator's notice.
#[test]
fn an_unauthorised_key_writes_nothing() {
    let deployment = Deployment::new();
    deployment.add_key("stranger", &["records"]);
    let output = deployment.apply("stranger", &[]);
    assert_eq!(output.code, 6, "{}", output.err);
    assert!(output.err.contains("keys add"), "{}", output.err);
    assert!(TEAMS.iter().all(|team| deployment.envelope(team).is_none()));
}

#[test]
fn nothing_is_reported_as_written_while_the_store_is_down() {
    let deployment = Deployment::new();
    deployment.memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let output = deployment.apply("otgon", &[]);
    assert_eq!(output.code, 1, "{}", output.err);
    assert!(
        output.err.contains("try again when it is back"),
        "{}",
        output.err
    );
    deployment.memory.set_faults(Faults::default());
    assert!(TEAMS.iter().all(|team| deployment.envelope(team).is_none()));
}

/// The store accepts a write but the reply is lost. The operator must see that it was written,
/// exactly once.
#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    let deployment = Deployment::new();
    deployment.memory.set_faults(Faults {
        lose_write_replies: 3,
        ..Faults::default()
    });
    let before = deployment.memory.calls().writes;
    let output = deployment.apply("otgon", &[]);
    assert_eq!(output.code, 0, "{}", output.err);
    assert_eq!(deployment.memory.calls().writes, before + 3);
    let envelope = deployment.envelope("bays").unwrap();
    assert!(
        output.out.contains(envelope.change.as_str()),
        "{}",
        output.out
    );
}

/// Leftover editor files, unfinished merges and interrupted checkouts would otherwise be applied as
/// removals of services.
#[test]
fn an_incomplete_directory_is_refused() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);

    let left = deployment.file("bays/ledger.toml.tmp");
    fs::write(&left, "").unwrap();
    let output = deployment.run(&["check"]);
    assert_eq!(output.code, 2);
    assert!(output.err.contains("ledger.toml.tmp"), "{}", output.err);
    fs::remove_file(left).unwrap();

    let whole = fs::read_to_string(deployment.file("bays/ledger.toml")).unwrap();
    fs::write(
        deployment.file("bays/ledger.toml"),
        format!("{whole}<<<<<<< HEAD\n"),
    )
    .unwrap();
    let output = deployment.run(&["check"]);
    assert_eq!(output.code, 2);
    let line = format!("line {}", whole.lines().count() + 1);
    assert!(
        output.err.contains("ledger.toml") && output.err.contains(&line),
        "{}",
        output.err
    );

    fs::remove_file(deployment.file("bays/ledger.toml")).unwrap();
    let output = deployment.apply("otgon", &[]);
    assert_eq!(output.code, 4, "{}", output.err);
    assert!(
        output.err.contains("service ledger") && output.err.contains("--remove"),
        "{}",
        output.err
    );

    fs::remove_file(deployment.file("bays/availability.toml")).unwrap();
    let output = deployment.run(&["check"]);
    assert_eq!(output.code, 2);
    assert!(output.err.contains("no .toml file"), "{}", output.err);
    assert!(deployment.envelope("bays").unwrap().text.contains("ledger"));
}

#[test]
fn an_error_names_file_line_and_remedy() {
    let deployment = Deployment::new();
    deployment.replace("bays/ledger.toml", "shift_cap = 0.1", "shift_cap = 1.5");
    let output = deployment.run(&["check"]);
    assert_eq!(output.code, 2);
    assert!(output.err.contains("ledger.toml:6:"), "{}", output.err);
    assert!(output.err.contains("at most 1"), "{}", output.err);
    deployment.replace("bays/ledger.toml", "shift_cap", "shiftcap");
    let output = deployment.run(&["check"]);
    assert!(
        output.err.contains("did you mean `shift_cap`?"),
        "{}",
        output.err
    );
}

/// An availability zone is removed from a service without a drain, which would move its share to
/// cold caches at once.
#[test]
fn exceeding_a_cap_is_refused_with_the_amount() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    deployment.replace("bays/ledger.toml", ", \"dornod-b\"", "");
    for output in [deployment.run(&["plan"]), deployment.apply("otgon", &[])] {
        assert_eq!(output.code, 4, "{}", output.err);
        let text = output.out + &output.err;
        assert!(text.contains("40.0% more than the cap of 10.0%"), "{text}");
    }
    assert!(
        deployment
            .envelope("bays")
            .unwrap()
            .text
            .contains("dornod-b")
    );
}

#[test]
fn a_drain_is_scheduled_shown_applied_and_cancelled() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    let key = deployment.path("otgon.key");
    let signing = ["--yes", "--key", key.to_str().unwrap()];

    let short = deployment.run(&["drain", "region/khovd", "--start", "+1h", "--ramp", "10s"]);
    assert_eq!(short.code, 4, "{}", short.err);
    assert!(
        short.err.contains("service ledger: a ramp of 10 s") && short.err.contains("ramp_s = "),
        "{}",
        short.err
    );
    assert!(!deployment.file("places/drains.toml").exists());

    let mut args = vec![
        "drain", "az/ub-a", "--start", "+1h", "--for", "2h", "--apply",
    ];
    args.extend(signing);
    let output = deployment.run_ok(&args);
    assert!(
        output.out.contains("50.0%") && output.out.contains("empty after"),
        "{}",
        output.out
    );
    assert!(deployment.envelope("places").unwrap().text.contains("ub-a"));

    let mut args = vec!["undrain", "az/ub-a", "--apply"];
    args.extend(signing);
    deployment.run_ok(&args);
    assert!(
        !deployment
            .envelope("places")
            .unwrap()
            .text
            .contains("[[drain]]")
    );
    assert_eq!(deployment.run(&["undrain", "az/ub-a"]).code, 2);
}

/// A stolen key is retired: neither new changes nor stored settings signed by it are valid, and the
/// team's apply signs the settings again.
#[test]
fn a_stolen_key_is_replaced() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    deployment.add_key("sarnai", &["bays"]);
    let listed = deployment.run_ok(&["keys", "list", "bays", "--format", "json"]);
    let rings: serde_json::Value = serde_json::from_str(&listed.out).unwrap();
    assert_eq!(rings[0]["keys"][0]["holder"], "otgon");
    let old = deployment.envelope("bays").unwrap();
    deployment.run_ok(&["keys", "retire", "bays", old.key.as_str(), "--stolen"]);

    assert_eq!(deployment.apply("otgon", &["--team", "bays"]).code, 6);
    let output = deployment.apply("sarnai", &["--team", "bays"]);
    assert_eq!(output.code, 0, "{}", output.err);
    let new = deployment.envelope("bays").unwrap();
    assert!(new.version > old.version && new.key != old.key);
    assert_eq!(new.text, old.text);
}

/// After the store is restored from a backup, entry VMs keep newer versions than it holds, so the
/// next apply must use a version higher than theirs.
#[test]
fn after_a_restore_an_apply_uses_a_higher_version() {
    let deployment = Deployment::new();
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    let backup = deployment.memory.backup();
    deployment.replace("bays/ledger.toml", "shift_cap = 0.1", "shift_cap = 0.15");
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    let held = deployment.envelope("bays").unwrap().version;
    deployment.memory.restore(&backup);
    assert_eq!(deployment.apply("otgon", &[]).code, 0);
    assert!(deployment.envelope("bays").unwrap().version > held);
}

#[test]
fn no_output_holds_a_secret_key() {
    let deployment = Deployment::new();
    let secret = fs::read_to_string(deployment.path("otgon.key")).unwrap();
    let hex = secret.trim().rsplit(' ').next().unwrap().to_owned();
    let shown = [
        deployment.apply("otgon", &[]),
        deployment.run(&["keys", "list"]),
        deployment.run(&["plan", "--format", "json"]),
    ];
    for output in shown {
        assert!(!output.out.contains(&hex) && !output.err.contains(&hex));
    }
    let again = deployment.run(&["keygen", deployment.path("otgon.key").to_str().unwrap()]);
    assert_eq!(again.code, 1, "an existing key was written over");
}

#[test]
fn completions_are_printed_for_each_shell() {
    let deployment = Deployment::new();
    for shell in ["bash", "zsh", "fish"] {
        assert!(
            deployment
                .run_ok(&["completions", shell])
                .out
                .contains("undrain")
        );
    }
}
