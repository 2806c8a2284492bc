use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_model::member::MemberRecord;

/// Failure of a full exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchError {
    /// Peer address that was asked.
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
    /// Records that the node at a peer address gives as its members, its own included.
    ///
    /// # Errors
    /// Says which step failed; the driver counts it and a later exchange tries another member.
    async fn fetch(&self, peer: SocketAddr) -> Result<Vec<MemberRecord>, Report<FetchError>>;
}
