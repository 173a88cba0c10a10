//! Load-dependent decisions: admission, queueing, shedding, placement, retries and traffic shifts.
//!
//! Each function takes its inputs and the current time as arguments and returns the actions to
//! perform. No module here reads a clock, opens a socket or uses an external source of randomness,
//! so each decision can be tested in virtual time. The entry process and the load model run the
//! same code behind [`policy::Policy`].

pub mod admission;
pub mod affinity;
pub mod backend_rate;
pub mod caps;
pub mod crashes;
pub mod cross_az;
pub mod declines;
pub mod departures;
pub mod descriptors;
pub mod dispatch;
pub mod drain;
pub mod ejection;
pub mod entry_selection;
pub mod grants;
pub mod hedge;
pub mod idle_limit;
pub mod limit;
pub mod links;
pub mod members;
pub mod memory;
pub mod mode;
pub mod naive;
pub mod note;
pub mod orders;
pub mod pace;
pub mod peer_selection;
pub mod placement;
pub mod plan;
pub mod planned_stop;
pub mod policy;
pub mod precedence;
pub mod probe;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod ramp;
pub mod range;
pub mod reachability;
pub mod read_lag;
pub mod regions;
pub mod resend;
pub mod resend_priority;
pub mod retry;
pub mod retry_delay;
pub mod returns;
pub mod search;
pub mod serve;
pub mod share_reports;
pub mod shares;
pub mod split;
pub mod spread;
pub mod trust;
pub mod upkeep;
pub mod usual_time;
pub mod waiting;
pub mod warming;
pub mod window;
pub mod withdrawal;

#[cfg(test)]
mod tests {
    use std::fs;
    use std::path;

    /// A decision that reads a clock or a socket cannot run in virtual time, so the load model
    /// would not run the same code as the entry process.
    #[test]
    fn no_clock_and_no_network_in_here() {
        let banned = [
            concat!("std::", "net"),
            concat!("Instant::", "now"),
            concat!("SystemTime::", "now"),
            concat!("crate::", "transport"),
            concat!("tok", "io"),
            concat!("rand::", "rng("),
        ];
        let mut paths = vec![path::PathBuf::from("src/decisions")];
        while let Some(path) = paths.pop() {
            if path.is_dir() {
                let entries = fs::read_dir(&path).unwrap();
                paths.extend(entries.map(|entry| entry.unwrap().path()));
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            for word in banned {
                assert!(!text.contains(word), "{} uses {word}", path.display());
            }
        }
    }
}
