//! Builds request targets. Text from settings, the store or the command line is percent-encoded here, so
//! that no character of it can end the value that it stands for.

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

/// All but the unreserved characters of a URI and `/`, which a query and a path may contain.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// The same for one segment of a path.
const ENCODED_IN_SEGMENT: &AsciiSet = &ENCODED.add(b'/');

/// A target in origin form: a path and a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// A target with this path and no query. The path is not encoded.
    pub fn new(path: &str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Appends a segment to the path.
    pub fn segment(mut self, text: &str) -> Self {
        self.text.push('/');
        let encoded = percent_encoding::utf8_percent_encode(text, ENCODED_IN_SEGMENT);
        self.text.extend(encoded);
        self
    }

    /// Appends a parameter to the query. The name is not encoded.
    pub fn parameter(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.text.push(match self.has_query {
            true => '&',
            false => '?',
        });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        let value = value.to_string();
        self.text
            .extend(percent_encoding::utf8_percent_encode(&value, ENCODED));
        self
    }

    /// The target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

/// The decoded value of the first parameter of this name in a target's query. `None` if there is none or
/// it is not UTF-8.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let decoded = percent_encoding::percent_decode_str(value).decode_utf8();
    decoded.ok().map(String::from)
}
