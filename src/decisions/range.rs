//! Checked ranges of thresholds.

use std::ops;

/// A threshold that lies outside its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{name} is {value}; write a value from {least} to {most}")]
pub struct Error {
    /// The name of the threshold.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// The least value that makes sense.
    pub least: f64,
    /// The largest value that makes sense.
    pub most: f64,
}

/// Checks one threshold.
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
