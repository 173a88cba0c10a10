//! Routes: which service gets a request, and its timeout, attempts, priority and regions.
//!
//! A configuration is one version of all routes, services and limits. It is replaced as a whole, and
//! only by a later version, so that no request is handled with a mixture of two versions.

use std::collections;
use std::rc;
use std::time;

use super::customers;
use crate::decisions::split;
use crate::id;

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, used in logs.
    pub name: String,
    /// The host that it serves, in lower case, without a port.
    pub host: String,
    /// Prefix of the paths that it serves; ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets an answer.
    pub timeout: time::Duration,
    /// Latency within which an answer has its full value.
    pub latency_target: time::Duration,
    /// Maximum number of backend servers at which one request may run.
    pub attempts: u32,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Whether it serves callers that have no key.
    pub public: bool,
    /// Whether backend servers answer faster for an object that they handled recently (affinity).
    pub sticky: bool,
    /// The services, with their weights.
    pub parts: Vec<split::Part>,
    /// Regions that may serve it; empty: all.
    pub regions: Vec<id::RegionId>,
}

/// Why the parts of a route cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PartsError {
    /// There are none.
    #[error("route `{0}` names no service; give it one, or services with weights")]
    NoService(String),
    /// No shares follow from the weights.
    #[error(
        "the weights of route `{0}` give no shares; none may be negative, and one must be above 0"
    )]
    Weights(String),
}

impl Route {
    /// Returns the route, or an error if no part can be chosen for a request.
    pub fn checked(self) -> Result<Self, PartsError> {
        if self.parts.is_empty() {
            return Err(PartsError::NoService(self.name));
        }
        let is_valid = |part: &split::Part| part.weight >= 0.0 && part.weight.is_finite();
        let has_share = self.parts.iter().any(|part| part.weight > 0.0);
        match has_share && self.parts.iter().all(is_valid) {
            true => Ok(self),
            false => Err(PartsError::Weights(self.name)),
        }
    }

    /// Priority of a request of `customer` on this route; 0 is the highest.
    pub fn rank(&self, customer: Option<&customers::Customer>) -> u32 {
        customer.and_then(|c| c.priority).unwrap_or(self.priority)
    }
}

/// The regions in which a request may run: those that both its route and its customer allow.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowedRegions<'a> {
    /// Regions that the route allows; empty: all.
    pub route: &'a [id::RegionId],
    /// Regions that the customer allows; empty: all.
    pub customer: &'a [id::RegionId],
}

impl AllowedRegions<'_> {
    /// Whether the request may run in every region.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.customer.is_empty()
    }

    /// Whether the request may run in `region`. `None` allows only unrestricted requests.
    pub fn includes(&self, region: Option<&id::RegionId>) -> bool {
        let names = |list: &[id::RegionId]| {
            list.is_empty() || region.is_some_and(|region| list.contains(region))
        };
        names(self.route) && names(self.customer)
    }
}

/// A service that routes can name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: id::ServiceId,
    /// Requests per second that a backend server with a cold cache can handle.
    pub cold_requests_per_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum length of a head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time until a head has arrived.
    pub head_timeout: time::Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    /// Limits used until the first configuration is loaded. They match those of common servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// One version of all routes, services and limits.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version. A larger number is a later version.
    pub version: u64,
    /// The services by name.
    pub services: collections::HashMap<id::ServiceId, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The customers. If there are none, every caller is served without a key.
    pub customers: customers::Customers,
    by_host: collections::HashMap<String, collections::HashMap<String, rc::Rc<Route>>>,
    /// The highest and the lowest priority among the requests of each service.
    rank_bounds: collections::HashMap<id::ServiceId, (u32, u32)>,
}

impl Table {
    /// Builds a version without customers.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: collections::HashMap<_, collections::HashMap<_, _>> =
            collections::HashMap::new();
        for mut route in routes {
            // An object keeps its part whatever order operators write the parts in.
            route.parts.sort_by(|a, b| a.service.cmp(&b.service));
            by_host
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), rc::Rc::new(route));
        }
        Self {
            version,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            limits,
            customers: customers::Customers::default(),
            by_host,
            rank_bounds: collections::HashMap::new(),
        }
        .with_rank_bounds()
    }

    /// Returns this version with the given customers.
    pub fn with_customers(self, customers: customers::Customers) -> Self {
        Self { customers, ..self }.with_rank_bounds()
    }

    /// Computes the priorities among the requests of each service.
    fn with_rank_bounds(mut self) -> Self {
        let mut bounds: collections::HashMap<id::ServiceId, (u32, u32)> =
            collections::HashMap::new();
        for route in self.routes() {
            let (top, lowest) = self.ranks(route);
            for part in &route.parts {
                let known = bounds.entry(part.service.clone()).or_insert((top, lowest));
                *known = (top.min(known.0), lowest.max(known.1));
            }
        }
        self.rank_bounds = bounds;
        self
    }

    /// The highest and the lowest priority among a route's requests.
    fn ranks(&self, route: &Route) -> (u32, u32) {
        let own = (route.priority, route.priority);
        if !self.needs_key(route) {
            return own;
        }
        let ranks = self.customers.iter().map(|c| route.rank(Some(c)));
        let bounds = |known: Option<(u32, u32)>, rank: u32| {
            let (top, lowest) = known.unwrap_or((rank, rank));
            Some((top.min(rank), lowest.max(rank)))
        };
        ranks.fold(None, bounds).unwrap_or(own)
    }

    /// Whether a route serves only callers that have a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.customers.is_empty()
    }

    /// Whether a service also has requests of a higher priority than `rank`.
    pub fn is_below_top_rank(&self, rank: u32, service: &id::ServiceId) -> bool {
        self.rank_bounds
            .get(service)
            .is_some_and(|(top, _)| rank > *top)
    }

    /// Whether a service has requests of different priorities.
    pub fn has_several_ranks(&self, service: &id::ServiceId) -> bool {
        self.rank_bounds
            .get(service)
            .is_some_and(|(top, lowest)| top < lowest)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(|routes| routes.len()).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &rc::Rc<Route>> {
        self.by_host.values().flat_map(|routes| routes.values())
    }

    /// The route of exactly this host and prefix.
    pub fn at(&self, host: &str, prefix: &str) -> Option<&rc::Rc<Route>> {
        self.by_host.get(host)?.get(prefix)
    }

    /// Selects the route of a host with the longest matching path prefix. Prefixes end with a slash,
    /// so one look-up per slash of the path suffices, from the last to the first. The cost does not
    /// depend on the number of routes.
    pub fn select(&self, host: &str, path: &str) -> Option<&rc::Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}
