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
    time: String,
    vm: String,
    message: String,
    fields: serde_json::Map<String, Value>,
}

/// Messages of log lines that record an entry VM's state. If a field is given, the line matters
/// only if that field names the request's route or one of its backend servers.
const STATE_MESSAGES: [(&str, Option<&str>); 23] = [
    ("start", None),
    ("routes", None),
    ("routes not taken", None),
    ("store does not serve", None),
    ("store is back", None),
    ("following", None),
    ("not following", None),
    ("evacuation", None),
    ("planned stop", None),
    ("planned stop ends requests before ready answers", None),
    ("planned stop ends all requests", None),
    (
        "cut off from backend servers; connecting through other entry VMs",
        None,
    ),
    ("backend servers reachable again", None),
    ("backend server leaves", Some("backend")),
    ("backend server says that it leaves", Some("backend")),
    ("backend server asks for a pause", Some("backend")),
    ("backend server gone", Some("backend")),
    ("backend server ejected", Some("backend")),
    ("ejected backend server on trial", Some("backend")),
    ("backend server's trial passed", Some("backend")),
    ("weights of a route", Some("route")),
    ("backend server states a rate limit", Some("backend")),
    (
        "backend server no longer states a rate limit",
        Some("backend"),
    ),
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
            time: take("ts"),
            vm: take("on"),
            message: take("msg"),
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

    fn belongs_to(&self, request: &str) -> bool {
        self.text("request") == request
    }

    /// Whether the line records state of one of these subjects, or state that concerns all.
    fn is_state_of(&self, subjects: &collections::BTreeSet<String>) -> bool {
        STATE_MESSAGES.iter().any(|(message, field)| {
            *message == self.message
                && field.is_none_or(|field| subjects.contains(self.text(field)))
        })
    }

    /// What the state concerns: a backend server, a route or an availability zone.
    fn subject(&self) -> &str {
        let fields = ["backend", "route", "az"];
        let mut texts = fields.into_iter().map(|field| self.text(field));
        texts.find(|text| !text.is_empty()).unwrap_or_default()
    }
}

/// Log lines that explain a request, in order of time.
fn timeline(lines: &[Line], request: &str) -> Vec<Line> {
    let request_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| line.belongs_to(request))
        .collect();
    let subjects: collections::BTreeSet<String> = request_lines
        .iter()
        .flat_map(|line| ["backend", "backends", "route"].map(|field| line.text(field)))
        .flat_map(|text| text.split(','))
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect();
    let mut found: Vec<Line> = Vec::new();
    for vm in request_lines
        .iter()
        .map(|line| &line.vm)
        .collect::<collections::BTreeSet<_>>()
    {
        let last = request_lines
            .iter()
            .filter(|line| line.vm == *vm)
            .map(|line| &line.time)
            .max();
        let mut latest_state: collections::BTreeMap<(&str, &str), &Line> =
            collections::BTreeMap::new();
        for line in lines
            .iter()
            .filter(|line| line.vm == *vm && Some(&line.time) <= last)
        {
            if line.is_state_of(&subjects) {
                latest_state.insert((line.message.as_str(), line.subject()), line);
            }
        }
        found.extend(latest_state.into_values().cloned());
    }
    found.extend(request_lines.into_iter().cloned());
    found.sort_by(|a, b| a.time.cmp(&b.time));
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
    let timeline = timeline(&lines, &args.request);
    if timeline.is_empty() {
        return Err(error::Error::Config(format!(
            "no log line mentions request `{}`; give the logs of all entry VMs for that time, and note that only one in 64 requests answered in time is logged",
            args.request
        )));
    }
    print(cx, &timeline);
    Ok(exit_codes::ExitCode::Success)
}

fn print(cx: &Context, timeline: &[Line]) {
    let json: Vec<Value> = timeline
        .iter()
        .map(|line| {
            let mut fields = line.fields.clone();
            for (name, value) in [
                ("at", &line.time),
                ("on", &line.vm),
                ("what", &line.message),
            ] {
                fields.insert(name.to_owned(), Value::String(value.clone()));
            }
            Value::Object(fields)
        })
        .collect();
    cx.out.json(&json);
    for line in timeline {
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
            line.time,
            line.vm,
            line.message,
            fields.join(" ")
        ));
    }
}
