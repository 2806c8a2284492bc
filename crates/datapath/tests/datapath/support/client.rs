use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tarragon_datapath::transport::full;
use tarragon_datapath::transport::Body;
use tokio::net::TcpStream;

/// Maximum number of header fields of a message, more than any test sends.
pub const MAX_HEADER_FIELDS: usize = 1_000;

/// Response that a caller received.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, or the error that ended it early.
    pub body: Result<Bytes, String>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    pub fn outcome(&self) -> &str {
        self.header("tarragon-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("tarragon-reason")
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone().unwrap().to_vec()).unwrap()
    }
}

/// Sends a request on a new connection and returns the response head with a streamed body.
pub async fn send(
    address: SocketAddr,
    request: Request<Body>,
) -> hyper::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut client = http1::Builder::new();
    let handshake = client.max_headers(MAX_HEADER_FIELDS).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    sender.send_request(request).await
}

/// Sends a request for the service `counter` and returns the complete response.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Reply {
    let mut builder = Request::builder().method(method).uri(path).header("host", "counter.test");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = match send(address, builder.body(full(body)).unwrap()).await {
        Ok(response) => response,
        // The connection can be closed before the response head was sent.
        Err(e) => {
            let (status, headers) = (StatusCode::default(), HeaderMap::new());
            return Reply { status, headers, body: Err(e.to_string()) };
        }
    };
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).map_err(|e| e.to_string());
    Reply { status: parts.status, headers: parts.headers, body }
}
