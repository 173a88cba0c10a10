//! What a policy decided about backend servers and requests beside its actions, for operators.
//!
//! An ejection or a quarantine shows in no action: the backend server just gets no more work. An
//! operator who asks why has to find it in the logs.

use super::policy;
use crate::id;

data! {
    /// Something that operators may ask about.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "note")]
    pub enum Note {
        /// A backend server gets no work for a while.
        Ejected {
            /// The backend server.
            vm: id::VmId,
            /// It cannot be reached, as opposed to answering badly.
            down: bool,
        },
        /// An ejected backend server gets work again.
        Restored {
            /// The backend server.
            vm: id::VmId,
        },
        /// A connection broke with this in flight.
        Suspected {
            /// The backend server.
            vm: id::VmId,
            /// What was in flight.
            fingerprint: policy::Fingerprint,
            /// It was in flight at two crashes, and is refused from now on.
            banned: bool,
        },
    }
}

/// Notes that nobody collected yet; beyond so many they are dropped.
const MOST: usize = 256;

/// Notes since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct Notes(Vec<Note>);

impl Notes {
    /// Adds one.
    pub fn push(&mut self, note: Note) {
        if self.0.len() < MOST {
            self.0.push(note);
        }
    }

    /// Takes all.
    pub fn take(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.0)
    }
}
