//! The complete request path under failures, from callers to backend servers.

mod answers;
mod callers;
mod cancel;
mod decisions;
mod end_to_end;
mod faulty;
mod local;
mod once;
mod stop;
mod testenv;
