//! Explains one request from the logs of entry VMs.
//!
//! Logs are the only record of a request that failed. The output contains the request's own log
//! lines and, for each entry VM that handled it, the latest logged state of its backend servers,
//! the routes and the store.

use std::collections;
use std::fs;
use std::io;
use std::io::BufRead;
use std::path;

use serde_json::Value;

use super::{Context, args};
use crate::{error, exit_codes};

/// A parsed log line.
#[derive(Clone, Debug)]
struct Line {
    at: String,
    on: String,
    what: String,
    fields: serde_json::Map<String, Value>,
}

/// Messages of log lines that record an entry VM's state. If a field is given, the line matters
/// only if that field names one of the request's backend servers.
const BELIEFS: [(&str, Option<&str>); 12] = [
    ("start", None),
    ("routes", None),
    ("routes not taken", None),
    ("store does not serve", None),
    ("store is back", None),
    ("following", None),
    ("not following", None),
    ("evacuation", None),
    ("planned stop", None),
    ("backend server leaves", Some("backend")),
    ("backend server gone", Some("backend")),
    ("backend server ejected", Some("backend")),
];

impl Line {
    fn parse(text: &str) -> Option<Self> {
        // Log collectors may put a prefix before each line.
        let json = &text[text.find('{')?..];
        let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
            return None;
        };
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => text,
            _ => String::new(),
        };
        let line = Self {
            at: take("ts"),
            on: take("on"),
            what: take("msg"),
            fields: serde_json::Map::new(),
        };
        fields.remove("process");
        fields.remove("level");
        Some(Self { fields, ..line })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn is_of(&self, request: &str) -> bool {
        self.text("request") == request
    }

    /// Whether the line records state of one of these backend servers, or state that concerns all.
    fn is_belief(&self, backends: &collections::BTreeSet<String>) -> bool {
        BELIEFS.iter().any(|(what, about)| {
            *what == self.what && about.is_none_or(|field| backends.contains(self.text(field)))
        })
    }
}

/// Log lines that explain a request, in order of time.
fn story(lines: &[Line], request: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let backends: collections::BTreeSet<String> = own
        .iter()
        .flat_map(|line| [line.text("backend"), line.text("backends")])
        .flat_map(|text| text.split(','))
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect();
    let mut found: Vec<Line> = Vec::new();
    for vm in own
        .iter()
        .map(|line| &line.on)
        .collect::<collections::BTreeSet<_>>()
    {
        let last = own
            .iter()
            .filter(|line| line.on == *vm)
            .map(|line| &line.at)
            .max();
        let mut beliefs: collections::BTreeMap<(&str, &str), &Line> = collections::BTreeMap::new();
        for line in lines
            .iter()
            .filter(|line| line.on == *vm && Some(&line.at) <= last)
        {
            if line.is_belief(&backends) {
                let about = match line.text("backend") {
                    "" => line.text("az"),
                    backend => backend,
                };
                beliefs.insert((line.what.as_str(), about), line);
            }
        }
        found.extend(beliefs.into_values().cloned());
    }
    found.extend(own.into_iter().cloned());
    found.sort_by(|a, b| a.at.cmp(&b.at));
    found
}

fn read(from: impl BufRead, into: &mut Vec<Line>) -> io::Result<()> {
    for text in from.lines() {
        into.extend(Line::parse(&text?));
    }
    Ok(())
}

fn read_file(path: &path::Path, into: &mut Vec<Line>) -> Result<(), error::Error> {
    let failed = |source| error::Error::Read {
        path: path.to_owned(),
        source,
    };
    let f = fs::File::open(path).map_err(failed)?;
    read(io::BufReader::new(f), into).map_err(failed)
}

/// Runs `explain`. Fails if no log line mentions the request.
pub fn run(cx: &Context, args: &args::Explain) -> Result<exit_codes::ExitCode, error::Error> {
    let mut lines = Vec::new();
    for path in &args.logs {
        read_file(path, &mut lines)?;
    }
    if args.logs.is_empty() {
        read(io::stdin().lock(), &mut lines).map_err(|source| error::Error::Read {
            path: "standard input".into(),
            source,
        })?;
    }
    let story = story(&lines, &args.request);
    if story.is_empty() {
        return Err(error::Error::Config(format!(
            "no line tells of request `{}`; give the logs of all entry VMs of that time, and note that of the requests that were answered in time only one in 64 leaves a line",
            args.request
        )));
    }
    print(cx, &story);
    Ok(exit_codes::ExitCode::Success)
}

fn print(cx: &Context, story: &[Line]) {
    let json: Vec<Value> = story
        .iter()
        .map(|line| {
            let mut fields = line.fields.clone();
            for (name, value) in [("at", &line.at), ("on", &line.on), ("what", &line.what)] {
                fields.insert(name.to_owned(), Value::String(value.clone()));
            }
            Value::Object(fields)
        })
        .collect();
    cx.out.json(&json);
    for line in story {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        cx.out.line(&format!(
            "{} {} {}: {}",
            line.at,
            line.on,
            line.what,
            fields.join(" ")
        ));
    }
}
