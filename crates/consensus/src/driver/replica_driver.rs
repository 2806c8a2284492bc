use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::driver::replica_handle::DriverInput;
use crate::driver::replica_handle::RequestResult;
use crate::driver::LogRequestError;
use crate::driver::ReplicaHandle;
use crate::driver::ReplicaTransport;
use crate::protocol::ReplicaId;
use crate::raft::PersistRequest;
use crate::raft::RaftSettings;
use crate::raft::RecoveredState;
use crate::raft::Replica;
use crate::raft::ReplicaAction;
use crate::raft::ReplicaEvent;
use crate::raft::ReplicaStatus;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::RestoreError;
use crate::StateMachine;

/// Maximum number of queued inputs; messages from peers beyond it are dropped.
const INPUT_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of inputs handled before a write is started, so that they share one sync.
const MAX_INPUT_BATCH: usize = 128;

/// Ticks per heartbeat interval, so that a heartbeat is late by at most a quarter of it.
const TICKS_PER_HEARTBEAT: u64 = 4;

/// Dependencies of a [`ReplicaDriver`].
pub struct ReplicaDriverDependencies {
    /// Identity of the replica: configured name, and disk id from the store.
    pub id: ReplicaId,
    /// Timeouts and limits.
    pub settings: RaftSettings,
    /// Opened store.
    pub store: Box<dyn LogStore>,
    /// State that the store recovered when it was opened.
    pub recovered: RecoveredState,
    /// Empty state machine; it is restored from the recovered snapshot.
    pub state_machine: Box<dyn StateMachine>,
    /// Transport to the other replicas.
    pub transport: Arc<dyn ReplicaTransport>,
    /// Random seed of the election timeouts.
    pub seed: u64,
}

/// Task that runs a replica.
pub struct ReplicaDriver {
    replica: Replica,
    state_machine: Box<dyn StateMachine>,
    transport: Arc<dyn ReplicaTransport>,
    storage: StorageWriter,
    inputs: mpsc::Receiver<DriverInput>,
    status: watch::Sender<ReplicaStatus>,
    pending_replies: HashMap<RequestNumber, oneshot::Sender<RequestResult>>,
    next_request: RequestNumber,
    tick_interval: Duration,
    started_at: Instant,
}

/// The store, which is either idle or used by a write on another thread.
struct StorageWriter {
    idle_store: Option<Box<dyn LogStore>>,
    queued_requests: Vec<PersistRequest>,
    running_write: Option<JoinHandle<WriteOutcome>>,
}

/// Outcome of a write: the store, and the number of the last synced request.
type WriteOutcome = (Box<dyn LogStore>, Result<u64, Report<StorageError>>);

impl ReplicaDriver {
    /// Restores the state machine and prepares the task. Call it inside a tokio runtime.
    ///
    /// # Errors
    /// `RestoreError` if the recovered snapshot cannot be restored.
    pub fn new(
        dependencies: ReplicaDriverDependencies,
    ) -> Result<(Self, ReplicaHandle), Report<RestoreError>> {
        let ReplicaDriverDependencies {
            id,
            settings,
            store,
            recovered,
            mut state_machine,
            transport,
            seed,
        } = dependencies;
        if let Some(snapshot) = &recovered.snapshot {
            state_machine.restore(&snapshot.data)?;
        }
        let tick_interval =
            Duration::from_millis((settings.heartbeat_interval_ms / TICKS_PER_HEARTBEAT).max(1));
        let replica = Replica::new(id, settings, recovered, seed, 0);
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (status, status_receiver) = watch::channel(replica.status());
        let driver = Self {
            replica,
            state_machine,
            transport,
            storage: StorageWriter {
                idle_store: Some(store),
                queued_requests: Vec::new(),
                running_write: None,
            },
            inputs,
            status,
            pending_replies: HashMap::new(),
            next_request: 1,
            tick_interval,
            started_at: Instant::now(),
        };
        Ok((driver, ReplicaHandle::new(input_sender, status_receiver)))
    }

    /// Runs until `stop` is cancelled, then waits for a write in progress. A storage failure does
    /// not end the task: the replica stops participating and rejects requests.
    ///
    /// # Errors
    /// `RestoreError` if a snapshot from the leader cannot be restored.
    pub async fn run(mut self, stop: CancellationToken) -> Result<(), Report<RestoreError>> {
        let mut ticks = tokio::time::interval(self.tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        let result = loop {
            let step_result = tokio::select! {
                () = stop.cancelled() => break Ok(()),
                written = self.storage.wait_for_write() => self.handle_write_outcome(written),
                _ = ticks.tick() => self.step(ReplicaEvent::Tick),
                count = self.inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => match count {
                    0 => break Ok(()),
                    _ => self.handle_inputs(&mut batch),
                },
            };
            if let Err(report) = step_result {
                break Err(report);
            }
            self.storage.start_write();
            self.publish_status();
        };
        if let Some(running_write) = self.storage.running_write.take() {
            let _ = running_write.await;
        }
        result
    }

    fn handle_inputs(&mut self, batch: &mut Vec<DriverInput>) -> Result<(), Report<RestoreError>> {
        for input in batch.drain(..) {
            let event = match input {
                DriverInput::Receive(message) => ReplicaEvent::Receive(message),
                DriverInput::Bootstrap(voters) => ReplicaEvent::Bootstrap(voters),
                DriverInput::Propose(command, reply) => {
                    ReplicaEvent::Propose { request: self.register_request(reply), command }
                }
                DriverInput::Read(reply) => {
                    ReplicaEvent::Read { request: self.register_request(reply) }
                }
                DriverInput::ChangeMembers(change, reply) => {
                    ReplicaEvent::ChangeMembers { request: self.register_request(reply), change }
                }
            };
            self.step(event)?;
        }
        Ok(())
    }

    fn register_request(&mut self, reply: oneshot::Sender<RequestResult>) -> RequestNumber {
        let request = self.next_request;
        self.next_request += 1;
        self.pending_replies.insert(request, reply);
        request
    }

    fn handle_write_outcome(
        &mut self,
        written: Result<u64, Report<StorageError>>,
    ) -> Result<(), Report<RestoreError>> {
        match written {
            Ok(sequence) => self.step(ReplicaEvent::Stored(sequence)),
            Err(report) => {
                tracing::error!("log: storage failed, the replica stops: {report:?}");
                self.step(ReplicaEvent::StorageFailed)
            }
        }
    }

    fn step(&mut self, event: ReplicaEvent) -> Result<(), Report<RestoreError>> {
        let now_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let actions = self.replica.step(event, now_ms);
        self.execute_actions(actions)?;
        if self.replica.is_snapshot_due() {
            let data = self.state_machine.snapshot();
            let actions = self.replica.step(ReplicaEvent::SnapshotTaken { data }, now_ms);
            self.execute_actions(actions)?;
        }
        Ok(())
    }

    fn execute_actions(&mut self, actions: Vec<ReplicaAction>) -> Result<(), Report<RestoreError>> {
        for action in actions {
            match action {
                ReplicaAction::Send(message) => {
                    let peer = message.to.name.clone();
                    self.transport.send(&peer, message);
                }
                ReplicaAction::Persist(request) => self.storage.queued_requests.push(request),
                ReplicaAction::Apply { index, command, request } => {
                    let result = self.state_machine.apply(index, &command);
                    if let Some(request) = request {
                        self.send_reply(request, Ok(result));
                    }
                }
                ReplicaAction::CompleteRequest { request, outcome } => {
                    self.send_reply(request, result_from_outcome(outcome))
                }
                ReplicaAction::InstallSnapshot(snapshot) => {
                    self.state_machine.restore(&snapshot.data)?
                }
            }
        }
        Ok(())
    }

    fn send_reply(&mut self, request: RequestNumber, reply: RequestResult) {
        if let Some(sender) = self.pending_replies.remove(&request) {
            let _ = sender.send(reply);
        }
    }

    fn publish_status(&mut self) {
        let status = self.replica.status();
        self.status.send_if_modified(|current| {
            let is_new = *current != status;
            if current.role != status.role || current.term != status.term {
                tracing::info!("log: {} is {:?} in term {}", status.id, status.role, status.term);
            }
            *current = status;
            is_new
        });
    }
}

/// Converts the outcome of a request to the result for its caller.
fn result_from_outcome(outcome: RequestOutcome) -> RequestResult {
    match outcome {
        RequestOutcome::NotLeader { leader: Some(leader) } => {
            Err(LogRequestError::NotLeader { leader: leader.name })
        }
        RequestOutcome::NotLeader { leader: None } => Err(LogRequestError::NoMajority),
        RequestOutcome::Unknown => Err(LogRequestError::OutcomeUnknown),
        RequestOutcome::Refused(refusal) => Err(LogRequestError::Refused(refusal)),
        RequestOutcome::ReadReady { .. } | RequestOutcome::MembersChanged => Ok(Vec::new()),
    }
}

impl StorageWriter {
    /// Starts to write the queued requests, with one sync for all, unless a write is running.
    fn start_write(&mut self) {
        if self.queued_requests.is_empty() {
            return;
        }
        let Some(mut store) = self.idle_store.take() else { return };
        let requests = std::mem::take(&mut self.queued_requests);
        self.running_write = Some(tokio::task::spawn_blocking(move || {
            let result = write_all(store.as_mut(), &requests);
            (store, result)
        }));
    }

    /// Waits for the running write, or forever if there is none. Cancellation-safe.
    async fn wait_for_write(&mut self) -> Result<u64, Report<StorageError>> {
        let Some(running_write) = &mut self.running_write else {
            return std::future::pending().await;
        };
        let joined = running_write.await;
        self.running_write = None;
        match joined {
            Ok((store, result)) => {
                self.idle_store = result.is_ok().then_some(store);
                result
            }
            Err(_) => Err(Report::new(StorageError::Failed)),
        }
    }
}

fn write_all(
    store: &mut dyn LogStore,
    requests: &[PersistRequest],
) -> Result<u64, Report<StorageError>> {
    for request in requests {
        store.write(request)?;
    }
    store.sync()?;
    Ok(requests.last().map_or(0, |r| r.sequence))
}
