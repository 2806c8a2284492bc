use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_model::member::MemberRecord;

/// Failure of a full exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchError {
    /// Peer address from which the records were requested.
    pub peer: SocketAddr,
    /// Step that failed.
    pub step: &'static str,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "full exchange with {} failed: {}", self.peer, self.step)
    }
}

impl std::error::Error for FetchError {}

/// Fetches the records of all reachable members from another node, over TCP.
#[async_trait]
pub trait FullStateSource: Send + Sync {
    /// Fetches the records of the node at a peer address and of the members that it can reach.
    ///
    /// # Errors
    /// Returns the step that failed. The driver counts the failure; the next full exchange chooses
    /// another member.
    async fn fetch(&self, peer: SocketAddr) -> Result<Vec<MemberRecord>, Report<FetchError>>;
}
