//! The errors that reach an operator. Each names its remedy.

use std::path;

use crate::{coordination::store, exit_codes, settings};

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
    /// The platform's store did not do what was asked.
    #[error(transparent)]
    Store(#[from] store::Error),
}

impl Error {
    /// The exit code that goes with this error.
    pub fn exit_code(&self) -> exit_codes::ExitCode {
        match self {
            Self::Read { .. } | Self::Settings(_) | Self::Config(_) => exit_codes::ExitCode::Usage,
            Self::Store(store::Error::Conflict { .. }) => exit_codes::ExitCode::Conflict,
            Self::Bind { .. } | Self::Store(_) => exit_codes::ExitCode::Failure,
        }
    }
}
