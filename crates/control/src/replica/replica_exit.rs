use std::collections::BTreeSet;
use std::time::Duration;

use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tracing::info;

/// Maximum time for which the process waits for its vote to move, in ms. A change takes some network
/// delays; without one, no other replica can take the vote now.
const EXIT_TIMEOUT_MS: u64 = 1_500;

/// Moves the vote and the lead of the replica of this node to others before the process ends, see
/// `docs/design.md`, section 5.2.1.
#[derive(Debug, Clone)]
pub struct ReplicaExit {
    replica: Option<ReplicaHandle>,
}

impl ReplicaExit {
    /// Creates it for the replica of this node, if the node has one.
    pub fn new(replica: Option<ReplicaHandle>) -> Self {
        Self { replica }
    }

    /// Tells the leader that this node is about to stop.
    pub async fn start(&self) {
        if let Some(replica) = &self.replica {
            replica.leave().await;
        }
    }

    /// Waits until the process can end without a vote or the lead, or nobody can take them, or a time
    /// limit has passed.
    pub async fn wait(&self) {
        let Some(replica) = &self.replica else { return };
        let mut status = replica.watch_status();
        // Without a supervisor, nobody else moves the lead.
        if status.borrow().role == ReplicaRole::Leader {
            replica.transfer_lead().await;
        }
        let limit = Duration::from_millis(EXIT_TIMEOUT_MS);
        let result = tokio::time::timeout(limit, status.wait_for(may_end)).await;
        let status = replica.status();
        info!(
            is_voter = status.configuration.voters.contains(&status.id),
            is_in_time = result.is_ok(),
            "log: the replica may end, its role is {:?}",
            status.role
        );
    }
}

/// Whether nothing is left that another replica could take over.
fn may_end(status: &ReplicaStatus) -> bool {
    let others = |members: &BTreeSet<ReplicaId>| members.iter().any(|id| *id != status.id);
    let configuration = &status.configuration;
    let has_vote = configuration.voters.contains(&status.id);
    let is_leader = status.role == ReplicaRole::Leader;
    let may_move_lead = is_leader && others(&configuration.voters);
    let may_move_vote = has_vote && others(&configuration.learners);
    !may_move_lead && !may_move_vote
}
