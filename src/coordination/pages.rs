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
const PAGES: f64 = 2.0;

/// The most ranges that are read in parallel.
const MOST: usize = 32;

/// How many digits of a key determine where a range starts.
const DIGITS: usize = 4;

/// The starts of further ranges, given the sorted keys of the first page. Each range holds the keys
/// after its start, up to and including the next start. Empty: one range holds the rest.
pub fn beginnings(prefix: &str, page: &[&str]) -> Vec<String> {
    let Some(drawn) = Drawn::of(prefix, page) else {
        return Vec::new();
    };
    let covered = drawn.part_of(page[page.len() - 1]);
    if covered <= 0.0 {
        return Vec::new();
    }
    let pages = 1.0 / covered - 1.0;
    let ranges = ((pages / PAGES) as usize).min(MOST);
    (1..ranges)
        .map(|n| drawn.key_at(covered + (1.0 - covered) * n as f64 / ranges as f64))
        .collect()
}

/// A key space: keys with a common stem followed by random digits.
struct Drawn<'a> {
    /// The common stem.
    stem: &'a str,
    /// The digits, in ascending order.
    digits: Vec<u8>,
}

impl<'a> Drawn<'a> {
    /// Infers the key space from a page. `None` if the page has too few keys.
    fn of(prefix: &str, page: &[&'a str]) -> Option<Self> {
        let (first, last) = (*page.first()?, *page.last()?);
        let alike = common(first, last);
        let mut digits: Vec<u8> = page
            .iter()
            .flat_map(|key| key.bytes().skip(alike))
            .collect();
        digits.sort_unstable();
        digits.dedup();
        if digits.len() < 2 || !digits.is_ascii() {
            return None;
        }
        // On a page that covers a small share of the keys, the first random digits are equal, too.
        let behind = first.as_bytes()[..alike].iter().rev();
        let shared = behind.take_while(|byte| digits.contains(byte)).count();
        let stem = first.get(..alike.saturating_sub(shared).max(prefix.len()))?;
        Some(Self { stem, digits })
    }

    /// The share of the key space before a key.
    fn part_of(&self, key: &str) -> f64 {
        let base = self.digits.len() as f64;
        let rest = key.bytes().skip(self.stem.len()).take(DIGITS);
        let places = rest.map(|byte| self.digits.partition_point(|d| *d < byte));
        let scales = (1..).map(|n| base.powi(-n));
        places.zip(scales).map(|(d, s)| d as f64 * s).sum()
    }

    /// The key that has this share of the key space before it.
    fn key_at(&self, part: f64) -> String {
        let base = self.digits.len();
        let mut left = part;
        let mut key = self.stem.to_owned();
        for _ in 0..DIGITS {
            left *= base as f64;
            let digit = (left as usize).min(base - 1);
            left -= digit as f64;
            key.push(char::from(self.digits[digit]));
        }
        key
    }
}

/// The length of the common prefix of two keys, in bytes.
fn common(a: &str, b: &str) -> usize {
    a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count()
}
