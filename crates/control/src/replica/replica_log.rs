use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tarragon_consensus::driver::LogRequestError;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::raft::MemberChange;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::control::ControlResult;
use crate::control::ReplicaChange;
use crate::replica::control_state_machine::SharedControlState;

/// Longest wait for a commit, in ms; after it the outcome is reported as unknown.
const COMMIT_TIMEOUT_MS: u64 = 1_500;

/// The replicated log as the node of a replica reaches it.
pub struct ReplicaLog {
    replica: ReplicaHandle,
    state: SharedControlState,
    catalogue: watch::Receiver<Arc<Catalogue>>,
}

impl ReplicaLog {
    /// Creates access to the replica of this node.
    pub fn new(
        replica: ReplicaHandle,
        state: SharedControlState,
        catalogue: watch::Receiver<Arc<Catalogue>>,
    ) -> Self {
        Self { replica, state, catalogue }
    }

    async fn answer(&self, request: &ControlRequest) -> ControlResult {
        match request {
            ControlRequest::Propose(command) => {
                let bytes = postcard::to_stdvec(command).map_err(|_| ControlFailure::Malformed)?;
                let reply = self.replica.propose(bytes).await.map_err(failure)?;
                postcard::from_bytes::<ControlResult>(&reply)
                    .unwrap_or(Err(ControlFailure::OutcomeUnknown))
            }
            ControlRequest::ChangeReplicas(change) => self.change_replicas(change).await,
            ControlRequest::Read(query) => {
                self.replica.read_barrier().await.map_err(failure)?;
                Ok(self.state.lock().expect("no holder of the lock panics").query(query))
            }
        }
    }

    async fn change_replicas(&self, change: &ReplicaChange) -> ControlResult {
        let configuration = self.replica.status().configuration;
        match change {
            ReplicaChange::Add(id) if configuration.voters.contains(id) => {}
            ReplicaChange::Add(id) => {
                if !configuration.learners.contains(id) {
                    let add = MemberChange::AddLearner(id.clone());
                    self.replica.change_members(add).await.map_err(failure)?;
                }
                self.replica
                    .change_members(MemberChange::Promote(id.clone()))
                    .await
                    .map_err(failure)?;
            }
            ReplicaChange::Remove(name) => {
                // A repeated removal reaches the leader as well, so that a stale replica does not
                // report one as done.
                self.replica.read_barrier().await.map_err(failure)?;
                let members = self.replica.status().configuration;
                for id in members.members().filter(|id| id.name == *name) {
                    let remove = MemberChange::Remove(id.clone());
                    self.replica.change_members(remove).await.map_err(failure)?;
                }
            }
        }
        Ok(ControlResponse::ReplicasChanged)
    }
}

fn failure(error: LogRequestError) -> ControlFailure {
    match error {
        LogRequestError::NotLeader { leader } => ControlFailure::NotLeader { leader: Some(leader) },
        LogRequestError::NoMajority => ControlFailure::NoMajority,
        LogRequestError::OutcomeUnknown => ControlFailure::OutcomeUnknown,
        LogRequestError::Refused(refusal) => ControlFailure::Refused(refusal.to_string()),
    }
}

#[async_trait]
impl ControlLog for ReplicaLog {
    async fn request(&self, request: &ControlRequest) -> ControlResult {
        let limit = Duration::from_millis(COMMIT_TIMEOUT_MS);
        let late = match request {
            ControlRequest::Read(_) => ControlFailure::NoMajority,
            _ => ControlFailure::OutcomeUnknown,
        };
        tokio::time::timeout(limit, self.answer(request)).await.unwrap_or(Err(late))
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        Some(self.catalogue.clone())
    }
}
