//! Compares two versions of a team's settings, item by item and field by field. Items are matched
//! by identity rather than position, so reordering the files shows no difference.

use std::collections;
use std::fmt;

use crate::settings;

/// Fields that identify an item in a list. The first set whose first field the item has applies.
const IDENTITY_FIELDS: [&[&str]; 4] = [
    &["name"],
    &["from", "to"],
    &["block"],
    &["target", "start_s"],
];

data! {
    /// Difference in one item or field.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "do")]
    pub enum Difference {
        /// The item or field is new.
        Add {
            /// Path of the item or field.
            at: String,
            /// New value.
            to: String,
        },
        /// The item or field is removed.
        Remove {
            /// Path of the item or field.
            at: String,
            /// Old value.
            from: String,
        },
        /// The value changes.
        Change {
            /// Path of the item or field.
            at: String,
            /// Old value.
            from: String,
            /// New value.
            to: String,
        },
    }
}

impl Difference {
    /// Path of the item or field.
    pub fn at(&self) -> &str {
        match self {
            Self::Add { at, .. } | Self::Remove { at, .. } | Self::Change { at, .. } => at,
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Add { at, to } => write!(f, "+ {at}: {to}"),
            Self::Remove { at, from } => write!(f, "- {at}: {from}"),
            Self::Change { at, from, to } => write!(f, "~ {at}: {from} -> {to}"),
        }
    }
}

/// Differences that turn `from` into `to`.
pub fn between(from: &settings::Team, to: &settings::Team) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_tables("", &to_table(from), &to_table(to), &mut found);
    found
}

fn to_table(team: &settings::Team) -> toml::Table {
    toml::Table::try_from(team).expect("a team's settings have only values that TOML can hold")
}

fn compare_tables(at: &str, from: &toml::Table, to: &toml::Table, found: &mut Vec<Difference>) {
    let keys: collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    for key in keys {
        let at = join_path(at, key);
        match (from.get(key), to.get(key)) {
            (Some(from), Some(to)) => compare_values(&at, from, to, found),
            (None, Some(toml::Value::Array(items))) => compare_arrays(&at, &[], items, found),
            (Some(toml::Value::Array(items)), None) => compare_arrays(&at, items, &[], found),
            (None, Some(to)) => found.push(Difference::Add {
                at,
                to: format_short(to),
            }),
            (Some(from), None) => found.push(Difference::Remove {
                at,
                from: format_short(from),
            }),
            (None, None) => {}
        }
    }
}

fn compare_values(at: &str, from: &toml::Value, to: &toml::Value, found: &mut Vec<Difference>) {
    match (from, to) {
        (toml::Value::Table(from), toml::Value::Table(to)) => compare_tables(at, from, to, found),
        (toml::Value::Array(from), toml::Value::Array(to)) => compare_arrays(at, from, to, found),
        _ if from == to => {}
        _ => found.push(Difference::Change {
            at: at.to_owned(),
            from: format_short(from),
            to: format_short(to),
        }),
    }
}

fn compare_arrays(at: &str, from: &[toml::Value], to: &[toml::Value], found: &mut Vec<Difference>) {
    let of_tables = |items: &[toml::Value]| items.iter().all(toml::Value::is_table);
    if !of_tables(from) || !of_tables(to) {
        let (from, to) = (
            toml::Value::from(from.to_vec()),
            toml::Value::from(to.to_vec()),
        );
        if from != to {
            found.push(Difference::Change {
                at: at.to_owned(),
                from: format_short(&from),
                to: format_short(&to),
            });
        }
        return;
    }
    let (from, to) = (by_identity(from), by_identity(to));
    let identities: collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    for identity in identities {
        let at = format!("{at} {identity}");
        match (from.get(identity), to.get(identity)) {
            (Some(from), Some(to)) => compare_values(&at, from, to, found),
            (None, Some(to)) => found.push(Difference::Add {
                at,
                to: format_short(to),
            }),
            (Some(from), None) => found.push(Difference::Remove {
                at,
                from: format_short(from),
            }),
            (None, None) => {}
        }
    }
}

/// Items by identity; duplicates get a distinguishing suffix.
fn by_identity(items: &[toml::Value]) -> collections::BTreeMap<String, &toml::Value> {
    let mut found = collections::BTreeMap::new();
    for item in items {
        let mut identity = identity(item);
        while found.contains_key(&identity) {
            identity.push('\'');
        }
        found.insert(identity, item);
    }
    found
}

fn identity(item: &toml::Value) -> String {
    let fields = IDENTITY_FIELDS
        .iter()
        .find(|fields| item.get(fields[0]).is_some())
        .copied()
        .unwrap_or_default();
    let values = fields.iter().filter_map(|field| item.get(*field));
    values.map(format_plain).collect::<Vec<_>>().join(" ")
}

fn format_plain(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => text.clone(),
        toml::Value::Table(table) => {
            let pairs = table
                .iter()
                .map(|(key, value)| format!("{key} {}", format_plain(value)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}

/// Formats a value on one line. Nested arrays and tables of an item are omitted.
fn format_short(value: &toml::Value) -> String {
    let toml::Value::Table(table) = value else {
        return value.to_string();
    };
    let fields = table
        .iter()
        .filter(|(_, value)| !value.is_array() && !value.is_table());
    let fields = fields.map(|(key, value)| format!("{key} = {value}"));
    fields.collect::<Vec<_>>().join(", ")
}

fn join_path(at: &str, key: &str) -> String {
    if at.is_empty() {
        return key.to_owned();
    }
    format!("{at}: {key}")
}

#[cfg(test)]
mod tests {
    use std::path;

    use super::*;

    fn bays() -> settings::Team {
        settings::Team::read(path::Path::new("examples/cooperative/teams/bays")).unwrap()
    }

    #[test]
    fn a_field_is_named_with_its_service() {
        let (from, mut to) = (bays(), bays());
        to.services[1].shift_cap = 0.2;
        to.services[1].operations[0].worth = 30;
        let found: Vec<String> = between(&from, &to)
            .iter()
            .map(ToString::to_string)
            .collect();
        let expected = [
            "~ service ledger: operation book: worth: 20 -> 30",
            "~ service ledger: shift_cap: 0.1 -> 0.2",
        ];
        assert_eq!(found, expected);
    }

    #[test]
    fn order_in_the_files_makes_no_difference() {
        let (from, mut to) = (bays(), bays());
        to.services.reverse();
        assert_eq!(between(&from, &to), []);
    }

    #[test]
    fn an_added_or_removed_service_is_one_difference() {
        let (from, mut to) = (bays(), bays());
        to.services.pop();
        assert!(
            matches!(&between(&from, &to)[..], [Difference::Remove { at, .. }] if at == "service ledger")
        );
        assert!(
            matches!(&between(&to, &from)[..], [Difference::Add { at, .. }] if at == "service ledger")
        );
    }
}
