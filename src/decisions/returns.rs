//! Schedules the retries of refused requests.
//!
//! Load pattern: for some seconds a service gets more requests than it can answer. A delay that
//! ignores the capacity sends refused callers back while there is still none; with one retry each,
//! they are lost, although capacity came up within their time. Callers that are refused together
//! also return together, as the next burst. The symptom is refusals in waves, retries refused as
//! often as first attempts, and urgent requests refused while less urgent ones are served.
//!
//! A [`Schedule`] counts the retries of one service that this VM promised, in steps of `STEP`. A
//! refused request gets the earliest step up to which all promises can be answered at the measured
//! rate of responses. Less urgent classes may fill only a part of that rate, so the rest is left to
//! the more urgent ones, which get earlier steps. The rate is that of this VM's own responses;
//! callers return to any VM, but all promises together do not exceed the responses of all VMs.
//!
//! When the rate falls, earlier promises exceed the capacity up to later steps. New ones then come
//! after them, and first attempts leave capacity to the retries that are due. A promise whose
//! caller does not come is forgotten after `GRACE_STEPS`, so that capacity does not stay unused.
//!
//! Callers wait for at most a part of their remaining time. If capacity is expected after that part
//! but in time, the retry is asked for earlier, when the fewest others come, and keeps its place in the
//! schedule. If it is expected too late, the refusal says so and no place is kept.

use std::time;

use super::{mode, policy, precedence, range, retry_delay, window};

/// Width of a step. A twentieth of a second holds one retry at 20 per second, and callers need about
/// as long to connect again.
const STEP: time::Duration = time::Duration::from_millis(50);

/// How far ahead retries are promised, in steps: 8 s. A third of the time of callers that state up
/// to 24 s ends before.
const AHEAD_STEPS: u64 = 160;

/// Past steps that are kept. Below one response in this many steps promises could exceed the rate.
const PAST_STEPS: u64 = 40;

/// Length of the ring of steps.
const RING: usize = (AHEAD_STEPS + PAST_STEPS) as usize;

/// Number of distinct classes of requests. Those behind share the last one.
pub const CLASSES: usize = 4;

/// For how many steps a promised retry is expected after its time. Connecting again takes a few
/// round trips; beyond that the caller has given up or returned to another VM.
const GRACE_STEPS: u64 = 3;

/// Span over which the rate is measured.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Steps of the window that show a fall of the rate: a quarter of it.
const RECENT_STEPS: usize = window::STEPS / 4;

/// Shortest time after the first response from which a rate follows.
const MIN_MEASURED: time::Duration = time::Duration::from_millis(250);

/// Thresholds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether refusals follow a schedule of returns.
    pub mode: mode::Mode,
    /// The share of the measured rate that is promised to retries of the most urgent class. The rest
    /// is left to first attempts, which otherwise would all be refused once in a lasting overload.
    pub share: f64,
    /// The factor on that share for each class behind the one before it.
    pub behind: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mode: mode::Mode::Auto,
            share: 0.8,
            behind: 0.75,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("returns.share", self.share, 0.05..=1.0)?;
        range::check("returns.behind", self.behind, 0.1..=1.0)
    }
}

/// The class of a request: 0 for the service's most urgent ones.
pub fn class_of(rank: u32, below_top_rank: bool) -> usize {
    match below_top_rank {
        true => (rank as usize).clamp(1, CLASSES - 1),
        false => 0,
    }
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Its class, see [`class_of`].
    pub class: usize,
    /// Whether it is a retry. Callers retry once, so no place is kept for another.
    pub is_retry: bool,
    /// Its remaining time.
    pub left: time::Duration,
    /// How long backend servers work on a request.
    pub service_time: time::Duration,
    /// How long no backend server accepts requests, as far as known.
    pub not_before: time::Duration,
    /// A random number from 0 to 1.
    pub jitter: f64,
}

/// The stated retry time of a refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// When to retry.
    pub after: time::Duration,
    /// Promised retries with capacity before this one.
    pub ahead: u32,
    /// The measured rate, in responses per second.
    pub rate: f64,
    /// Whether the schedule keeps capacity for it.
    pub kept: bool,
}

/// Expected retries per class in one step.
type Step = [u16; CLASSES];

fn slot(step: u64) -> usize {
    (step % RING as u64) as usize
}

fn step_of(at: policy::Moment) -> u64 {
    (at.as_nanos() / STEP.as_nanos()) as u64
}

/// The retries of one service that this VM promised.
#[derive(Clone, Debug)]
pub struct Schedule {
    responses: window::Counts,
    first_response: Option<policy::Moment>,
    /// Retries per step for which capacity is kept.
    promised: [u16; RING],
    /// Retries per step that were asked for, whenever their capacity is expected.
    coming: [u16; RING],
    /// Retries per step that have capacity then and have not come.
    expected: [Step; RING],
    /// The current step.
    step: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            responses: window::Counts::new(RATE_WINDOW),
            first_response: None,
            promised: [0; RING],
            coming: [0; RING],
            expected: [Step::default(); RING],
            step: 0,
        }
    }
}

impl Schedule {
    /// Records a response of a backend server.
    pub fn responded(&mut self, now: policy::Moment) {
        self.first_response.get_or_insert(now);
        self.responses.add(now, 1.0);
    }

    /// The rate of responses per second; `None` before one is measured.
    pub fn rate(&mut self, now: policy::Moment) -> Option<f64> {
        let measured = now.saturating_sub(self.first_response?);
        if measured < MIN_MEASURED {
            return None;
        }
        let mean = self.responses.sum(now) / measured.min(RATE_WINDOW).as_secs_f64();
        // Within a quarter of the window two standard deviations show a fall; fewer would follow
        // the noise of a low rate.
        let recent = self.responses.last(now, RECENT_STEPS);
        let share = RECENT_STEPS as f64 / window::STEPS as f64;
        let most = (recent + 2.0 * recent.max(1.0).sqrt()) / (share * RATE_WINDOW.as_secs_f64());
        Some(mean.min(most)).filter(|rate| *rate > 0.0)
    }

    /// Chooses when a refused request is retried; `None` without a measured rate.
    pub fn refused(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        refusal: &Refusal,
    ) -> Option<Promise> {
        let rate = self.rate(now)?;
        self.slide(now);
        let class = refusal.class.min(CLASSES - 1);
        let per_step = rate * STEP.as_secs_f64() * cfg.share * cfg.behind.powi(class as i32);
        let earliest = refusal.not_before.max(retry_delay::MIN_DELAY);
        let (step, ahead) = self.first_with_capacity(step_of(now + earliest) + 1, per_step);
        let nth =
            (f64::from(self.promised[slot(step)]) + refusal.jitter) / per_step.ceil().max(1.0);
        let at = STEP.mul_f64(step as f64 + nth.min(1.0));
        let expected = at.saturating_sub(now);
        let wait = refusal.left.mul_f64(retry_delay::MAX_DELAY_SHARE);
        let told = |after, kept| Promise {
            after,
            ahead,
            rate,
            kept,
        };
        let latest = refusal.left.saturating_sub(refusal.service_time);
        if refusal.is_retry || expected > latest || step > self.step + AHEAD_STEPS {
            return Some(told(expected, false));
        }
        let promised = &mut self.promised[slot(step)];
        *promised = promised.saturating_add(1);
        if expected > wait {
            let first = step_of(now + earliest) + 1;
            let step = self.quietest(first, step_of(now + wait));
            self.comes(step);
            let at = STEP.mul_f64(step as f64 + refusal.jitter);
            return Some(told(at.saturating_sub(now).min(wait), true));
        }
        self.comes(step);
        let expecting = &mut self.expected[slot(step)][class];
        *expecting = expecting.saturating_add(1);
        Some(told(expected, true))
    }

    /// The step in which the fewest retries come; the earliest of several.
    fn quietest(&self, first: u64, last: u64) -> u64 {
        let last = last.clamp(first, self.step + AHEAD_STEPS);
        let quietest = (first..last).min_by_key(|step| self.coming[slot(*step)]);
        quietest.unwrap_or(first)
    }

    fn comes(&mut self, step: u64) {
        let coming = &mut self.coming[slot(step)];
        *coming = coming.saturating_add(1);
    }

    /// The first step up to which, and up to each later one, the promises and one more fit, and the
    /// number of promises before it. Without one, the step after the last.
    fn first_with_capacity(&self, first: u64, per_step: f64) -> (u64, u32) {
        // Below one per step a place follows from several steps, and past promises count.
        let past = ((1.0 / per_step.max(f64::MIN_POSITIVE)).ceil() as u64).saturating_sub(1);
        let base = first.saturating_sub(past.min(first + PAST_STEPS - self.step - 1));
        let last = self.step + AHEAD_STEPS;
        let (mut sum, mut found, mut ahead) = (0, first, 0);
        for step in base..=last {
            sum += u32::from(self.promised[slot(step)]);
            let fits = f64::from(sum + 1) <= per_step * (step - base + 1) as f64 + 1e-9;
            if step >= first && !fits {
                (found, ahead) = (step + 1, sum);
            }
        }
        (found, ahead)
    }

    /// Records that a retry came. It takes the place of the longest expected one of its class.
    pub fn retry_came(&mut self, now: policy::Moment, class: usize) {
        self.slide(now);
        let class = class.min(CLASSES - 1);
        for step in self.due() {
            let count = &mut self.expected[slot(step)][class];
            if *count > 0 {
                *count -= 1;
                return;
            }
        }
    }

    /// The most urgent of the promised retries that are due and have not come.
    pub fn expected(&mut self, now: policy::Moment) -> Option<precedence::Claim> {
        self.slide(now);
        let class = self
            .due()
            .filter_map(|step| self.expected[slot(step)].iter().position(|n| *n > 0))
            .min()?;
        Some(precedence::Claim::retry(class))
    }

    /// The steps whose retries may come now. The next one counts, since capacity must be free when
    /// its retries come.
    fn due(&self) -> std::ops::RangeInclusive<u64> {
        self.step.saturating_sub(GRACE_STEPS)..=self.step + 1
    }

    /// Clears the steps that come within reach.
    fn slide(&mut self, now: policy::Moment) {
        let step = step_of(now);
        let passed = step.saturating_sub(self.step).min(RING as u64);
        self.step = self.step.max(step);
        for back in 0..passed {
            let cleared = slot(self.step + AHEAD_STEPS - back);
            self.promised[cleared] = 0;
            self.coming[cleared] = 0;
            self.expected[cleared] = Step::default();
        }
    }
}
