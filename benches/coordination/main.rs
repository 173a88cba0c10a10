//! Measures the cost and the duration of coordination between entry VMs.
//!
//! `cargo bench --bench coordination -- [readers|sizes|times|cutoff]` prints one table or all.
//! `readers`, `sizes` and `cutoff` run in virtual time and give the same figures in every run.

mod cutoff;
mod readers;
mod sizes;
mod times;

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let is_selected = |name: &str| selected.is_empty() || selected.iter().any(|w| w == name);
    if is_selected("readers") {
        readers::print();
    }
    if is_selected("sizes") {
        sizes::print();
    }
    if is_selected("cutoff") {
        cutoff::print();
    }
    if is_selected("times") {
        times::print();
    }
}
