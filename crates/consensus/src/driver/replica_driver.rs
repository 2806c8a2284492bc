use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinError;
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

/// Time after a storage failure, and between attempts to open the store again. A full disk often has
/// space again after some seconds.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

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
    id: ReplicaId,
    settings: RaftSettings,
    /// Random seed of the current replica, which changes when the store is opened again.
    seed: u64,
    /// Index of the last command that the state machine has applied or restored. It is ahead of the
    /// replica after the store was opened again.
    applied_index: u64,
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

/// End of an operation of the store.
enum StorageEvent {
    /// The number of the last synced request.
    Written(Result<u64, Report<StorageError>>),
    /// The state that the store holds after it was opened again.
    Reopened(Result<RecoveredState, Report<StorageError>>),
}

/// The store, which is idle, used by a write on another thread, or being opened again.
struct StorageWriter {
    idle_store: Option<Box<dyn LogStore>>,
    queued_requests: Vec<PersistRequest>,
    running_write: Option<JoinHandle<StoreOutcome<u64>>>,
    running_reopen: Option<JoinHandle<StoreOutcome<RecoveredState>>>,
}

/// Outcome of an operation: the store and the result.
type StoreOutcome<T> = (Box<dyn LogStore>, Result<T, Report<StorageError>>);

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
        let applied_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let replica = Replica::new(id.clone(), settings.clone(), recovered, seed, 0);
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (status, status_receiver) = watch::channel(replica.status());
        let driver = Self {
            replica,
            id,
            settings,
            seed,
            applied_index,
            state_machine,
            transport,
            storage: StorageWriter {
                idle_store: Some(store),
                queued_requests: Vec::new(),
                running_write: None,
                running_reopen: None,
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

    /// Runs until `stop` is cancelled, then waits for a write in progress. After a storage failure,
    /// for example on a full disk, the replica stops participating and rejects requests until the
    /// store can be opened again. It then goes on with what was synced, as after a restart.
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
                event = self.storage.wait() => match event {
                    StorageEvent::Written(written) => self.handle_write_outcome(written),
                    StorageEvent::Reopened(reopened) => self.handle_reopen_outcome(reopened),
                },
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
        if let Some(running_reopen) = self.storage.running_reopen.take() {
            let _ = running_reopen.await;
        }
        result
    }

    fn handle_inputs(&mut self, batch: &mut Vec<DriverInput>) -> Result<(), Report<RestoreError>> {
        for input in batch.drain(..) {
            let event = match input {
                DriverInput::Receive(message) => ReplicaEvent::Receive(message),
                DriverInput::Bootstrap(voters) => ReplicaEvent::Bootstrap(voters),
                DriverInput::Leave => ReplicaEvent::Leave,
                DriverInput::TransferLead => ReplicaEvent::TransferLead,
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
                self.step(ReplicaEvent::StorageFailed)?;
                self.storage.start_reopen();
                Ok(())
            }
        }
    }

    fn handle_reopen_outcome(
        &mut self,
        reopened: Result<RecoveredState, Report<StorageError>>,
    ) -> Result<(), Report<RestoreError>> {
        match reopened {
            Ok(recovered) => {
                tracing::info!("log: the storage works again, the replica goes on");
                // With another seed, its elections do not repeat the timing of earlier ones.
                self.seed = self.seed.wrapping_add(1);
                let (id, settings) = (self.id.clone(), self.settings.clone());
                self.replica = Replica::new(id, settings, recovered, self.seed, self.now_ms());
                self.step(ReplicaEvent::Tick)
            }
            Err(report) => {
                tracing::warn!("log: the storage still fails: {report}");
                self.storage.start_reopen();
                Ok(())
            }
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn step(&mut self, event: ReplicaEvent) -> Result<(), Report<RestoreError>> {
        let now_ms = self.now_ms();
        let actions = self.replica.step(event, now_ms);
        self.execute_actions(actions)?;
        // A snapshot of a state machine that is ahead would be stored under a lower index.
        let is_ahead = self.applied_index > self.replica.applied_index();
        if !is_ahead && self.replica.is_snapshot_due() {
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
                // The state machine keeps its state while the store is opened again.
                ReplicaAction::Apply { index, .. } if index <= self.applied_index => {}
                ReplicaAction::Apply { index, command, request } => {
                    self.applied_index = index;
                    let result = self.state_machine.apply(index, &command);
                    if let Some(request) = request {
                        self.send_reply(request, Ok(result));
                    }
                }
                ReplicaAction::CompleteRequest { request, outcome } => {
                    self.send_reply(request, result_from_outcome(outcome))
                }
                ReplicaAction::InstallSnapshot(snapshot)
                    if snapshot.index <= self.applied_index => {}
                ReplicaAction::InstallSnapshot(snapshot) => {
                    self.applied_index = snapshot.index;
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
            for lost in status.lost_members.difference(&current.lost_members) {
                tracing::info!("log: {lost} has lost its disk, as its host reports");
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

    /// Waits for the end of the running operation, or forever if there is none. Cancellation-safe.
    async fn wait(&mut self) -> StorageEvent {
        if let Some(running_write) = &mut self.running_write {
            let joined = running_write.await;
            self.running_write = None;
            return StorageEvent::Written(self.keep_store(joined));
        }
        if let Some(running_reopen) = &mut self.running_reopen {
            let joined = running_reopen.await;
            self.running_reopen = None;
            return StorageEvent::Reopened(self.keep_store(joined));
        }
        std::future::pending().await
    }

    fn keep_store<T>(
        &mut self,
        joined: Result<StoreOutcome<T>, JoinError>,
    ) -> Result<T, Report<StorageError>> {
        let (store, result) = joined.map_err(|_| Report::new(StorageError::Failed))?;
        self.idle_store = Some(store);
        result
    }

    /// Starts to open the failed store again after a delay. What was queued for it is dropped; a
    /// stopped replica queues nothing more.
    fn start_reopen(&mut self) {
        self.queued_requests.clear();
        let Some(mut store) = self.idle_store.take() else { return };
        self.running_reopen = Some(tokio::spawn(async move {
            tokio::time::sleep(REOPEN_INTERVAL).await;
            let reopening = tokio::task::spawn_blocking(move || {
                let result = store.reopen();
                (store, result)
            });
            reopening.await.expect("opening a store does not panic")
        }));
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
