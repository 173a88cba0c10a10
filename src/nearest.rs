//! Suggests the known name closest to a mistyped one.

/// Minimum Jaro-Winkler similarity of a suggestion, from 0 to 1. It accepts one or two wrong letters
/// but not a different word.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name most similar to `name`, if any is similar enough.
pub fn closest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, known)| known)
}

/// Suggests a known name for a parser's message about an unknown one.
pub fn hint(message: &str) -> Option<String> {
    let rest = &message[message.find("unknown ")?..];
    let mut quoted = rest.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    let known = closest_name(unknown, quoted)?;
    Some(format!("did you mean `{known}`?"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_mistyped_field_gets_a_suggestion() {
        let message = "unknown field `slotz`, expected one of `name`, `slots`, `azs`";
        assert_eq!(hint(message).unwrap(), "did you mean `slots`?");
        assert_eq!(hint("unknown field `zebra`, expected `name`"), None);
        assert_eq!(hint("missing field `name`"), None);
    }
}
