//! Reads the directory under version control from which operators apply settings.
//!
//! It contains `teams/<team>/*.toml` and, next to `teams`, a `deployment.toml` with the store's
//! address and the root keys. A directory can be incomplete: an editor's temporary file, an
//! unfinished merge, an interrupted checkout. Missing settings would otherwise be treated as
//! removed. So a file that is neither settings nor a note is an error, and so is a team without a
//! settings file.

use std::collections;
use std::fs;
use std::net;
use std::path;

use crate::settings::keys;
use crate::{error, id, nearest, settings};

/// Extensions of files that are allowed next to a team's settings and ignored.
const NOTE_EXTENSIONS: [&str; 4] = ["md", "txt", "gitkeep", "gitignore"];

/// File with the location of the deployment.
const DEPLOYMENT_FILE: &str = "deployment.toml";

data! {
    /// Location of a deployment, and its root keys.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Deployment {
        /// Address of the platform's store.
        #[serde(default)]
        pub store: Option<net::SocketAddr>,
        /// Public root keys, as in the entry VMs' configuration.
        #[serde(default)]
        pub root_keys: Vec<keys::PublicKey>,
        /// Port of the operator listener on every entry VM.
        #[serde(default)]
        pub operators_port: Option<u16>,
        /// Operator listener addresses of the entry VMs, if they do not share one port.
        #[serde(default)]
        pub entries: Vec<net::SocketAddr>,
    }
}

impl Deployment {
    /// Reads `deployment.toml`. Without the file, all values are unset.
    pub fn read(root: &path::Path) -> Result<Self, error::Error> {
        let path = root.join(DEPLOYMENT_FILE);
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = fs::read_to_string(&path).map_err(|source| error::Error::Read {
            path: path.clone(),
            source,
        })?;
        toml::from_str(&text).map_err(|err| {
            let hint = nearest::hint(err.message()).unwrap_or_default();
            error::Error::Config(format!("{}: {err}{hint}", path.display()))
        })
    }
}

/// The teams declared in a directory.
#[derive(Clone, Debug)]
pub struct Directory {
    root: path::PathBuf,
    /// Settings by team.
    pub teams: collections::BTreeMap<id::TeamId, settings::Team>,
}

impl Directory {
    /// Reads every team under `root/teams`.
    pub fn read(root: &path::Path) -> Result<Self, error::Error> {
        let mut teams = collections::BTreeMap::new();
        for path in sorted_children(&root.join("teams"))? {
            let name = file_name(&path);
            if !path.is_dir() {
                if is_note(&path) {
                    continue;
                }
                return Err(unexpected_file(&path, "move it into its team's directory"));
            }
            check_files(&path)?;
            teams.insert(name.as_str().into(), settings::Team::read(&path)?);
        }
        let root = root.to_owned();
        Ok(Self { root, teams })
    }

    /// Validates settings that include this directory's. Errors name the file and line if known.
    pub fn check(&self, all: &settings::Settings) -> Result<(), error::Error> {
        all.check().map_err(|err| match err {
            settings::Error::Value {
                origin,
                what,
                remedy,
            } => {
                let origin = self.locate(&origin, &what).unwrap_or(origin);
                settings::Error::Value {
                    origin,
                    what,
                    remedy,
                }
                .into()
            }
            other => other.into(),
        })
    }

    /// Finds the file and line of an error by the names quoted in its message.
    fn locate(&self, origin: &str, what: &str) -> Option<String> {
        let names: Vec<&str> = what.split('`').skip(1).step_by(2).collect();
        let files = sorted_children(&self.root.join(origin)).ok()?;
        files
            .iter()
            .filter(|path| path.extension().is_some_and(|ext| ext == "toml"))
            .find_map(|path| {
                let text = fs::read_to_string(path).ok()?;
                let line = line_of(&text, &names, what)?;
                Some(format!("{}:{line}", path.display()))
            })
    }
}

/// Number of the line with the last of `names`, searching for each name from the previous match on,
/// or of a key below it that the message `what` mentions.
fn line_of(text: &str, names: &[&str], what: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut at = 0;
    for name in names {
        let quoted = format!("\"{name}\"");
        at += lines[at..].iter().position(|line| line.contains(&quoted))?;
    }
    let words: Vec<&str> = what
        .split(|c: char| !c.is_alphanumeric() && c != '_')
        .collect();
    let below = lines[at..].iter().skip(1);
    let key = below
        .take_while(|line| !line.starts_with("[["))
        .position(|line| {
            let key = line.split('=').next().unwrap_or_default().trim();
            !key.is_empty() && key != "name" && words.contains(&key)
        });
    Some(at + key.map_or(0, |below| below + 1) + 1)
}

fn check_files(dir: &path::Path) -> Result<(), error::Error> {
    let mut has_settings = false;
    for path in sorted_children(dir)? {
        if path.is_dir() {
            return Err(unexpected_file(
                &path,
                "move its files into the team's directory",
            ));
        }
        let toml = path.extension().is_some_and(|ext| ext == "toml");
        let hidden = file_name(&path).starts_with(['.', '#']);
        if !is_note(&path) && (!toml || hidden) {
            return Err(unexpected_file(&path, "finish writing it, or remove it"));
        }
        has_settings |= toml;
        let len = fs::metadata(&path).map_or(0, |meta| meta.len());
        if toml && len > settings::MAX_TEAM_BYTES as u64 {
            let what = format!("the file has {len} bytes");
            let remedy = format!(
                "keep all of a team's files under {} bytes",
                settings::MAX_TEAM_BYTES
            );
            return Err(incomplete_error(&path, &what, &remedy));
        }
    }
    if has_settings {
        return Ok(());
    }
    let what = "the team has no .toml file";
    Err(incomplete_error(
        dir,
        what,
        "complete the checkout, or add an empty `none.toml` to remove all of the team's settings",
    ))
}

fn is_note(path: &path::Path) -> bool {
    let name = file_name(path);
    let ext = name.rsplit('.').next().unwrap_or_default();
    NOTE_EXTENSIONS.contains(&ext)
}

fn unexpected_file(path: &path::Path, remedy: &str) -> error::Error {
    incomplete_error(path, "this is not a settings file", remedy)
}

fn incomplete_error(path: &path::Path, what: &str, remedy: &str) -> error::Error {
    settings::Error::Value {
        origin: path.display().to_string(),
        what: what.to_owned(),
        remedy: remedy.to_owned(),
    }
    .into()
}

fn file_name(path: &path::Path) -> String {
    path.file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

fn sorted_children(dir: &path::Path) -> Result<Vec<path::PathBuf>, error::Error> {
    let read = |source| error::Error::Read {
        path: dir.to_owned(),
        source,
    };
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(read)? {
        paths.push(entry.map_err(read)?.path());
    }
    paths.sort();
    Ok(paths)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_error_is_located_by_the_names_it_quotes() {
        let text = "[[service]]\nname = \"a\"\nslots = 0\n\n[[service]]\nname = \"b\"\nslots = 0\n";
        let what = "service `b`: slots or connections out of range";
        assert_eq!(line_of(text, &["b"], what), Some(7));
        assert_eq!(line_of(text, &["c"], what), None);
    }
}
