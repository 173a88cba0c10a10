//! The actions that the coordination logic returns for its driver to carry out.

use std::sync;

use super::{peers, store};
use crate::protocol::peer;
use crate::{id, settings};

/// The prefixes of signed values, keys first: settings are verified with them.
pub const PREFIXES: [Prefix; 2] = [Prefix::Keys, Prefix::Settings];

key! {
    /// A store prefix that holds signed values.
    pub enum Prefix {
        /// The teams' key rings.
        Keys,
        /// The teams' settings.
        Settings,
    }
}

impl Prefix {
    /// The prefix as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Keys => settings::keys::STORE_KEY_PREFIX,
            Self::Settings => settings::envelope::STORE_KEY_PREFIX,
        }
    }

    /// The prefix of a key.
    pub fn of(key: &str) -> Option<Self> {
        PREFIXES.into_iter().find(|p| key.starts_with(p.as_str()))
    }
}

/// An action for the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read all values under a prefix.
    List(Prefix),
    /// Wait for writes under a prefix after a revision.
    Watch(Prefix, store::Revision),
    /// Write a value if the key's revision is unchanged.
    Write {
        /// The store key to write.
        key: String,
        /// The expected revision of the key.
        expect: store::Revision,
        /// The new value.
        value: sync::Arc<str>,
    },
    /// Read the platform's list of VMs.
    ReadVms,
    /// Send to one peer.
    Send(id::VmId, peer::Message),
    /// Send to all linked peers except the sender.
    ToAll {
        /// The peer that sent it to this process.
        except: Option<id::VmId>,
        /// The message to send.
        message: peer::Message,
    },
    /// Send to all linked peers of this availability zone except the sender.
    ToOwnAz {
        /// The peer that sent it to this process.
        except: Option<id::VmId>,
        /// The message to send.
        message: peer::Message,
    },
    /// Link to these entry VMs.
    Targets(Vec<peers::Target>),
    /// Use these settings from now on.
    InForce(sync::Arc<settings::Settings>),
    /// Use this list of VMs from now on.
    Vms(Vec<store::Vm>),
    /// Log a message for operators.
    Log(Note),
}

/// A log message for operators.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Note {
    /// A value was refused.
    #[error("{key} is refused: {why}")]
    Refused {
        /// The store key of the refused value.
        key: String,
        /// The reason and the remedy.
        why: String,
    },
    /// The store holds an older value than this process, or none.
    #[error(
        "{key}: the store holds version {stored} but this VM holds version {held}; the store was restored to an older state, and this VM's version is written to it again"
    )]
    StoreBehind {
        /// The store key of the value.
        key: String,
        /// The version in the store; 0: none.
        stored: u64,
        /// The version that this process holds.
        held: u64,
    },
    /// Two different values have the same version.
    #[error(
        "{key}: two changes have version {version}, `{one}` and `{other}`; all VMs keep the same one, so check with `bulrushwind status` and apply the other one again"
    )]
    VersionConflict {
        /// The store key of both values.
        key: String,
        /// The version of both values.
        version: u64,
        /// The change that is kept.
        one: String,
        /// The change that is dropped.
        other: String,
    },
    /// A team's newest settings are signed but inconsistent with those of other teams.
    #[error(
        "team `{team}`'s newest settings do not go with the others', their last good ones stay in force: {why}"
    )]
    NotInForce {
        /// The team whose newest settings are not used.
        team: id::TeamId,
        /// The reason and the remedy.
        why: String,
    },
    /// A team's settings came into force.
    #[error("team `{team}`'s settings are in force at version {version}")]
    InForce {
        /// The team that owns the settings.
        team: id::TeamId,
        /// The version now in force.
        version: u64,
    },
    /// The availability zone has a new reader: this process or another one.
    #[error("`{0}` reads the store for this availability zone")]
    Reader(id::VmId),
}
