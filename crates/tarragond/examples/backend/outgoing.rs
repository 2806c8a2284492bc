use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tarragon_model::call::headers;

use crate::args::Args;

/// Copies the headers of a received request that a backend server must pass on in its outgoing
/// calls.
pub fn context_headers(received: &HeaderMap) -> HeaderMap {
    let names = [
        headers::REQUEST_ID,
        headers::SPAN,
        headers::DEADLINE_MS,
        headers::IMPORTANCE,
        headers::DEPTH,
    ];
    let mut copied = HeaderMap::new();
    for name in names {
        if let Some(value) = received.get(&name) {
            copied.insert(name, value.clone());
        }
    }
    copied
}

/// Calls `service/path` through the exit of the node on this host and returns the response body.
pub async fn call_service(
    args: &Args,
    target: &str,
    context: &HeaderMap,
) -> Result<String, String> {
    let exit = args.exit.ok_or("no exit address is set")?;
    let (service, path) = target.split_once('/').unwrap_or((target, ""));
    let mut request = Request::get(format!("http://{exit}/{path}"))
        .header(headers::SERVICE, service)
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    request.headers_mut().extend(context.clone());
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
    if !status.is_success() {
        return Err(format!("response status {status}"));
    }
    String::from_utf8(body.to_vec()).map_err(|e| e.to_string())
}
