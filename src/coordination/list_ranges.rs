//! Splits a long list of keys into ranges that are read in parallel.
//!
//! Load: the store returns a list of ten thousand entries in pages of a few hundred, and each page
//! costs a round trip. From another region, reading the pages in sequence takes seconds; after the
//! loss of all VMs, callers are refused for that long.
//!
//! The last key of the first page shows which share of the key space the page covers, because
//! random keys are spread evenly. The remaining key space is cut into ranges of about equal size. A
//! list with uneven keys is also read completely, in ranges of unequal size.

/// The least number of pages per range, on average.
const MIN_PAGES_PER_RANGE: f64 = 2.0;

/// The most ranges that are read in parallel.
const MAX_RANGES: usize = 32;

/// How many digits of a key determine where a range starts.
const RANGE_START_DIGITS: usize = 4;

/// The starts of further ranges, given the sorted keys of the first page. Each range holds the keys
/// after its start, up to and including the next start. Empty: one range holds the rest.
pub fn range_starts(prefix: &str, page: &[&str]) -> Vec<String> {
    let Some(key_space) = KeySpace::infer(prefix, page) else {
        return Vec::new();
    };
    let covered = key_space.share_before(page[page.len() - 1]);
    if covered <= 0.0 {
        return Vec::new();
    }
    let pages = 1.0 / covered - 1.0;
    let ranges = ((pages / MIN_PAGES_PER_RANGE) as usize).min(MAX_RANGES);
    (1..ranges)
        .map(|n| key_space.key_at(covered + (1.0 - covered) * n as f64 / ranges as f64))
        .collect()
}

/// A key space: keys with a common prefix (`stem`) and random digits.
struct KeySpace<'a> {
    /// The common prefix of all keys.
    stem: &'a str,
    /// The digits, in ascending order.
    digits: Vec<u8>,
}

impl<'a> KeySpace<'a> {
    /// Infers the key space from a page. `None` if the page has too few keys.
    fn infer(prefix: &str, page: &[&'a str]) -> Option<Self> {
        let (first, last) = (*page.first()?, *page.last()?);
        let common_len = common_prefix_len(first, last);
        let mut digits: Vec<u8> = page
            .iter()
            .flat_map(|key| key.bytes().skip(common_len))
            .collect();
        digits.sort_unstable();
        digits.dedup();
        if digits.len() < 2 || !digits.is_ascii() {
            return None;
        }
        // On a page with a small share, the first digits may be equal; the stem excludes them.
        let stem_end = first.as_bytes()[..common_len].iter().rev();
        let shared_digits = stem_end.take_while(|byte| digits.contains(byte)).count();
        let stem = first.get(..common_len.saturating_sub(shared_digits).max(prefix.len()))?;
        Some(Self { stem, digits })
    }

    /// The share of the key space before a key.
    fn share_before(&self, key: &str) -> f64 {
        let base = self.digits.len() as f64;
        let rest = key.bytes().skip(self.stem.len()).take(RANGE_START_DIGITS);
        let places = rest.map(|byte| self.digits.partition_point(|d| *d < byte));
        let scales = (1..).map(|n| base.powi(-n));
        places.zip(scales).map(|(d, s)| d as f64 * s).sum()
    }

    /// The key that has this share of the key space before it.
    fn key_at(&self, share: f64) -> String {
        let base = self.digits.len();
        let mut rest = share;
        let mut key = self.stem.to_owned();
        for _ in 0..RANGE_START_DIGITS {
            rest *= base as f64;
            let digit = (rest as usize).min(base - 1);
            rest -= digit as f64;
            key.push(char::from(self.digits[digit]));
        }
        key
    }
}

/// The length of the common prefix of two keys, in bytes.
fn common_prefix_len(a: &str, b: &str) -> usize {
    a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count()
}
