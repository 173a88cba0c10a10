//! What one entry process is told about itself: a file, then the environment, then flags.

use std::fs;
use std::net;
use std::path;

use crate::settings::keys;
use crate::{error, id};

data! {
    /// The configuration of an entry process.
    #[serde(deny_unknown_fields)]
    pub struct Config {
        /// This VM's name, as in the platform's list of VMs.
        pub vm: id::VmId,
        /// The availability zone this VM stands in.
        pub az: id::AzId,
        /// Where callers connect.
        pub listen: net::SocketAddr,
        /// Where operators and metrics readers connect.
        pub operators_listen: net::SocketAddr,
        /// Where other entry VMs connect.
        pub peers_listen: net::SocketAddr,
        /// The platform's store.
        pub store: net::SocketAddr,
        /// The public root keys, which sign the teams' key rings.
        #[serde(default)]
        pub root_keys: Vec<keys::PublicKey>,
        /// Threads that decide about requests. None of them ever waits for a socket.
        #[serde(default = "default_workers")]
        pub workers: usize,
        /// How long a look-up's answer may be kept by callers, in milliseconds.
        #[serde(default = "default_lookup_ttl_ms")]
        pub lookup_ttl_ms: u64,
        /// How long a key that was spent is remembered, in milliseconds.
        #[serde(default = "default_ticket_ttl_ms")]
        pub ticket_ttl_ms: u64,
        /// The secrets by which entry VMs prove to each other that they belong to one fleet, 64
        /// hexadecimal digits each. The first signs, all are accepted. None: no links to peers.
        #[serde(default)]
        pub peer_secrets: Vec<String>,
    }
}

/// For tests and examples: free ports on this machine.
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
        }
    }
}

impl Config {
    /// Reads a configuration from a TOML file.
    pub fn read(path: &path::Path) -> Result<Self, error::Error> {
        let text = fs::read_to_string(path).map_err(|source| error::Error::Read {
            path: path.to_owned(),
            source,
        })?;
        toml::from_str(&text)
            .map_err(|err| error::Error::Config(format!("{}: {err}", path.display())))
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
