//! Split routes: chooses the service of each request, and logs weights and shares.

use std::collections;

use super::Gateway;
use super::facts::Facts;
use crate::decisions::affinity;
use crate::id;
use crate::protocol::routes;

/// The requests of a route whose parts get the route's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestGroup {
    /// The hash of the route's host and prefix. Names needn't be unique.
    route: u64,
    /// Whether they may run in some regions only. Else the busy objects of a customer with homes
    /// would fill one part, and all other customers would get the other.
    is_homed: bool,
}

impl RequestGroup {
    fn of(route: &routes::Route, homes: routes::AllowedRegions<'_>) -> Self {
        Self {
            route: hash_of(route),
            is_homed: !homes.is_unrestricted(),
        }
    }
}

impl Gateway {
    /// The service that serves a request, chosen by the weights of the route's parts.
    pub(super) fn service_for(&self, facts: &Facts) -> id::ServiceId {
        let route = &facts.route;
        if let ([only], None) = (route.parts.as_slice(), facts.key) {
            return only.service.clone();
        }
        // Requests for objects count also while the route isn't split, so that the shares are right
        // from its first request as a split one.
        let mut splits = self.splits.borrow_mut();
        let group = RequestGroup::of(route, facts.homes());
        let split = splits.entry(group).or_default();
        let part = split.pick(&route.parts, facts.key, self.jitter());
        route.parts[part].service.clone()
    }

    /// Drops what is known of routes that a version no longer has.
    pub(super) fn forget_removed_routes(&self, table: &routes::Table) {
        let hashes: collections::HashSet<u64> = table.routes().map(|r| hash_of(r)).collect();
        let mut splits = self.splits.borrow_mut();
        splits.retain(|group, _| hashes.contains(&group.route));
    }

    /// This VM's shares of the parts of a request's route as text; empty if the route is not split.
    pub(super) fn shares_text(&self, facts: &Facts) -> String {
        let route = &facts.route;
        if route.parts.len() < 2 {
            return String::new();
        }
        let splits = self.splits.borrow();
        let Some(split) = splits.get(&RequestGroup::of(route, facts.homes())) else {
            return String::new();
        };
        let services = route.parts.iter().map(|part| &part.service);
        join_values(services.zip(split.shares()))
    }

    /// Logs the weights of the split routes that differ between two versions.
    pub(super) fn log_changed_weights(
        &self,
        before: Option<&routes::Table>,
        after: &routes::Table,
    ) {
        for route in after.routes() {
            let old = before.and_then(|table| table.at(&route.host, &route.prefix));
            let was_split = old.is_some_and(|old| old.parts.len() > 1);
            let is_same = old.is_some_and(|old| old.parts == route.parts);
            if is_same || !(was_split || route.parts.len() > 1) {
                continue;
            }
            let Some(left_out) = self.log_limiter.admit("weights", self.now()) else {
                continue;
            };
            slog::info!(self.log, "weights of a route"; "route" => &route.name, "version" => after.version,
                "weights" => weights_text(route), "before" => old.map(|old| weights_text(old)), "left_out" => left_out);
        }
    }
}

/// Identifies a route over all versions.
fn hash_of(route: &routes::Route) -> u64 {
    affinity::mix(
        affinity::hash(route.host.as_bytes()),
        affinity::hash(route.prefix.as_bytes()),
    )
}

fn weights_text(route: &routes::Route) -> String {
    join_values(route.parts.iter().map(|part| (&part.service, part.weight)))
}

/// Formats values by service, as in `a=0.9,b=0.1`.
fn join_values<'a>(values: impl Iterator<Item = (&'a id::ServiceId, f64)>) -> String {
    let texts = values.map(|(service, value)| format!("{service}={:.3}", value));
    texts.collect::<Vec<_>>().join(",")
}
