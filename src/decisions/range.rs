//! Range checks of thresholds.

use std::ops;

/// A threshold outside its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{name} is {value}; write a value from {least} to {most}")]
pub struct Error {
    /// Name of the threshold.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Smallest valid value.
    pub least: f64,
    /// Largest valid value.
    pub most: f64,
}

/// Checks that a threshold lies in its range. NaN is outside every range.
pub fn check(name: &'static str, value: f64, range: ops::RangeInclusive<f64>) -> Result<(), Error> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Error {
        name,
        value,
        least: *range.start(),
        most: *range.end(),
    })
}

/// Serialization of durations as seconds, for settings.
pub mod seconds {
    use std::time;

    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Serializes a duration in seconds.
    pub fn serialize<S: Serializer>(value: &time::Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(value.as_secs_f64())
    }

    /// Deserializes a duration from seconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<time::Duration, D::Error> {
        let seconds = f64::deserialize(from)?;
        time::Duration::try_from_secs_f64(seconds).map_err(de::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_message_names_the_range() {
        let err = check("retry.share", 2.0, 0.0..=0.5).unwrap_err();
        let text = "retry.share is 2; write a value from 0 to 0.5";
        assert_eq!(err.to_string(), text);
    }

    #[test]
    fn what_is_no_number_is_refused() {
        assert!(check("retry.share", f64::NAN, 0.0..=0.5).is_err());
    }
}
