//! Events of a policy that its actions don't show, for the log.
//!
//! No action shows an ejection or a quarantine: the backend server just gets no more requests.
//! Operators find the reason in the log.

use super::policy;
use crate::id;

data! {
    /// An event of interest to operators.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "note")]
    pub enum Note {
        /// A backend server was ejected and gets no requests for a while.
        Ejected {
            /// The backend server.
            vm: id::VmId,
            /// Whether it is unreachable, as opposed to answering badly.
            down: bool,
        },
        /// An ejected backend server gets requests again.
        Restored {
            /// The backend server.
            vm: id::VmId,
        },
        /// A connection broke with this request in flight.
        Suspected {
            /// The backend server.
            vm: id::VmId,
            /// The request in flight.
            fingerprint: policy::Fingerprint,
            /// Whether it was in flight at two crashes and is refused from now on.
            banned: bool,
        },
    }
}

/// Maximum number of uncollected events; further ones are dropped.
const MAX_PENDING_NOTES: usize = 256;

/// Events since the last call of [`Notes::take`].
#[derive(Clone, Debug, Default)]
pub struct Notes(Vec<Note>);

impl Notes {
    /// Adds an event, or drops it if the list is full.
    pub fn push(&mut self, note: Note) {
        if self.0.len() < MAX_PENDING_NOTES {
            self.0.push(note);
        }
    }

    /// Returns all events and clears the list.
    pub fn take(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.0)
    }
}
