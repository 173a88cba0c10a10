//! Divides the process's file descriptors between callers and everything else.
//!
//! Load pattern: more callers connect at a time than the process has file descriptors. Without a
//! limit on callers, accepts fail and new connections wait in the listen queue, where neither their
//! number nor their age is known. The symptoms are requests that are read most of a second late, and
//! requests in progress that cannot connect to a backend server.
//!
//! Callers get all descriptors but a reserve. Above that threshold an idle connection is closed for
//! each new one. If none is idle, the new one is refused: it is still accepted, so that the listen
//! queue stays empty, and holds a descriptor of the reserve until its first request is answered. Only
//! a third of the reserve may be used for refusals, and a quarter for connections that are closing.
//! Look-ups, readiness and metrics get an eighth of all descriptors and links of other VMs a quarter, so that
//! no crowd there takes those of callers.

use std::time;

use super::{policy, range, read_lag};

/// Descriptors that the platform reserves for files, of the limit that its settings name.
const PLATFORM_FILES: u64 = 200;

/// Descriptors of a process that are not counted: standard streams, listeners and the runtime's own.
const UNCOUNTED: u64 = 32;

/// A smaller reserve would not hold the connections to the store and to other VMs.
const MIN_RESERVE: usize = 16;

/// A process cannot serve with fewer descriptors, so a lower limit is not taken for one.
const MIN_LIMIT: u64 = 64;

/// The limit of descriptors that settings name; `None` for 0. Fails if it is no limit that a system
/// allows.
pub fn named_limit(max_fds: f64) -> Result<Option<u64>, String> {
    /// The most that Linux allows.
    const MAX: f64 = 1_073_741_816.0;
    match (0.0..=MAX).contains(&max_fds) {
        true => Ok((max_fds >= 1.0).then_some(max_fds as u64)),
        false => Err(format!(
            "`limits.max_fds` is {max_fds}; expected a number from 0 to {MAX}"
        )),
    }
}

/// How long a refused connection may take until its request has arrived and is answered.
pub const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long a refused connection keeps its place while others need it. The request of a caller in the
/// same region has arrived by then. With 65 places, 1,300 connections without a request can be closed
/// in a second.
const MIN_REFUSAL_TIME: time::Duration = time::Duration::from_millis(50);

/// Thresholds of file descriptors.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The share of the descriptors that callers do not get; at least 16 descriptors. Zero disables
    /// the limit on callers.
    pub reserve: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { reserve: 0.05 }
    }
}

impl Config {
    /// Returns an error if the reserve is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("descriptors.reserve", self.reserve, 0.0..=0.5)
    }

    /// The limits for sockets. `named` is the limit of descriptors that the settings name, `process`
    /// that of the process; `None` if neither is known or there is no limit on callers.
    pub fn limits(&self, named: Option<u64>, process: Option<u64>) -> Option<Limits> {
        if self.reserve == 0.0 {
            return None;
        }
        let known = [(named, PLATFORM_FILES), (process, UNCOUNTED)].into_iter();
        let known = known.filter_map(|(limit, other)| Some((limit?, other)));
        let usable = known.filter(|(limit, _)| *limit >= MIN_LIMIT);
        // Half of a very low limit remains for sockets.
        let sockets = usable.map(|(limit, other)| limit - other.min(limit / 2));
        let sockets = sockets.min()?;
        let sockets = usize::try_from(sockets).unwrap_or(usize::MAX);
        let share = (sockets as f64 * self.reserve).ceil() as usize;
        let reserve = share.max(MIN_RESERVE).min(sockets / 2);
        Some(Limits {
            threshold: sockets - reserve,
            max_refused: (reserve / 3).max(1),
            max_closing: (reserve / 4).max(1),
            max_operators: (sockets / 8).max(1),
            max_links: (sockets / 4).max(1),
        })
    }
}

/// Limits on open sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of open sockets above which a new caller needs the place of another one.
    pub threshold: usize,
    /// Refused connections at a time.
    pub max_refused: usize,
    /// Connections that are closed for others at a time.
    pub max_closing: usize,
    /// Connections for look-ups, readiness and metrics.
    pub max_operators: usize,
    /// Links of other VMs.
    pub max_links: usize,
}

/// Open sockets, including the new connection.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    /// All of them.
    pub total: usize,
    /// Those of refused connections.
    pub refused: usize,
}

/// Callers' connections that are not in use.
#[derive(Clone, Debug)]
pub struct Unused<T> {
    /// Idle connections, with the time that each has been idle.
    pub idle: Vec<(time::Duration, T)>,
    /// The number of connections that are being closed already.
    pub closing: usize,
}

/// What happens to a new connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission<T> {
    /// Whether it is served; it is refused otherwise.
    pub served: bool,
    /// Idle connections to close.
    pub close: Vec<T>,
}

/// What happens before a further connection may be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRefusal {
    /// Nothing.
    Allowed,
    /// A refused one leaves, or this time passes.
    Wait(time::Duration),
    /// The one that has waited longest for a request is closed.
    Displace,
}

/// Admits callers' connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    limits: Option<Limits>,
    /// Until then no connection has been idle for long enough to be closed.
    none_idle_until: policy::Moment,
}

impl Gate {
    /// A gate with these limits; `None` admits all connections.
    pub fn new(limits: Option<Limits>) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Whether callers have no descriptors left.
    pub fn is_exhausted(&self, open: Open) -> bool {
        let served = open.total.saturating_sub(open.refused);
        self.limits.is_some_and(|limits| served > limits.threshold)
    }

    /// Admits a new connection for look-ups, readiness or metrics. `open` of them are open, including this
    /// one. Beyond the limit each takes the place of the one that has been unused longest.
    pub fn admit_operator<T>(
        &self,
        open: usize,
        unused: impl FnOnce() -> Unused<T>,
    ) -> Admission<T> {
        let mut admission = Admission {
            served: true,
            close: Vec::new(),
        };
        let Some(limits) = self.limits.filter(|limits| open > limits.max_operators) else {
            return admission;
        };
        let Unused { idle, closing } = unused();
        let places = limits.max_closing.saturating_sub(closing).min(1);
        let longest = idle.into_iter().max_by_key(|(span, _)| *span);
        admission.close = longest
            .into_iter()
            .take(places)
            .map(|(_, slot)| slot)
            .collect();
        admission.served = !admission.close.is_empty();
        admission
    }

    /// Whether there are as many links of other VMs as callers can spare.
    pub fn has_too_many_links(&self, open: usize) -> bool {
        self.limits.is_some_and(|limits| open >= limits.max_links)
    }

    /// What happens before a further connection may be refused. `refused` are being refused, and the
    /// one that has waited longest for a request has done so for `longest_wait`.
    pub fn next_refusal(
        &self,
        refused: usize,
        longest_wait: Option<time::Duration>,
    ) -> NextRefusal {
        let is_full = self
            .limits
            .is_some_and(|limits| refused >= limits.max_refused);
        if !is_full {
            return NextRefusal::Allowed;
        }
        let left = MIN_REFUSAL_TIME.saturating_sub(longest_wait.unwrap_or_default());
        match left.is_zero() {
            true => NextRefusal::Displace,
            false => NextRefusal::Wait(left),
        }
    }

    /// Admits a new connection. `unused` is called only if its result matters, since it looks at all
    /// connections.
    pub fn admit<T>(
        &mut self,
        now: policy::Moment,
        open: Open,
        unused: impl FnOnce() -> Unused<T>,
    ) -> Admission<T> {
        let mut admission = Admission {
            served: true,
            close: Vec::new(),
        };
        let Some(limits) = self.limits.filter(|_| self.is_exhausted(open)) else {
            return admission;
        };
        admission.served = false;
        if now < self.none_idle_until {
            return admission;
        }
        let Unused { idle, closing } = unused();
        let needed = open.total - open.refused - limits.threshold;
        let max_closed = needed.min(limits.max_closing).saturating_sub(closing);
        let next = read_lag::time_until_idle(idle.iter().map(|(span, _)| *span));
        admission.close = read_lag::select_longest_idle(idle, max_closed).collect();
        if admission.close.len() < max_closed {
            self.none_idle_until = now + next;
        }
        admission.served = closing + admission.close.len() >= needed;
        admission
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> time::Duration {
        time::Duration::from_millis(ms)
    }

    fn open(total: usize, refused: usize) -> Open {
        Open { total, refused }
    }

    fn unused(idle: &[u64], closing: usize) -> Unused<u64> {
        Unused {
            idle: idle.iter().map(|span| (ms(*span), *span)).collect(),
            closing,
        }
    }

    fn gate() -> Gate {
        Gate::new(Some(Limits {
            threshold: 100,
            max_refused: 6,
            max_closing: 4,
            max_operators: 12,
            max_links: 25,
        }))
    }

    /// Guards against a reserve that takes more than a twentieth of a VM's callers, and against
    /// limits without room for the files of the process.
    #[test]
    fn the_lower_limit_holds_less_files_and_reserve() {
        let cfg = Config::default();
        let platform = cfg.limits(Some(4_100), Some(20_000)).unwrap();
        assert_eq!(platform.threshold, 3_705);
        assert_eq!((platform.max_refused, platform.max_closing), (65, 48));
        let process = cfg.limits(Some(100_000), Some(1_024)).unwrap();
        assert_eq!(process.threshold, 1_024 - 32 - 50);
        assert_eq!(cfg.limits(None, Some(1_024)), Some(process));
        assert_eq!(cfg.limits(Some(80), None).unwrap().threshold, 24);
        assert_eq!(cfg.limits(None, Some(0)), None);
        assert_eq!(cfg.limits(None, None), None);
        assert_eq!(Config { reserve: 0.0 }.limits(Some(4_100), None), None);
    }

    /// Guards against callers that are refused while idle connections hold descriptors.
    #[test]
    fn an_idle_connection_gives_its_place_to_a_new_one() {
        let mut gate = gate();
        let below = gate.admit(ms(0), open(100, 0), || -> Unused<u64> { unreachable!() });
        assert!(below.served);
        let admission = gate.admit(ms(0), open(101, 0), || unused(&[400, 900, 100], 0));
        assert_eq!((admission.served, admission.close), (true, vec![900]));
        let admission = gate.admit(ms(0), open(102, 0), || unused(&[400, 100], 1));
        assert_eq!((admission.served, admission.close), (true, vec![400]));
        // Refused connections leave by themselves.
        assert!(gate.admit(ms(0), open(104, 4), || unused(&[], 0)).served);
    }

    /// Guards against a search of all connections for each refusal.
    #[test]
    fn connections_are_refused_until_one_can_be_idle() {
        let mut gate = gate();
        assert!(!gate.admit(ms(0), open(101, 0), || unused(&[250], 0)).served);
        let search = || -> Unused<u64> { unreachable!() };
        assert!(!gate.admit(ms(49), open(101, 0), search).served);
        assert!(
            gate.admit(ms(50), open(101, 0), || unused(&[300], 0))
                .served
        );
    }

    /// Guards against closing connections that use up the reserve.
    #[test]
    fn few_connections_are_closed_at_a_time() {
        let idle = [500; 20];
        let admission = gate().admit(ms(0), open(110, 0), || unused(&idle, 1));
        assert_eq!((admission.served, admission.close.len()), (false, 3));
    }

    /// Guards against a crowd that keeps look-ups out, or takes the descriptors of callers.
    #[test]
    fn look_ups_take_the_place_of_the_one_that_is_unused_longest() {
        let gate = gate();
        let below = gate.admit_operator(12, || -> Unused<u64> { unreachable!() });
        assert!(below.served);
        let admission = gate.admit_operator(13, || unused(&[0, 1_900, 1_100], 3));
        assert_eq!((admission.served, admission.close), (true, vec![1_900]));
        assert!(!gate.admit_operator(14, || unused(&[1_900], 4)).served);
        assert!(!gate.admit_operator(13, || unused(&[], 0)).served);
        assert!(gate.has_too_many_links(25) && !gate.has_too_many_links(24));
    }

    /// Guards against callers that get no answer since others came a moment after them, and against
    /// connections without a request that hold all places for refusals.
    #[test]
    fn a_refused_connection_gives_its_place_only_after_a_while() {
        let gate = gate();
        let wait = NextRefusal::Wait(ms(40));
        assert_eq!(gate.next_refusal(5, Some(ms(900))), NextRefusal::Allowed);
        assert_eq!(gate.next_refusal(6, Some(ms(10))), wait);
        assert_eq!(gate.next_refusal(6, Some(ms(50))), NextRefusal::Displace);
    }
}
