//! What the pure parts of coordination ask the process around them to do.

use std::sync;

use super::{peers, store};
use crate::protocol::peer;
use crate::{id, settings};

/// The parts of the store that hold signed values, keys first: settings are checked with them.
pub const PREFIXES: [Prefix; 2] = [Prefix::Keys, Prefix::Settings];

key! {
    /// A part of the store that holds signed values.
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
            Self::Keys => settings::keys::STORE_PREFIX,
            Self::Settings => settings::envelope::STORE_PREFIX,
        }
    }

    /// The prefix that a key lies under.
    pub fn of(key: &str) -> Option<Self> {
        PREFIXES.into_iter().find(|p| key.starts_with(p.as_str()))
    }
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read everything under a prefix.
    List(Prefix),
    /// Wait for writes under a prefix after a revision.
    Watch(Prefix, store::Revision),
    /// Write a value back if the key is still at a revision.
    Write {
        /// The key.
        key: String,
        /// The revision that the key must still have.
        expect: store::Revision,
        /// The value.
        value: sync::Arc<str>,
    },
    /// Read the platform's list of VMs.
    ReadVms,
    /// Send to one peer.
    Send(id::VmId, peer::Message),
    /// Send to all linked peers but the one it came from.
    ToAll {
        /// Who told us.
        except: Option<id::VmId>,
        /// The message.
        message: peer::Message,
    },
    /// Send to all linked peers of our own availability zone but the one it came from.
    ToOwnAz {
        /// Who told us.
        except: Option<id::VmId>,
        /// The message.
        message: peer::Message,
    },
    /// Keep links to these entry VMs.
    Targets(Vec<peers::Target>),
    /// These settings are in force from now on.
    InForce(sync::Arc<settings::Settings>),
    /// This is the list of VMs from now on.
    Vms(Vec<store::Vm>),
    /// Tell the operators.
    Log(Note),
}

/// What operators are told.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Note {
    /// A value was not taken.
    #[error("{key} is refused: {why}")]
    Refused {
        /// The key.
        key: String,
        /// Why, with the remedy.
        why: String,
    },
    /// The store holds an older value than this process.
    #[error(
        "{key}: the store holds version {stored} and version {held} is in force; the store was put back to an older state, and the version in force is written to it again"
    )]
    StoreBehind {
        /// The key.
        key: String,
        /// The version in the store; 0: none.
        stored: u64,
        /// The version in force.
        held: u64,
    },
    /// Two different values have the same version.
    #[error(
        "{key}: two changes have version {version}, `{one}` and `{other}`; all VMs keep the same one, so check with `bulrushwind status` and apply the other one again"
    )]
    Tie {
        /// The key.
        key: String,
        /// The version.
        version: u64,
        /// The change that is kept.
        one: String,
        /// The change that is dropped.
        other: String,
    },
    /// A team's newest settings are signed and accepted but do not fit the other teams'.
    #[error(
        "team `{team}`'s newest settings do not go with the others', their last good ones stay in force: {why}"
    )]
    NotInForce {
        /// The team.
        team: id::TeamId,
        /// Why, with the remedy.
        why: String,
    },
    /// A team's settings came into force.
    #[error("team `{team}`'s settings are in force at version {version}")]
    InForce {
        /// The team.
        team: id::TeamId,
        /// The version.
        version: u64,
    },
    /// This process became the reader of its availability zone, or another did.
    #[error("`{0}` reads the store for this availability zone")]
    Reader(id::VmId),
}
