use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::check::Mistake;
use crate::configuration::CallerLimits;
use crate::configuration::Route;
use crate::configuration::ServiceLimits;

/// Maximum time limit of a route, in ms.
const MAX_TIME_LIMIT_MS: u64 = 600_000;

/// Excess of a route's objective over its time limit that can only be a mistake, in ms.
const MAX_OBJECTIVE_EXCESS_MS: u64 = 60_000;

/// The complete set of routes, as operators submit it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with every accepted configuration, not always by one.
    pub version: u64,
    /// Version that the configuration replaces; 0 for the first one.
    pub base_version: u64,
    /// Routes, ordered by host and path prefix.
    routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<ServiceLimits>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Submitted text, which is returned unchanged to operators. Empty on a node's copy.
    pub document: String,
}

impl Configuration {
    /// Creates a configuration and sorts its routes.
    pub fn new(
        (version, base_version): (u64, u64),
        mut routes: Vec<Route>,
        services: Vec<ServiceLimits>,
        limits: CallerLimits,
        document: String,
    ) -> Self {
        routes.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        Self { version, base_version, routes, services, limits, document }
    }

    /// Routes, ordered by host and path prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns a copy for nodes, which do not need the document.
    pub fn without_document(&self) -> Self {
        let Self { version, base_version, routes, services, limits, .. } = self.clone();
        Self { version, base_version, routes, services, limits, document: String::new() }
    }

    /// Finds the route of a request: among the routes of its host, the one with the longest path
    /// prefix that matches.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = path.rmatch_indices('/').map(|(index, _)| &path[..=index]);
        prefixes.into_iter().find_map(|prefix| {
            let index =
                self.routes.binary_search_by(|route| sort_key(route).cmp(&(host, prefix))).ok()?;
            self.routes.get(index)
        })
    }

    /// Digest by which a repeated submission is recognised. It covers the document as well, because an
    /// operator reads back fields that no node uses. The order of keys and white space in JSON make
    /// no difference.
    pub fn digest(&self) -> [u8; 16] {
        let content = serde_json::to_vec(&self.without_document());
        // A parsed object has its keys in order.
        let parsed = serde_json::from_str::<serde_json::Value>(&self.document);
        let document = parsed.map_or_else(|_| self.document.clone(), |value| value.to_string());
        let hash = blake3::Hasher::new()
            .update(&content.expect("a configuration is valid JSON"))
            .update(document.as_bytes())
            .finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash.as_bytes()[..16]);
        digest
    }

    /// Returns every mistake in the content. The version is checked by the catalogue, which has the
    /// current one.
    pub fn mistakes(&self) -> Vec<Mistake> {
        let mut mistakes = Vec::new();
        let service_names: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        for pair in self.routes.windows(2).filter(|pair| sort_key(&pair[0]) == sort_key(&pair[1])) {
            let message = format!("has the host and path prefix of route '{}'", pair[0].name);
            mistakes.push(Mistake::new(json_path_of(&pair[1]), message));
        }
        for route in &self.routes {
            let mut add =
                |message: String| mistakes.push(Mistake::new(json_path_of(route), message));
            for target in
                route.targets.iter().filter(|t| !service_names.contains(t.service.as_str()))
            {
                add(format!("unknown service '{}'", target.service));
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                add("no target has a weight".into());
            }
            if route.time_limit_ms == 0 || route.time_limit_ms > MAX_TIME_LIMIT_MS {
                add(format!("the time limit must be 1 to {MAX_TIME_LIMIT_MS} ms"));
            }
            if route.objective_ms >= route.time_limit_ms.saturating_add(MAX_OBJECTIVE_EXCESS_MS) {
                add("the objective is far above the time limit".into());
            }
            if route.max_attempts == 0 {
                add("at least one attempt is needed".into());
            }
        }
        mistakes
    }
}

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

fn json_path_of(route: &Route) -> String {
    format!("$.routes.{}", route.name)
}
