//! Aggregates the callers' results and checks for violated guarantees.

use std::collections;

use super::load;

/// Results per scene and service, with the violations.
#[derive(Default)]
pub(crate) struct Report {
    rows: Vec<(String, collections::BTreeMap<&'static str, Row>)>,
    keys: Vec<(String, load::RequestEnd)>,
    duplicate_runs: u64,
    false_not_runs: u64,
    violations: Vec<String>,
}

#[derive(Clone, Debug, Default)]
struct Row {
    sent: u64,
    answered: u64,
    notrun: u64,
    unknown: u64,
    cut: u64,
    wrong: u64,
    latencies_us: Vec<u64>,
}

impl Row {
    fn add(&mut self, record: &load::Record) {
        self.sent += 1;
        match record.ended {
            load::RequestEnd::Answered => self.answered += 1,
            load::RequestEnd::NotRun => self.notrun += 1,
            load::RequestEnd::Unknown => self.unknown += 1,
            load::RequestEnd::Cut => self.cut += 1,
            load::RequestEnd::Wrong => self.wrong += 1,
        }
        if record.ended == load::RequestEnd::Answered {
            let us = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies_us.push(us);
        }
    }

    fn quantile_ms(&mut self, quantile: f64) -> f64 {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len().saturating_sub(1);
        let at = (last as f64 * quantile).round() as usize;
        self.latencies_us
            .get(at)
            .map_or(0.0, |us| *us as f64 / 1000.0)
    }
}

impl Report {
    /// Adds the records of one scene.
    pub(crate) fn add_scene(&mut self, name: &str, records: Vec<load::Record>) {
        let mut rows: collections::BTreeMap<&'static str, Row> = collections::BTreeMap::new();
        for record in &records {
            rows.entry(record.service).or_default().add(record);
        }
        for record in records {
            let refused = |key| (key, load::RequestEnd::NotRun);
            self.keys.extend(record.refused.into_iter().map(refused));
            self.keys.extend(record.key.map(|key| (key, record.ended)));
        }
        self.rows.push((name.to_owned(), rows));
    }

    /// Records a violated guarantee.
    pub(crate) fn add_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Counts duplicate runs, and not-run outcomes of keys that backend servers did run.
    pub(crate) fn count_runs(&mut self, runs: &collections::HashMap<String, u32>) {
        self.duplicate_runs = runs.values().map(|n| u64::from(n.saturating_sub(1))).sum();
        let is_false_not_run = |(key, ended): &&(String, load::RequestEnd)| {
            *ended == load::RequestEnd::NotRun && runs.contains_key(key)
        };
        self.false_not_runs = self.keys.iter().filter(is_false_not_run).count() as u64;
    }

    fn total(&self, field: impl Fn(&Row) -> u64) -> u64 {
        self.rows
            .iter()
            .flat_map(|(_, rows)| rows.values())
            .map(field)
            .sum()
    }

    /// Whether a guarantee was violated or no request was answered.
    pub(crate) fn has_violations(&self) -> bool {
        self.duplicate_runs + self.false_not_runs + self.total(|r| r.cut + r.wrong) > 0
            || !self.violations.is_empty()
            || self.total(|row| row.answered) == 0
    }

    /// Prints the table; its last line holds the totals.
    pub(crate) fn print(&self) {
        println!(
            "{:<34} {:<13} {:>6} {:>8} {:>7} {:>7} {:>4} {:>6} {:>9} {:>9}",
            "scene",
            "service",
            "sent",
            "answered",
            "notrun",
            "unknown",
            "cut",
            "wrong",
            "p50 ms",
            "p99 ms"
        );
        for (scene, rows) in &self.rows {
            for (service, row) in rows {
                let mut row = row.clone();
                let (p50, p99) = (row.quantile_ms(0.5), row.quantile_ms(0.99));
                println!(
                    "{scene:<34} {service:<13} {:>6} {:>8} {:>7} {:>7} {:>4} {:>6} {p50:>9.1} {p99:>9.1}",
                    row.sent, row.answered, row.notrun, row.unknown, row.cut, row.wrong
                );
            }
        }
        for note in &self.violations {
            println!("broken promise: {note}");
        }
        println!(
            "tryout: sent {} answered {} notrun {} unknown {} second_runs {} false_notruns {} cut {}",
            self.total(|row| row.sent),
            self.total(|row| row.answered),
            self.total(|row| row.notrun),
            self.total(|row| row.unknown),
            self.duplicate_runs,
            self.false_not_runs,
            self.total(|row| row.cut),
        );
    }
}
