//! Customers: their keys, quotas, priorities and the regions in which their requests may run.
//!
//! Only the digest of a key is stored. Logs, errors, memory dumps and messages to other entry VMs
//! therefore cannot disclose a key. Finding the customer of a key costs the same with a hundred
//! customers and with a hundred thousand.

use std::collections;
use std::rc;

use sha2::Digest as _;

use crate::id;

/// Maximum length of a key that is looked up. The limit keeps an unauthenticated caller from causing
/// much hashing work with one long field.
pub const MAX_KEY_BYTES: usize = 256;

/// Truncated SHA-256 digest of a customer's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; Self::DIGEST_BYTES]);

impl KeyDigest {
    /// With 16 bytes, any two of a million keys collide with a probability of less than 1e-26.
    const DIGEST_BYTES: usize = 16;

    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let full_digest = sha2::Sha256::digest(key);
        let mut digest = [0; Self::DIGEST_BYTES];
        digest.copy_from_slice(&full_digest[..Self::DIGEST_BYTES]);
        Self(digest)
    }

    /// Parses lower-case hexadecimal text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = data_encoding::HEXLOWER.decode(text.as_bytes()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }

    /// Formats the digest as lower-case hexadecimal text.
    pub fn to_text(self) -> String {
        data_encoding::HEXLOWER.encode(&self.0)
    }
}

/// Limit on the requests that run for a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Additional requests allowed in a burst.
    pub burst: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name, which is sent to backend servers.
    pub name: id::CustomerId,
    /// Its priority, which overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Its quota over all entry VMs; `None`: unlimited.
    pub quota: Option<Quota>,
    /// Regions that may serve it; empty: all.
    pub regions: Vec<id::RegionId>,
}

/// Why a list of customers is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two customers share a key.
    #[error("customers `{0}` and `{1}` have a key in common; give each customer keys of its own")]
    SharedKey(id::CustomerId, id::CustomerId),
    /// Two customers share a name.
    #[error("customer `{0}` is listed twice; list it once with all of its keys")]
    DuplicateName(id::CustomerId),
}

/// All customers of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct Customers {
    by_key: collections::HashMap<KeyDigest, rc::Rc<Customer>>,
    all: collections::BTreeMap<id::CustomerId, rc::Rc<Customer>>,
    region_bound: RegionBoundShares,
    /// Mean rate of the quotas; 0 if no customer has one.
    mean_quota_per_s: f64,
}

/// Per region, the share of all customers' requests that must run there. The customers' quotas
/// serve as the estimate of their demand.
#[derive(Clone, Debug, Default)]
pub struct RegionBoundShares {
    shares: collections::BTreeMap<id::RegionId, f64>,
}

impl RegionBoundShares {
    fn of<'a>(customers: impl Iterator<Item = &'a Customer>) -> Self {
        let mut shares = collections::BTreeMap::new();
        let mut total_quota_per_s = 0.0;
        for customer in customers {
            let quota_per_s = customer.quota.map_or(0.0, |quota| quota.rate);
            total_quota_per_s += quota_per_s;
            for region in &customer.regions {
                *shares.entry(region.clone()).or_insert(0.0) +=
                    quota_per_s / customer.regions.len() as f64;
            }
        }
        shares
            .values_mut()
            .for_each(|share| *share /= total_quota_per_s.max(1.0));
        Self { shares }
    }

    /// The share that must run in `region`; 0 if the region is unknown.
    pub fn share(&self, region: Option<&id::RegionId>) -> f64 {
        region
            .and_then(|region| self.shares.get(region))
            .copied()
            .unwrap_or_default()
    }

    /// Formats all shares for logs.
    pub fn to_text(&self) -> String {
        let shares = self.shares.iter();
        let texts: Vec<String> = shares.map(|(r, share)| format!("{r} {share:.3}")).collect();
        texts.join(", ")
    }

    /// The share that is bound to any region.
    pub fn total(&self) -> f64 {
        self.shares.values().sum()
    }
}

impl Customers {
    /// Builds the list from customers and their keys, if any. Fails if two share a key or a name.
    pub fn new(
        customers: impl IntoIterator<Item = (Customer, Vec<KeyDigest>)>,
    ) -> Result<Self, Error> {
        let mut list = Self::default();
        for (customer, keys) in customers {
            list.add(rc::Rc::new(customer), &keys)?;
        }
        list.region_bound = RegionBoundShares::of(list.iter().map(|c| &**c));
        let rates: Vec<f64> = list.iter().filter_map(|c| Some(c.quota?.rate)).collect();
        list.mean_quota_per_s = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        Ok(list)
    }

    fn add(&mut self, customer: rc::Rc<Customer>, keys: &[KeyDigest]) -> Result<(), Error> {
        for key in keys {
            if let Some(other) = self.by_key.insert(*key, customer.clone())
                && other.name != customer.name
            {
                return Err(Error::SharedKey(other.name.clone(), customer.name.clone()));
            }
        }
        let name = customer.name.clone();
        match self.all.insert(name.clone(), customer) {
            Some(_) => Err(Error::DuplicateName(name)),
            None => Ok(()),
        }
    }

    /// Whether there are no customers. Callers then need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// All customers.
    pub fn iter(&self) -> impl Iterator<Item = &rc::Rc<Customer>> {
        self.all.values()
    }

    /// Whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.iter().any(|customer| customer.quota.is_some())
    }

    /// A customer's weight when capacity is short: its quota's rate, or the mean rate if it has none.
    pub fn weight(&self, customer: &Customer) -> f64 {
        customer
            .quota
            .map_or(self.mean_quota_per_s, |quota| quota.rate)
    }

    /// The shares of requests that are bound to regions.
    pub fn region_bound(&self) -> &RegionBoundShares {
        &self.region_bound
    }

    /// The customer that owns a key.
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&rc::Rc<Customer>> {
        self.by_key.get(&key)
    }
}
