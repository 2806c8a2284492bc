use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tarragon_model::call::headers;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;

use crate::gate::GateResponse;
use crate::peer::peer_body::PeerBody;
use crate::peer::peer_connection::parse_advice;
use crate::peer::peer_connection::parse_notice;
use crate::peer::peer_connection::PeerConnection;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::CallFailure;

pub(super) fn parse_number(map: &HeaderMap, name: HeaderName) -> Option<u64> {
    map.get(name)?.to_str().ok()?.parse().ok()
}

pub(super) fn parse_outcome(map: &HeaderMap) -> Option<Outcome> {
    map.get(headers::OUTCOME)?.to_str().ok()?.parse().ok()
}

/// Converts the HTTP response of a peer to the result of its gate. Of its body nothing is expected after
/// `last_wait`.
pub(super) fn read_gate_response(
    response: Response<Incoming>,
    connection: Arc<PeerConnection>,
    last_wait: Instant,
) -> GateResponse {
    let advice = parse_advice(&response);
    let (mut parts, incoming) = response.into_parts();
    let run_time = parts.headers.get(headers::RUN_TIME);
    let run_time = run_time.and_then(|value| value.to_str().ok()?.parse().ok());
    let notice = parse_notice(&parts.headers);
    let unused_tokens = parse_number(&parts.headers, headers::RETRY_TOKENS);
    let unused_tokens = unused_tokens.and_then(|n| u32::try_from(n).ok()).unwrap_or(0);
    let reason = parts.headers.get(headers::REASON).and_then(|value| value.to_str().ok());
    let reason: Option<Reason> = reason.and_then(|text| text.parse().ok());
    let result = match (parse_outcome(&parts.headers), reason) {
        (Some(Outcome::Answered), _) => {
            strip_hop_headers(&mut parts.headers);
            strip_tarragon_headers(&mut parts.headers);
            let body = PeerBody::new(incoming, connection, last_wait);
            Ok(Response::from_parts(parts, body.boxed_unsync()))
        }
        (Some(_), Some(reason)) => {
            let retry_after_ms = parse_number(&parts.headers, headers::RETRY_AFTER_MS).unwrap_or(0);
            Err(CallFailure { reason, status: parts.status, retry_after_ms })
        }
        _ => Err(Reason::BadAnswer.into()),
    };
    GateResponse { result, unused_tokens, advice, run_time, notice }
}
