//! The errors that reach an operator. Each names its remedy.

use std::path;

use crate::cli::apply;
use crate::coordination::store;
use crate::settings::{envelope, keys};
use crate::{exit_codes, id, settings};

/// Anything that ends a program or one of its commands.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {}: {source}; check that the file exists and that this user may read it", .path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// An address could not be listened on.
    #[error("cannot listen on {addr}: {reason}; choose a free address of this VM for `{setting}`")]
    Bind {
        /// The address.
        addr: String,
        /// The setting that gave it.
        setting: &'static str,
        /// What the system said.
        reason: String,
    },
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The process's own configuration is wrong.
    #[error("{0}")]
    Config(String),
    /// A key or a key ring is wrong.
    #[error(transparent)]
    Key(#[from] keys::Error),
    /// A signing key may not sign, or signed settings are wrong.
    #[error(transparent)]
    Envelope(#[from] envelope::Error),
    /// A team has no keys yet.
    #[error(
        "team `{team}` has no sound key ring in the store; have a root key's holder add a key with `bulrushwind keys add {team}`"
    )]
    NoRing {
        /// The team.
        team: id::TeamId,
    },
    /// Teams depend on one another so that no order of writes is sound in between.
    #[error(
        "the changes of teams {teams} need one another at once; split them: first add what the others need, apply, then take out what nobody needs any more"
    )]
    Entangled {
        /// The teams.
        teams: String,
    },
    /// Somebody else changed the same team.
    #[error("{0}")]
    Changed(Box<apply::ConcurrentChange>),
    /// A write whose fate could not be found out.
    #[error(
        "the store did not say whether team `{team}`'s change {change} was written; when the store is back, run `bulrushwind status`, or apply again: a change that is in force is not written twice"
    )]
    Unresolved {
        /// The team.
        team: id::TeamId,
        /// The change.
        change: envelope::ChangeId,
    },
    /// A change that would exceed a cap or a limit, or that takes something out unasked.
    #[error("{0}")]
    Refused(String),
    /// An entry process did not answer as asked.
    #[error(
        "{addr}: {reason}; check that the entry process runs and that this is its {listener} address"
    )]
    Entry {
        /// The address.
        addr: String,
        /// What went wrong.
        reason: String,
        /// Which listener was asked.
        listener: &'static str,
    },
    /// Something could not be written out.
    #[error("cannot write {path}: {source}; check that the directory exists and has room")]
    Write {
        /// Where to.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The platform's store did not do what was asked.
    #[error(transparent)]
    Store(#[from] store::Error),
}

impl Error {
    /// The exit code that goes with this error.
    pub fn exit_code(&self) -> exit_codes::ExitCode {
        match self {
            Self::Read { .. }
            | Self::Settings(_)
            | Self::Config(_)
            | Self::Key(_)
            | Self::Envelope(envelope::Error::TooLarge { .. })
            | Self::Entangled { .. } => exit_codes::ExitCode::Usage,
            Self::Changed(_) | Self::Store(store::Error::Conflict { .. }) => {
                exit_codes::ExitCode::Conflict
            }
            Self::Envelope(_) | Self::NoRing { .. } => exit_codes::ExitCode::Unauthorised,
            Self::Refused(_) => exit_codes::ExitCode::Refused,
            Self::Bind { .. }
            | Self::Store(_)
            | Self::Unresolved { .. }
            | Self::Entry { .. }
            | Self::Write { .. } => exit_codes::ExitCode::Failure,
        }
    }
}
