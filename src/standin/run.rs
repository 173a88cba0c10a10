//! Command-line entry point of the stand-in store and backend server.

use std::fs;
use std::io::Write;
use std::net;
use std::path;
use std::thread;

use super::{backend, store};
use crate::error;

/// Number of threads that answer store calls. Each waiting watch occupies one.
const STORE_THREADS: usize = 64;

/// Which stand-in to run.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Standin {
    /// The platform's store and list of VMs.
    Store {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: net::SocketAddr,
    },
    /// One backend server.
    Backend {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: net::SocketAddr,
        /// Number of requests processed concurrently.
        #[arg(long, default_value_t = 3)]
        slots: usize,
        /// Processing time of one request, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
        /// Time after startup during which requests take three times as long, in milliseconds.
        #[arg(long, default_value_t = 0)]
        cold_ms: u64,
        /// File to which the idempotency key of each run is appended.
        #[arg(long)]
        journal: Option<path::PathBuf>,
    },
}

/// Starts a stand-in, prints `listening <address>` and runs until the process is terminated.
pub fn run(standin: &Standin) -> Result<(), error::Error> {
    match standin {
        Standin::Store { listen } => {
            let memory = store::Memory::default();
            let server = store::serve(&memory, *listen, STORE_THREADS)
                .map_err(|err| bind_error(*listen, &err))?;
            announce_and_park(server.addr());
        }
        Standin::Backend {
            listen,
            slots,
            work_ms,
            cold_ms,
            journal,
        } => {
            let journal = journal.as_deref().map(open_journal).transpose()?;
            let behaviour = backend::Behaviour {
                slots: *slots,
                work_ms: *work_ms,
                cold_ms: *cold_ms,
                ..backend::Behaviour::default()
            };
            let backend = backend::Backend::start(*listen, behaviour, journal)
                .map_err(|err| bind_error(*listen, &err))?;
            announce_and_park(backend.addr());
        }
    }
    Ok(())
}

fn open_journal(path: &path::Path) -> Result<fs::File, error::Error> {
    let opened = fs::File::options().create(true).append(true).open(path);
    opened.map_err(|source| error::Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn bind_error(addr: net::SocketAddr, err: &std::io::Error) -> error::Error {
    error::Error::Bind {
        addr: addr.to_string(),
        setting: "--listen",
        reason: err.to_string(),
    }
}

fn announce_and_park(addr: net::SocketAddr) {
    println!("listening {addr}");
    let _ = std::io::stdout().flush();
    loop {
        thread::park();
    }
}
