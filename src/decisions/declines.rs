//! Detects a service whose backend servers refuse requests although they have free slots.
//!
//! Load pattern: a fault behind a service makes all its backend servers refuse part of their
//! requests, whether busy or idle. If each refusal counts as overload, it pauses a backend server
//! and lowers its limit, and soon most requests find none that accepts them. The symptom is
//! refusals for lack of room while slots are free.
//!
//! A refusal that reports free slots and an empty queue is not overload. If one of many backend
//! servers sends such refusals, pausing it is right, because others answer. If most do, pausing
//! them only removes capacity, and the next one is as likely to answer as any other.
//!
//! A fault may also make all of them refuse a smaller part, such as a fifth. Then each answers most of
//! its requests, while a few broken ones refuse nearly all of theirs. So with a lower ratio, refusals
//! are attributed to the service if most come from backend servers whose previous send was answered.

/// The weight of one send in the moving average, which covers about the last twenty sends.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The weight of one refusal in the moving average of those between answers.
const REFUSAL_WEIGHT: f64 = 0.2;

/// The ratio of refusals despite room above which they are attributed to the service and not to
/// single backend servers. A third: operators replace at most that many at once.
const SERVICE_WIDE_RATIO: f64 = 0.33;

/// The ratio above which refusals between answers are attributed to the service, and the one below
/// which they no longer are. Apart, since a ratio of a fifth varies by half in twenty sends.
const PARTIAL_RATIO: f64 = 0.1;
const PARTIAL_END_RATIO: f64 = 0.03;

/// The share of refusals that come between answers of the same backend server, above which and below
/// which they are attributed to the service.
const BETWEEN_ANSWERS_SHARE: f64 = 0.5;
const BETWEEN_ANSWERS_END_SHARE: f64 = 0.3;

/// The ratio of a service's sends that are refused although there is room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Declines {
    ratio: f64,
    /// The share of refusals by backend servers whose previous send was answered.
    between_answers: f64,
    is_partial: bool,
}

impl Declines {
    /// Records a send that was answered, or refused despite room. `answered_before` is whether the
    /// previous send to the same backend server was answered.
    pub fn sent(&mut self, declined: bool, answered_before: bool) {
        let number = |is: bool| f64::from(u8::from(is));
        self.ratio += (number(declined) - self.ratio) * SAMPLE_WEIGHT;
        if declined {
            let change = number(answered_before) - self.between_answers;
            self.between_answers += change * REFUSAL_WEIGHT;
        }
        let (ratio, share) = match self.is_partial {
            true => (PARTIAL_END_RATIO, BETWEEN_ANSWERS_END_SHARE),
            false => (PARTIAL_RATIO, BETWEEN_ANSWERS_SHARE),
        };
        self.is_partial = self.ratio > ratio && self.between_answers > share;
    }

    /// Whether refusals despite room affect the service as a whole.
    pub fn is_service_wide(&self) -> bool {
        self.is_partial || self.ratio > SERVICE_WIDE_RATIO
    }
}
