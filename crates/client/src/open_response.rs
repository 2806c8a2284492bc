use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use error_stack::Report;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::ApiResponse;
use crate::ClientError;

/// Maximum size of a response body, in bytes. It limits how much memory a faulty peer can make the
/// client allocate; up to four responses are read at once. Messages between nodes have 4 MiB at most.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of the control API whose body has not been read.
#[derive(Debug)]
pub struct OpenResponse {
    peer: SocketAddr,
    status: StatusCode,
    body: Limited<Incoming>,
    /// Time limit for each part of the body.
    timeout: Duration,
}

impl OpenResponse {
    pub(crate) fn new(peer: SocketAddr, response: Response<Incoming>, timeout: Duration) -> Self {
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        Self { peer, status, body, timeout }
    }

    /// Reads the body to its end, however long that takes as long as bytes arrive.
    ///
    /// # Errors
    /// `NoResponse` if no byte arrives within the time limit of the client, `ResponseTooLarge` if
    /// the body cannot be read completely.
    pub async fn read(mut self) -> Result<ApiResponse, Report<ClientError>> {
        let mut body = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(self.timeout, self.body.frame()).await;
            match frame.map_err(|_| Report::new(ClientError::NoResponse(self.peer)))? {
                Some(Ok(frame)) => {
                    body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
                }
                Some(Err(e)) => {
                    let report = Report::new(ClientError::ResponseTooLarge(self.peer));
                    return Err(report.attach(e.to_string()));
                }
                None => break,
            }
        }
        Ok(ApiResponse { peer: self.peer, status: self.status, body: Bytes::from(body) })
    }
}
