use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::RepeatRule;
use tarragon_model::configuration::Route;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::WeightedRoundRobin;

use crate::interface::InboundRequest;
use crate::transport::CallFailure;

/// What a request says of itself where routes decide about it.
#[derive(Debug, Clone, Copy)]
pub struct RoutedRequest<'a> {
    /// Identifier that the caller gave it.
    pub caller_request_id: &'a str,
    /// Host that it names, without a port.
    pub host: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Time that the caller waits, in ms, if it says so.
    pub deadline_ms: Option<u64>,
}

/// Number by which all nodes know a route. Routes that share one by chance are learnt together.
fn kind_of(route: &Route) -> u32 {
    let hash = blake3::hash(route.name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Finds the route of requests and what follows from it.
#[derive(Debug, Default)]
pub struct RouteMatcher {
    /// Splits of the routes with several targets, by the name of the route.
    splits: Mutex<HashMap<String, WeightedRoundRobin>>,
}

impl RouteMatcher {
    /// Reads a request by the routes of the whole configuration in force.
    ///
    /// # Errors
    /// `NotReady` if there is no configuration yet, `UnknownOperation` if no route fits.
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
        let asked = request.deadline_ms.map(|ms| now + Duration::from_millis(ms));
        let is_large = route.repeat == RepeatRule::AtMostOnceLarge;
        Ok(InboundRequest {
            service: self.target(route, configuration).to_string(),
            caller_request_id: request.caller_request_id.to_string(),
            rank: route.rank,
            lowest_rank: route.rank,
            is_idempotent: route.repeat.is_idempotent(),
            class: if is_large { WorkClass::Long } else { WorkClass::Short },
            requested_deadline: Some(
                asked.map_or(default_deadline, |asked| asked.min(default_deadline)),
            ),
            caller_deadline: asked,
            default_deadline,
            key: None,
            max_attempts: Some(route.max_attempts),
            kind: kind_of(route),
            revision: catalogue.revision(),
            max_body_bytes: configuration.limits.max_body_bytes,
        })
    }

    /// The service that takes the next request of a route.
    fn target<'a>(&self, route: &'a Route, configuration: &Configuration) -> &'a str {
        let [target] = route.targets.as_slice() else {
            let mut splits = self.splits.lock().expect("no holder of the lock panics");
            if splits.len() > configuration.routes().len() {
                // Routes that were removed leave their splits behind.
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
