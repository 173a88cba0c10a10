//! The file in which operators change thresholds.

use std::time;

use bulrushwind::gateway::thresholds::Thresholds;

#[test]
fn what_the_file_does_not_name_keeps_its_default() {
    let read =
        Thresholds::parse("told = 3\n[regions]\nevery = 0.25\n[placement]\nby_object = false\n");
    let read = read.unwrap();
    let default = Thresholds::default();
    assert_eq!(read.told, 3);
    assert_eq!(read.regions.step_interval, time::Duration::from_millis(250));
    assert!(!read.placement.by_object);
    assert_eq!(read.placement.max_load, default.placement.max_load);
    assert_eq!(
        read.ejection.consecutive_failures,
        default.ejection.consecutive_failures
    );
    assert_eq!(
        format!("{:?}", Thresholds::parse("").unwrap()),
        format!("{default:?}")
    );
}

/// An operator mistypes a name or writes a value that makes no sense. Taken in silence, the default
/// would stay in force, or callers be refused for no reason that anybody finds.
#[test]
fn a_name_or_value_that_makes_no_sense_is_refused_by_name() {
    for (text, named) in [
        ("tolled = 3", "tolled"),
        ("[placement]\nmots = 2.0", "mots"),
        ("[placement]\nmost = 99.0", "affinity.most"),
        ("[regions]\nevery = -1.0", "negative"),
        ("told = 0", "told"),
        ("[hedge]\nusual = \"long\"", "string"),
        ("told = ", "string values"),
    ] {
        let err = Thresholds::parse(text).unwrap_err();
        assert!(err.contains(named), "{text}: {err}");
    }
}
