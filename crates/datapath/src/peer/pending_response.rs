use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio_util::sync::CancellationToken;

use crate::peer::PeerCallError;
use crate::transport::Body;

/// Response to a request, or the failure to send it.
pub(super) type SendResult = Result<Response<Incoming>, TrySendError<Request<Body>>>;

/// A request on a connection to a peer that has no response yet.
pub(super) struct PendingResponse<'a> {
    pub(super) response: Pin<Box<dyn Future<Output = SendResult> + Send + 'a>>,
    /// Cancelled when the connection fails.
    pub(super) closed: CancellationToken,
    /// Time after which no response is expected.
    pub(super) last_wait: Instant,
}

impl PendingResponse<'_> {
    /// Waits for the response. Cancellation-safe.
    ///
    /// # Errors
    /// `ConnectionLost` if the connection fails, `DeadlinePassed` if no response is expected any more.
    pub(super) async fn wait(&mut self) -> Result<SendResult, PeerCallError> {
        tokio::select! {
            biased;
            response = self.response.as_mut() => Ok(response),
            () = self.closed.cancelled() => Err(PeerCallError::ConnectionLost),
            () = tokio::time::sleep_until(self.last_wait.into()) => {
                Err(PeerCallError::DeadlinePassed)
            }
        }
    }
}
