//! Which entry VMs a caller is told to use.
//!
//! Load pattern: callers all over, each with entry VMs in its own availability zone and others
//! farther away. A caller picks one of those named at random, so each far one named costs its
//! distance on a part of the requests. One notices it as latency that steps up by a zone's or a
//! region's distance.
//!
//! So only the nearest that exist are named: those of the caller's availability zone, else of
//! its region, else all.

/// How far away something is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Az,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// The most that one answer names. More would only make answers longer.
pub const MOST: usize = 64;

/// The nearest of them.
pub fn nearest<T>(all: impl Iterator<Item = (Distance, T)>) -> Vec<T> {
    let all: Vec<(Distance, T)> = all.collect();
    let Some(least) = all.iter().map(|(distance, _)| *distance).min() else {
        return Vec::new();
    };
    all.into_iter()
        .filter(|(distance, _)| *distance == least)
        .map(|(_, item)| item)
        .take(MOST)
        .collect()
}
