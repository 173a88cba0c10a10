//! Requests that wait for a backend server, the most urgent first.

use std::collections;

use tokio::sync::oneshot;

use crate::id;

/// A line of its own for each service, for those that stay in the region and those that go
/// elsewhere: one does not wait for what the other needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Line {
    /// The service.
    pub service: id::ServiceId,
    /// Whether another region serves it.
    pub away: bool,
}

/// The place of a request in its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The rank of its route; 0 goes first.
    pub priority: u32,
    /// The order of arrival.
    pub number: u64,
}

/// All lines.
#[derive(Debug, Default)]
pub struct Waiting {
    lines: collections::HashMap<Line, collections::BTreeMap<Place, oneshot::Sender<()>>>,
    next: u64,
}

impl Waiting {
    /// A place for a request that has just come.
    pub fn place(&mut self, priority: u32) -> Place {
        self.next += 1;
        Place {
            priority,
            number: self.next,
        }
    }

    /// How many stand ahead of a place.
    pub fn ahead(&self, line: &Line, place: Place) -> usize {
        self.lines
            .get(line)
            .map_or(0, |waiting| waiting.range(..place).count())
    }

    /// How many stand in a line.
    pub fn len(&self, line: &Line) -> usize {
        self.lines.get(line).map_or(0, |waiting| waiting.len())
    }

    /// Stands in line. The receiver is told when it is worth trying.
    pub fn stand(&mut self, line: &Line, place: Place) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.lines
            .entry(line.clone())
            .or_default()
            .insert(place, tx);
        rx
    }

    /// Leaves the line.
    pub fn leave(&mut self, line: &Line, place: Place) {
        let Some(waiting) = self.lines.get_mut(line) else {
            return;
        };
        waiting.remove(&place);
        if waiting.is_empty() {
            self.lines.remove(line);
        }
    }

    /// Tells the first in each line of a service that something has become free.
    pub fn wake(&mut self, service: &id::ServiceId) {
        for away in [false, true] {
            let line = Line {
                service: service.clone(),
                away,
            };
            let Some(waiting) = self.lines.get_mut(&line) else {
                continue;
            };
            // One whose receiver is gone has left; the next is told in its place.
            while let Some((_, tx)) = waiting.pop_first() {
                if tx.send(()).is_ok() {
                    break;
                }
            }
            if waiting.is_empty() {
                self.lines.remove(&line);
            }
        }
    }
}
