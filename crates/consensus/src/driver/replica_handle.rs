use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::driver::LogRequestError;
use crate::protocol::RaftMessage;
use crate::protocol::ReplicaId;
use crate::raft::MemberChange;
use crate::raft::ReplicaStatus;

/// Result of a request: the state machine's answer, empty for all but proposals.
pub(super) type Reply = Result<Vec<u8>, LogRequestError>;

/// What the task is asked.
#[derive(Debug)]
pub(super) enum Input {
    Receive(RaftMessage),
    Bootstrap(Vec<ReplicaId>),
    Propose(Vec<u8>, oneshot::Sender<Reply>),
    Read(oneshot::Sender<Reply>),
    ChangeMembers(MemberChange, oneshot::Sender<Reply>),
}

/// Access to a running replica. Clones share the replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    inputs: mpsc::Sender<Input>,
    status: watch::Receiver<ReplicaStatus>,
}

impl ReplicaHandle {
    pub(super) fn new(inputs: mpsc::Sender<Input>, status: watch::Receiver<ReplicaStatus>) -> Self {
        Self { inputs, status }
    }

    /// Logs a command and returns the state machine's answer once it is committed and applied.
    ///
    /// # Errors
    /// See [`LogRequestError`]. After `OutcomeUnknown` the command may still take effect.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, LogRequestError> {
        let unknown = LogRequestError::OutcomeUnknown;
        self.ask(|reply| Input::Propose(command, reply), unknown).await
    }

    /// Waits until the local state machine holds all that was committed before the call. It works
    /// on the leader only.
    ///
    /// # Errors
    /// See [`LogRequestError`].
    pub async fn read_barrier(&self) -> Result<(), LogRequestError> {
        self.ask(Input::Read, LogRequestError::NoMajority).await.map(drop)
    }

    /// Changes one member and returns once the change is committed. It is safe to repeat.
    ///
    /// # Errors
    /// See [`LogRequestError`].
    pub async fn change_members(&self, change: MemberChange) -> Result<(), LogRequestError> {
        let unknown = LogRequestError::OutcomeUnknown;
        self.ask(|reply| Input::ChangeMembers(change, reply), unknown).await.map(drop)
    }

    /// Starts a new log with these voters. A replica that has state, or is not listed with its
    /// disk id, ignores this. Call it on one replica only, once in the life of a deployment, and
    /// on an operator's word: a host that lost its disk must be added to the log that exists, not
    /// start another one.
    pub async fn bootstrap(&self, voters: Vec<ReplicaId>) {
        let _ = self.inputs.send(Input::Bootstrap(voters)).await;
    }

    /// Hands in a message from another replica. It is dropped if the task is behind.
    pub fn receive(&self, message: RaftMessage) {
        let _ = self.inputs.try_send(Input::Receive(message));
    }

    /// What the replica knows.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Follows the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// `lost` is the error if the task ends before it answers.
    async fn ask(
        &self,
        input: impl FnOnce(oneshot::Sender<Reply>) -> Input,
        lost: LogRequestError,
    ) -> Reply {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(input(reply)).await.is_err() {
            return Err(LogRequestError::NoMajority);
        }
        answer.await.unwrap_or(Err(lost))
    }
}
