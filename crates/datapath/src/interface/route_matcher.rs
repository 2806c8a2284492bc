use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::Route;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::WeightedRoundRobin;

use crate::interface::InboundRequest;
use crate::transport::CallFailure;

/// Attributes of a request that routes are matched against.
#[derive(Debug, Clone, Copy)]
pub struct RoutedRequest<'a> {
    /// Request id that the caller sent, for logs.
    pub caller_request_id: &'a str,
    /// Host name of the request, without the port.
    pub host: &'a str,
    /// Path of the request, without the query.
    pub path: &'a str,
    /// Time until the caller stops waiting, in ms, if the request states it.
    pub deadline_ms: Option<u64>,
}

/// Identifier of a route that is the same at all nodes: the first 4 bytes of the hash of its name.
/// Run times of routes whose hashes collide are measured together.
fn route_kind(route: &Route) -> u32 {
    let hash = blake3::hash(route.name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Matches requests to routes and derives their attributes from the matching route.
#[derive(Debug, Default)]
pub struct RouteMatcher {
    /// Weighted splits of the routes with several targets, by route name.
    splits: Mutex<HashMap<String, WeightedRoundRobin>>,
}

impl RouteMatcher {
    /// Matches a request to the routes of the configuration in force.
    ///
    /// # Errors
    /// `NotReady` if there is no configuration yet, `UnknownOperation` if no route matches.
    pub fn read_request(
        &self,
        request: &RoutedRequest<'_>,
        catalogue: &Catalogue,
    ) -> Result<InboundRequest, CallFailure> {
        let configuration = catalogue.configuration().ok_or(Reason::NotReady)?;
        let host = request.host.to_ascii_lowercase();
        let route = configuration.find_route(&host, request.path);
        let route = route.ok_or(Reason::UnknownOperation)?;
        let now = Instant::now();
        let default_deadline = now + Duration::from_millis(route.time_limit_ms);
        let caller_deadline = request.deadline_ms.map(|ms| now + Duration::from_millis(ms));
        Ok(InboundRequest {
            service: self.choose_target(route, configuration).to_string(),
            caller_request_id: request.caller_request_id.to_string(),
            calling_service: String::new(),
            rank: route.rank,
            lowest_rank: route.rank,
            is_idempotent: route.repeat.is_idempotent(),
            class: if route.repeat.is_large() { WorkClass::Long } else { WorkClass::Short },
            requested_deadline: Some(
                caller_deadline.map_or(default_deadline, |at| at.min(default_deadline)),
            ),
            caller_deadline,
            default_deadline,
            key: None,
            max_attempts: Some(route.max_attempts),
            kind: route_kind(route),
            revision: catalogue.revision(),
            max_body_bytes: configuration.limits.max_body_bytes,
        })
    }

    /// Chooses the service that receives the next request of a route.
    fn choose_target<'a>(&self, route: &'a Route, configuration: &Configuration) -> &'a str {
        let [target] = route.targets.as_slice() else {
            let mut splits = self.splits.lock().expect("no thread panics while it holds the lock");
            if splits.len() > configuration.routes().len() {
                // The splits of removed routes are still in the map.
                splits.clear();
            }
            let weights = route.targets.iter().map(|target| target.weight);
            let split = splits.entry(route.name.clone()).or_default();
            let at = split.next(weights);
            return route.targets.get(at).map_or("", |target| target.service.as_str());
        };
        &target.service
    }
}
