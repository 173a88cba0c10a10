//! Configuration of one entry process, from a file, environment variables and flags.
//!
//! Each key can be set in the file, in an environment variable (`BULRUSHWIND_VM` for `vm`) and in a
//! flag (`--set vm=e1`); the last of these wins. An unknown key in the file or a flag is an error
//! with the nearest name: a mistyped limit would otherwise silently leave the default in force.

use std::fmt;
use std::fs;
use std::net;
use std::ops;
use std::path;

use serde::Deserialize;

use crate::settings::keys;
use crate::{error, id, nearest};

data! {
    /// The configuration of an entry process.
    #[serde(deny_unknown_fields)]
    pub struct Config {
        /// This VM's name, as in the platform's list of VMs.
        pub vm: id::VmId,
        /// This VM's availability zone.
        pub az: id::AzId,
        /// Listener for callers.
        pub listen: net::SocketAddr,
        /// Listener for operators and metrics scrapers.
        pub operators_listen: net::SocketAddr,
        /// Listener for other entry VMs.
        pub peers_listen: net::SocketAddr,
        /// Address of the platform's store.
        pub store: net::SocketAddr,
        /// The public root keys, which sign the teams' key rings.
        #[serde(default)]
        pub root_keys: Vec<keys::PublicKey>,
        /// Number of worker threads, which handle requests and never block on a socket.
        #[serde(default = "default_workers")]
        pub workers: usize,
        /// How long callers may cache a look-up's answer, in milliseconds.
        #[serde(default = "default_lookup_ttl_ms")]
        pub lookup_ttl_ms: u64,
        /// How long a used idempotency key is kept, in milliseconds.
        #[serde(default = "default_ticket_ttl_ms")]
        pub ticket_ttl_ms: u64,
        /// Shared secrets with which entry VMs authenticate each other, 64 hexadecimal digits each.
        /// The first signs; all are accepted. Without any, there are no links to peers.
        #[serde(default)]
        pub peer_secrets: Vec<Secret>,
        /// Peer addresses of a few entry VMs in several availability zones. A process that starts
        /// while the platform's store is unreachable discovers the fleet through them.
        #[serde(default)]
        pub peer_seeds: Vec<net::SocketAddr>,
    }
}

/// Defaults for tests and examples, with free ports on the loopback address.
impl Default for Config {
    fn default() -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            vm: "entry".into(),
            az: "az".into(),
            listen: any,
            operators_listen: any,
            peers_listen: any,
            store: any,
            root_keys: Vec::new(),
            workers: default_workers(),
            lookup_ttl_ms: default_lookup_ttl_ms(),
            ticket_ttl_ms: default_ticket_ttl_ms(),
            peer_secrets: Vec::new(),
            peer_seeds: Vec::new(),
        }
    }
}

impl Config {
    /// Reads a configuration from a TOML file.
    pub fn read(path: &path::Path) -> Result<Self, error::Error> {
        Self::layered(Some(path), &Overrides::default())
    }

    /// Reads the file, if there is one, and applies the environment's and the flags' overrides.
    pub fn layered(path: Option<&path::Path>, overrides: &Overrides) -> Result<Self, error::Error> {
        let mut table = path.map_or_else(|| Ok(toml::Table::new()), read_table)?;
        for (key, text) in overrides.env.iter().chain(&overrides.flags) {
            table.insert(key.clone(), parse_checked(key, text)?);
        }
        let cfg = Self::deserialize(table).map_err(|err| missing_key_error(&err))?;
        cfg.check()?;
        Ok(cfg)
    }

    /// Checks the ranges, names and addresses.
    pub fn check(&self) -> Result<(), error::Error> {
        range("workers", self.workers as u64, "threads", 1..=256)?;
        range("lookup_ttl_ms", self.lookup_ttl_ms, "ms", 100..=3_600_000)?;
        range(
            "ticket_ttl_ms",
            self.ticket_ttl_ms,
            "ms",
            1_000..=86_400_000,
        )?;
        range("root_keys", self.root_keys.len() as u64, "keys", 0..=16)?;
        range(
            "peer_secrets",
            self.peer_secrets.len() as u64,
            "secrets",
            0..=8,
        )?;
        range(
            "peer_seeds",
            self.peer_seeds.len() as u64,
            "addresses",
            0..=64,
        )?;
        for name in [self.vm.as_str(), self.az.as_str()] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains([' ', '/']) {
                return Err(error::Error::Config(format!(
                    "`{name}` is not a valid name; set `vm` and `az` to 1 to {MAX_NAME_BYTES} characters without spaces and /"
                )));
            }
        }
        let listen = [self.listen, self.operators_listen, self.peers_listen];
        for (n, addr) in listen.iter().enumerate() {
            if addr.port() != 0 && listen[..n].contains(addr) {
                return Err(error::Error::Config(format!(
                    "{addr} is given twice; give `listen`, `operators_listen` and `peers_listen` an address each"
                )));
            }
        }
        Ok(())
    }

    /// The configuration as TOML, with secrets hidden.
    pub fn to_redacted_toml(&self) -> String {
        let hidden = self.peer_secrets.iter().map(|_| "(hidden)".into());
        let shown = Self {
            peer_secrets: hidden.collect(),
            ..self.clone()
        };
        toml::to_string_pretty(&shown)
            .expect("all values of a configuration are representable in TOML")
    }
}

/// Maximum length of the name of a VM or an availability zone.
const MAX_NAME_BYTES: usize = 64;

/// Maximum size of a configuration file.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "BULRUSHWIND_";

/// Values that override those of the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    env: Vec<(String, String)>,
    flags: Vec<(String, String)>,
}

impl Overrides {
    /// Collects the environment variables named after a key, such as `BULRUSHWIND_LOOKUP_TTL_MS`,
    /// and flags of the form `key=value`. Other variables are ignored; an unknown flag is an error.
    pub fn new(
        env: impl Iterator<Item = (String, String)>,
        flags: &[String],
    ) -> Result<Self, error::Error> {
        let known = known_keys();
        let key_and_text = |(name, text): (String, String)| {
            let key = name.strip_prefix(ENV_PREFIX)?.to_lowercase();
            let is_override = known.contains_key(&key) && !text.is_empty();
            is_override.then_some((key, text))
        };
        let mut overrides = Self {
            env: env.filter_map(key_and_text).collect(),
            flags: Vec::new(),
        };
        for flag in flags {
            let (key, text) = flag.split_once('=').ok_or_else(|| {
                error::Error::Config(format!("--set {flag}: give it as KEY=VALUE"))
            })?;
            check_key("--set", key)?;
            overrides.flags.push((key.to_owned(), text.to_owned()));
        }
        Ok(overrides)
    }
}

/// Every key, with a value of its type.
fn known_keys() -> toml::Table {
    toml::Table::try_from(Config::default())
        .expect("all values of a configuration are representable in TOML")
}

fn check_key(origin: &str, key: &str) -> Result<(), error::Error> {
    let known = known_keys();
    if known.contains_key(key) {
        return Ok(());
    }
    let near = nearest::closest_name(key, known.keys().map(String::as_str));
    let remedy = near.map_or_else(
        || "`bulrushwind-entry --print-config` shows every key".to_owned(),
        |near| format!("did you mean `{near}`?"),
    );
    Err(error::Error::Config(format!(
        "{origin}: unknown key `{key}`; {remedy}"
    )))
}

fn read_table(path: &path::Path) -> Result<toml::Table, error::Error> {
    let read_error = |source| error::Error::Read {
        path: path.to_owned(),
        source,
    };
    if fs::metadata(path).map_err(read_error)?.len() > MAX_FILE_BYTES {
        return Err(error::Error::Config(format!(
            "{}: larger than {MAX_FILE_BYTES} bytes; check that this is an entry process's configuration file",
            path.display()
        )));
    }
    let text = fs::read_to_string(path).map_err(read_error)?;
    let name = path.display().to_string();
    let parse_error = |err: toml::de::Error| error::Error::Config(format!("{name}: {err}"));
    let table: toml::Table = toml::from_str(&text).map_err(parse_error)?;
    for key in table.keys() {
        let line = text.lines().position(|line| {
            line.split('=')
                .next()
                .is_some_and(|name| name.trim() == key)
        });
        let location = line.map_or_else(|| name.clone(), |line| format!("{name}:{}", line + 1));
        check_key(&location, key)?;
    }
    // Parsing the file alone gives the line of a value of the wrong type. Missing keys are no error
    // here, since the environment or a flag may set them.
    match toml::from_str::<Config>(&text) {
        Err(err) if !err.message().starts_with(MISSING_FIELD_PREFIX) => Err(parse_error(err)),
        _ => Ok(table),
    }
}

/// Start of the parser's message about a missing key.
const MISSING_FIELD_PREFIX: &str = "missing field";

fn missing_key_error(err: &toml::de::Error) -> error::Error {
    let message = err.message();
    let Some(key) = message.strip_prefix(MISSING_FIELD_PREFIX) else {
        return error::Error::Config(message.to_owned());
    };
    let key = key.trim().trim_matches('`');
    error::Error::Config(format!(
        "`{key}` is not set; set it in the file, in {ENV_PREFIX}{} or with --set {key}=VALUE",
        key.to_uppercase()
    ))
}

/// Parses a value from the environment or a flag and checks that its key accepts it.
fn parse_checked(key: &str, text: &str) -> Result<toml::Value, error::Error> {
    let value = parse_value(key, text);
    let mut defaults_with_value = known_keys();
    defaults_with_value.insert(key.to_owned(), value.clone());
    match Config::deserialize(defaults_with_value) {
        Ok(_) => Ok(value),
        Err(err) => Err(error::Error::Config(format!(
            "`{key}` cannot be `{text}`: {}; see its form in a file or with --print-config",
            err.message()
        ))),
    }
}

/// Parses a value from the environment or a flag. List elements are separated by commas.
fn parse_value(key: &str, text: &str) -> toml::Value {
    match known_keys().get(key) {
        Some(toml::Value::Array(_)) => {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            toml::Value::Array(parts.map(toml::Value::from).collect())
        }
        Some(toml::Value::Integer(_)) => text
            .parse::<i64>()
            .map_or_else(|_| text.into(), toml::Value::Integer),
        Some(toml::Value::Float(_)) => text
            .parse::<f64>()
            .map_or_else(|_| text.into(), toml::Value::Float),
        Some(toml::Value::Boolean(_)) => text
            .parse::<bool>()
            .map_or_else(|_| text.into(), toml::Value::Boolean),
        _ => text.into(),
    }
}

fn range(
    key: &str,
    value: u64,
    unit: &str,
    allowed: ops::RangeInclusive<u64>,
) -> Result<(), error::Error> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(error::Error::Config(format!(
        "`{key}` is {value} {unit}; give {} to {} {unit}",
        allowed.start(),
        allowed.end()
    )))
}

/// Secret text, which logs and debug output must not show.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

impl AsRef<str> for Secret {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

fn default_workers() -> usize {
    4
}

fn default_lookup_ttl_ms() -> u64 {
    5_000
}

fn default_ticket_ttl_ms() -> u64 {
    60_000
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "vm = \"e1\"\naz = \"a\"\nlisten = \"127.0.0.1:1\"\n\
        operators_listen = \"127.0.0.1:2\"\npeers_listen = \"127.0.0.1:3\"\nworkers = 2\n";

    fn layered(text: &str, env: &[(&str, &str)], flags: &[&str]) -> Result<Config, error::Error> {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("entry.toml");
        fs::write(&path, text).unwrap();
        let env = env.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
        let flags: Vec<String> = flags.iter().map(|f| (*f).to_owned()).collect();
        Config::layered(Some(&path), &Overrides::new(env, &flags)?)
    }

    fn error_of(text: &str, flags: &[&str]) -> String {
        layered(text, &[("BULRUSHWIND_STORE", "127.0.0.1:4")], flags)
            .unwrap_err()
            .to_string()
    }

    #[test]
    fn flags_override_the_environment_which_overrides_the_file() {
        let env = [
            ("BULRUSHWIND_STORE", "127.0.0.1:4"),
            ("BULRUSHWIND_WORKERS", "3"),
            ("BULRUSHWIND_VM", "e2"),
            ("BULRUSHWIND_DIR", "/elsewhere"),
        ];
        let cfg = layered(FILE, &env, &["workers=5", "peer_secrets=ab,cd"]).unwrap();
        assert_eq!((cfg.vm.as_str(), cfg.az.as_str()), ("e2", "a"));
        assert_eq!((cfg.workers, cfg.store.port()), (5, 4));
        assert_eq!(cfg.peer_secrets, ["ab".into(), "cd".into()]);
    }

    #[test]
    fn errors_on_missing_and_unknown_keys_include_a_remedy() {
        let err = layered(FILE, &[], &[]).unwrap_err().to_string();
        assert!(
            err.contains("BULRUSHWIND_STORE or with --set store="),
            "{err}"
        );
        let err = error_of(&format!("{FILE}worker = 2\n"), &[]);
        assert!(
            err.contains("entry.toml:7") && err.contains("`workers`?"),
            "{err}"
        );
        assert!(error_of(FILE, &["worker=2"]).contains("`workers`?"));
        let err = error_of(FILE, &["listen=here"]);
        assert!(err.starts_with("`listen` cannot be `here`"), "{err}");
        let err = error_of(&FILE.replace("workers = 2", "workers = \"two\""), &[]);
        assert!(err.contains("line 6"), "{err}");
    }

    #[test]
    fn range_errors_include_the_unit() {
        let err = error_of(FILE, &["workers=0"]);
        assert_eq!(err, "`workers` is 0 threads; give 1 to 256 threads");
        let err = error_of(FILE, &["lookup_ttl_ms=5"]);
        assert_eq!(err, "`lookup_ttl_ms` is 5 ms; give 100 to 3600000 ms");
        assert!(error_of(FILE, &["listen=127.0.0.1:2"]).contains("given twice"));
    }

    #[test]
    fn the_shown_configuration_parses_back_and_hides_secrets() {
        let cfg = Config {
            peer_secrets: vec!["5ec4e7".into()],
            ..Config::default()
        };
        let shown = cfg.to_redacted_toml();
        assert!(!shown.contains("5ec4e7") && !format!("{cfg:?}").contains("5ec4e7"));
        assert!(toml::from_str::<Config>(&shown).is_ok());
    }
}
