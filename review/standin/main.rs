//! Plays one case against the project's program: `standin CASE FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. Writes FOLDER/record.txt.

mod backend;
mod behind;
mod client;
mod dark;
mod deployment;
mod http;
mod json;
mod machine;
mod pause;
mod poison;
mod record;
mod stop;
mod store;

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    if args.get(1).is_some_and(|case| case == "backend") {
        return backend::serve(&args[2..]);
    }
    let [_, case, folder] = args.as_slice() else {
        eprintln!("standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let dir = env::temp_dir().join(format!("bulrushwind-review-{}", std::process::id()));
    let held = fs::create_dir_all(&dir).and_then(|()| play(case, &dir, &record, trouble));
    match &held {
        Ok(true) => record.add("the rule held"),
        Ok(false) => record.add("the rule was broken"),
        Err(err) => record.add(&format!("the case could not run: {err}")),
    }
    let written = record.write(&Path::new(folder).join("record.txt"));
    if env::var("KEEP_LOGS").is_err() {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&dir);
    }
    match (held, written) {
        (Ok(true), Ok(())) => ExitCode::SUCCESS,
        (Ok(false), Ok(())) => ExitCode::from(1),
        (Err(err), _) | (_, Err(err)) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, dir: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    match case {
        "behind" => behind::run(dir, record, trouble),
        "dark" => dark::run(dir, record, trouble),
        "pause" => pause::run(dir, record, trouble),
        "poison" => poison::run(dir, record, trouble),
        "stop" => stop::run(dir, record, trouble),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}
