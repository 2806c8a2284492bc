use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::driver::LogRequestError;
use crate::protocol::RaftMessage;
use crate::protocol::ReplicaId;
use crate::raft::MemberChange;
use crate::raft::ReplicaStatus;

/// Result of a request: for a proposal the result of the state machine, otherwise empty.
pub(super) type RequestResult = Result<Vec<u8>, LogRequestError>;

/// Input of the driver task.
#[derive(Debug)]
pub(super) enum DriverInput {
    Receive(RaftMessage),
    Bootstrap(Vec<ReplicaId>),
    Propose(Vec<u8>, oneshot::Sender<RequestResult>),
    Read(oneshot::Sender<RequestResult>),
    ChangeMembers(MemberChange, oneshot::Sender<RequestResult>),
    Leave,
    TransferLead,
}

/// Handle to a running replica. Clones access the same replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    inputs: mpsc::Sender<DriverInput>,
    status: watch::Receiver<ReplicaStatus>,
}

impl ReplicaHandle {
    pub(super) fn new(
        inputs: mpsc::Sender<DriverInput>,
        status: watch::Receiver<ReplicaStatus>,
    ) -> Self {
        Self { inputs, status }
    }

    /// Appends a command to the log and returns the result of the state machine once the command is
    /// committed and applied.
    ///
    /// # Errors
    /// See [`LogRequestError`]. After `OutcomeUnknown` the command may still take effect.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, LogRequestError> {
        let unknown = LogRequestError::OutcomeUnknown;
        self.send_request(|reply| DriverInput::Propose(command, reply), unknown).await
    }

    /// Waits until the local state machine contains everything that was committed before the call.
    /// It succeeds only on the leader.
    ///
    /// # Errors
    /// See [`LogRequestError`].
    pub async fn read_barrier(&self) -> Result<(), LogRequestError> {
        self.send_request(DriverInput::Read, LogRequestError::NoMajority).await.map(drop)
    }

    /// Changes one member and returns once the change is committed. It is safe to retry.
    ///
    /// # Errors
    /// See [`LogRequestError`].
    pub async fn change_members(&self, change: MemberChange) -> Result<(), LogRequestError> {
        let unknown = LogRequestError::OutcomeUnknown;
        self.send_request(|reply| DriverInput::ChangeMembers(change, reply), unknown)
            .await
            .map(drop)
    }

    /// Starts a new log with these voters. A replica that has state, or is not listed with its disk
    /// id, ignores the call. Call it on one replica only, and once per deployment: a replica that
    /// lost its disk must be added to the existing log and must not start another one.
    pub async fn bootstrap(&self, voters: Vec<ReplicaId>) {
        let _ = self.inputs.send(DriverInput::Bootstrap(voters)).await;
    }

    /// Tells the leader that this host is about to stop, so that its vote moves to another member.
    pub async fn leave(&self) {
        let _ = self.inputs.send(DriverInput::Leave).await;
    }

    /// Hands the lead over to another voter, if this replica is the leader.
    pub async fn transfer_lead(&self) {
        let _ = self.inputs.send(DriverInput::TransferLead).await;
    }

    /// Passes on a message from another replica. It is dropped if the input queue is full.
    pub fn receive(&self, message: RaftMessage) {
        let _ = self.inputs.try_send(DriverInput::Receive(message));
    }

    /// Current status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Subscribes to changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Sends a request to the task. `error_if_stopped` is the error if the task ends before it
    /// replies.
    async fn send_request(
        &self,
        input: impl FnOnce(oneshot::Sender<RequestResult>) -> DriverInput,
        error_if_stopped: LogRequestError,
    ) -> RequestResult {
        let (reply, result) = oneshot::channel();
        if self.inputs.send(input(reply)).await.is_err() {
            return Err(LogRequestError::NoMajority);
        }
        result.await.unwrap_or(Err(error_if_stopped))
    }
}
