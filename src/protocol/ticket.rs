//! Tickets, and the idempotency keys that callers derive from them.
//!
//! Failure: a caller whose answer was lost sends a booking again through another entry VM, it runs a
//! second time, and one bay is billed to two members. A ticket therefore names the one process whose
//! memory decides whether a key is new. The caller appends `.` and its own sequence number or key, so
//! that one cached look-up serves many requests. Because no other process decides about such a key,
//! no consensus is needed, and neither a partition nor a store outage can cause a second run.

use std::fmt;
use std::str;
use std::time;

use crate::decisions::policy;
use crate::id;

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 200;

const TICKET_VERSION: &str = "t1";

data! {
    /// A ticket issued by an entry process: `t1.<vm>.<incarnation>.<issued>.<random>`.
    #[derive(Eq)]
    pub struct Ticket {
        /// The entry VM that issued it.
        pub vm: id::VmId,
        /// Incarnation of the process that issued it.
        pub incarnation: id::Incarnation,
        /// Time of issue on the clock of that process, in milliseconds since its start.
        pub issued_ms: u64,
        /// Distinguishes tickets issued in the same millisecond.
        pub random: u64,
    }

    /// The idempotency key of a request: a ticket and the caller's suffix.
    #[derive(Eq)]
    pub struct Key {
        /// The ticket.
        pub ticket: Ticket,
        /// The complete text, by which keys are compared.
        pub text: String,
    }
}

/// Why a text is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It does not begin with a ticket.
    #[error(
        "the key does not begin with a ticket; get one from /lookup/<service> and append `.` and a \
         number that you have not used before, or send the ticket as Bulrushwind-Ticket in addition \
         to your key"
    )]
    NoTicket,
    /// It is a ticket without a suffix.
    #[error(
        "the key is a ticket without a suffix; append `.` and a number that you have not used before"
    )]
    NoSequence,
    /// It is longer than [`MAX_KEY_BYTES`].
    #[error("the key has {0} bytes; use at most {MAX_KEY_BYTES}")]
    TooLong(usize),
    /// It contains a character that is not visible ASCII.
    #[error("the key contains a character that is not visible ASCII; use letters, digits and `-`")]
    Character,
}

impl Ticket {
    /// Time of issue, on the clock of the process that issued it.
    pub fn issued(&self) -> policy::Moment {
        time::Duration::from_millis(self.issued_ms)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (vm, issued, random) = (encode_vm(self.vm.as_str()), self.issued_ms, self.random);
        write!(
            f,
            "{TICKET_VERSION}.{vm}.{}.{issued:x}.{random:x}",
            self.incarnation
        )
    }
}

impl Key {
    /// Parses the value of the key header. `ticket`, the value of the ticket header, is prefixed to a
    /// key that does not begin with a ticket.
    pub fn parse(caller_key: &str, ticket: Option<&str>) -> Result<Self, Error> {
        let text = match ticket {
            Some(ticket) if !caller_key.starts_with(&format!("{TICKET_VERSION}.")) => {
                format!("{ticket}.{caller_key}")
            }
            _ => caller_key.to_owned(),
        };
        if text.len() > MAX_KEY_BYTES {
            return Err(Error::TooLong(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Character);
        }
        let mut parts = text.splitn(6, '.');
        if parts.next() != Some(TICKET_VERSION) {
            return Err(Error::NoTicket);
        }
        let ticket = Ticket {
            vm: parts.next().and_then(decode_vm).ok_or(Error::NoTicket)?,
            incarnation: id::Incarnation(parse_hex_number(parts.next())?),
            issued_ms: parse_hex_number(parts.next())?,
            random: parse_hex_number(parts.next())?,
        };
        if parts.next().is_none_or(str::is_empty) {
            return Err(Error::NoSequence);
        }
        Ok(Self { ticket, text })
    }
}

fn parse_hex_number(part: Option<&str>) -> Result<u64, Error> {
    part.and_then(|part| u64::from_str_radix(part, 16).ok())
        .ok_or(Error::NoTicket)
}

/// Encodes a VM name, which may contain the dot that separates the fields of a ticket.
fn encode_vm(text: &str) -> String {
    const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits =
        |byte: u8| [byte >> 4, byte & 15].map(|at| char::from(HEX_DIGITS[usize::from(at)]));
    text.bytes().flat_map(digits).collect()
}

fn decode_vm(text: &str) -> Option<id::VmId> {
    let bytes: Option<Vec<u8>> = (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok())
        .collect();
    Some(str::from_utf8(&bytes?).ok()?.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket() -> Ticket {
        Ticket {
            vm: "entry.1".into(),
            incarnation: id::Incarnation(77),
            issued_ms: 1234,
            random: 9,
        }
    }

    #[test]
    fn a_key_round_trips() {
        let key = Key::parse(&format!("{}.5", ticket()), None).unwrap();
        assert_eq!(key.ticket, ticket());
        let prefixed = Key::parse("bay-7.b", Some(&ticket().to_string())).unwrap();
        assert_eq!(prefixed.ticket, ticket());
        assert!(prefixed.text.ends_with(".bay-7.b"));
    }

    #[test]
    fn malformed_keys_are_rejected() {
        let bare = ticket().to_string();
        assert_eq!(Key::parse("order-1", None), Err(Error::NoTicket));
        assert_eq!(Key::parse("t1.zz.1.1.1.1", None), Err(Error::NoTicket));
        assert_eq!(Key::parse(&bare, None), Err(Error::NoSequence));
        assert_eq!(
            Key::parse(&format!("{bare}."), None),
            Err(Error::NoSequence)
        );
        assert_eq!(Key::parse("a b", None), Err(Error::Character));
        assert_eq!(Key::parse(&"a".repeat(300), None), Err(Error::TooLong(300)));
    }
}
