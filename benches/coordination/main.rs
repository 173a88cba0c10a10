//! Measures the cost and the duration of coordination between entry VMs.
//!
//! `cargo bench --bench coordination -- [readers|sizes|times|cutoff]` prints one table or all.
//! `readers`, `sizes` and `cutoff` run in virtual time and give the same figures in every run.

mod cutoff;
mod readers;
mod sizes;
mod times;

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let asked = |name: &str| wanted.is_empty() || wanted.iter().any(|w| w == name);
    if asked("readers") {
        readers::print();
    }
    if asked("sizes") {
        sizes::print();
    }
    if asked("cutoff") {
        cutoff::print();
    }
    if asked("times") {
        times::print();
    }
}
