//! Values that backend servers state about themselves in the header fields of their answers.
//!
//! The fields come from other programs: a value may be missing, malformed, out of range or given
//! twice. Each of these is told apart from a valid value here, once, so that no decision sees them.

use super::http1;

/// The value of one field of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated<T> {
    /// The answer does not have the field.
    Absent,
    /// The field is malformed, out of range, or given with different values.
    Invalid,
    /// A valid value.
    Value(T),
}

/// Parses the field of this name in an answer.
pub fn parse<T: PartialEq>(
    fields: &http1::Fields,
    name: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Stated<T> {
    let mut stated = Stated::Absent;
    for value in fields.all(name) {
        let text = std::str::from_utf8(value).ok().map(str::trim);
        let value = text.and_then(&parse).map_or(Stated::Invalid, Stated::Value);
        if stated != Stated::Absent && stated != value {
            return Stated::Invalid;
        }
        stated = value;
    }
    stated
}

/// Parses a field whose only value is `1`.
pub fn flag(text: &str) -> Option<()> {
    (text == "1").then_some(())
}

/// Parses a decimal number without sign and exponent; `None` if it is not one or not finite.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = text.parse().ok()?;
    (plain && number.is_finite()).then_some(number)
}
