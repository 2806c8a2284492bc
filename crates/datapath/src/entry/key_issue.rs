use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Response;
use serde::Serialize;
use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;

use crate::entry::Forwarder;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::CallFailure;

/// Path of requests for idempotency keys.
pub(crate) const KEYS_PATH: &str = "/tarragon/keys";

/// Response body to a request for idempotency keys.
#[derive(Debug, Serialize)]
struct IssuedKeys {
    service: String,
    keys: Vec<String>,
}

/// Issues idempotency keys whose owners are ready gates of a service in this node's data centre.
pub(crate) fn issue(
    forwarder: &Forwarder,
    query: Option<&str>,
) -> Result<Response<Body>, CallFailure> {
    let dependencies = &forwarder.dependencies;
    let (service, count) = parse_query(query.unwrap_or("")).ok_or(Reason::BadRequest)?;
    if count == 0 || count > dependencies.settings.max_issued_keys {
        return Err(Reason::BadRequest.into());
    }
    if !dependencies.catalogue.borrow().services().contains_key(service) {
        return Err(Reason::UnknownService.into());
    }
    let owners = ready_gates(forwarder, service);
    if owners.is_empty() {
        return Err(Reason::NoServer.into());
    }
    // The keys of one request are distributed over the gates. The first gate is random, so that
    // requests for a single key are distributed too.
    let start = rand::random_range(0..owners.len());
    let keys =
        owners.iter().cycle().skip(start).take(count as usize).map(|owner| {
            IdempotencyKey::Issued { owner: *owner, nonce: rand::random() }.to_string()
        });
    let issued_keys = IssuedKeys { service: service.to_string(), keys: keys.collect() };
    let text =
        serde_json::to_vec(&issued_keys).expect("strings and lists can be serialized as JSON");
    let mut response = Response::new(full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    Ok(response)
}

/// Ready gates of the service in this node's data centre.
fn ready_gates(forwarder: &Forwarder, service: &str) -> Vec<InstanceId> {
    let data_centre = &forwarder.dependencies.settings.data_centre;
    let members = forwarder.dependencies.members.borrow();
    let ready = members.iter().filter(|member| {
        member.service == service
            && member.state == BackendState::Ready
            && member.data_centre == *data_centre
    });
    ready.map(|member| member.instance).collect()
}

/// Parses the service and the number of keys from the query; the number defaults to 1.
fn parse_query(query: &str) -> Option<(&str, u32)> {
    let mut service = None;
    let mut count = 1;
    for pair in query.split('&') {
        match pair.split_once('=')? {
            ("service", value) => service = Some(value),
            ("count", value) => count = value.parse().ok()?,
            _ => return None,
        }
    }
    service.map(|service| (service, count))
}
