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

/// Time limit for a commit, in ms. After it, the outcome is reported as unknown.
const COMMIT_TIMEOUT_MS: u64 = 1_500;

/// Access to the replicated log through the replica of this node.
pub struct ReplicaLog {
    replica: ReplicaHandle,
    state: SharedControlState,
    catalogue: watch::Receiver<Arc<Catalogue>>,
}

impl ReplicaLog {
    /// Creates access through a replica, its control state and its published catalogue.
    pub fn new(
        replica: ReplicaHandle,
        state: SharedControlState,
        catalogue: watch::Receiver<Arc<Catalogue>>,
    ) -> Self {
        Self { replica, state, catalogue }
    }

    async fn execute(&self, request: &ControlRequest) -> ControlResult {
        match request {
            ControlRequest::Propose(command) => {
                let bytes = postcard::to_stdvec(command).map_err(|_| ControlFailure::Malformed)?;
                let encoded_result = self.replica.propose(bytes).await.map_err(control_failure)?;
                postcard::from_bytes::<ControlResult>(&encoded_result)
                    .unwrap_or(Err(ControlFailure::OutcomeUnknown))
            }
            ControlRequest::ChangeReplicas(change) => self.change_replicas(change).await,
            ControlRequest::Read(query) => {
                self.replica.read_barrier().await.map_err(control_failure)?;
                Ok(self
                    .state
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .query(query))
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
                    self.replica.change_members(add).await.map_err(control_failure)?;
                }
                self.replica
                    .change_members(MemberChange::Promote(id.clone()))
                    .await
                    .map_err(control_failure)?;
            }
            ReplicaChange::Remove(name) => {
                // The barrier succeeds only on the leader. Without it, a stale replica whose
                // configuration lacks the member would report the removal as done.
                self.replica.read_barrier().await.map_err(control_failure)?;
                let configuration = self.replica.status().configuration;
                for id in configuration.members().filter(|id| id.name == *name) {
                    let remove = MemberChange::Remove(id.clone());
                    self.replica.change_members(remove).await.map_err(control_failure)?;
                }
            }
        }
        Ok(ControlResponse::ReplicasChanged)
    }
}

fn control_failure(error: LogRequestError) -> ControlFailure {
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
        let commit_timeout = Duration::from_millis(COMMIT_TIMEOUT_MS);
        let timeout_failure = match request {
            ControlRequest::Read(_) => ControlFailure::NoMajority,
            _ => ControlFailure::OutcomeUnknown,
        };
        tokio::time::timeout(commit_timeout, self.execute(request))
            .await
            .unwrap_or(Err(timeout_failure))
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        Some(self.catalogue.clone())
    }
}
