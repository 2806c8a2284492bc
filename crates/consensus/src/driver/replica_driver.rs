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

use crate::driver::replica_handle::Input;
use crate::driver::replica_handle::Reply;
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

/// Inputs that wait at most; messages of peers beyond that are dropped.
const INPUT_CAPACITY: usize = 1_024;

/// Inputs taken in a row before storage gets the outcome, which batches their syncs.
const INPUT_BATCH: usize = 128;

/// Ticks per heartbeat, so that a heartbeat is late by a quarter at most.
const TICKS_PER_HEARTBEAT: u64 = 4;

/// What a driver is made of.
pub struct ReplicaDriverDependencies {
    /// The replica: configured name, and disk id from the store.
    pub id: ReplicaId,
    /// Times and limits.
    pub settings: RaftSettings,
    /// Storage, opened.
    pub store: Box<dyn LogStore>,
    /// What the store found when it was opened.
    pub recovered: RecoveredState,
    /// State machine without state; it is restored from the recovered snapshot.
    pub state_machine: Box<dyn StateMachine>,
    /// Way to the other replicas.
    pub transport: Arc<dyn ReplicaTransport>,
    /// Random seed for the election timeouts.
    pub seed: u64,
}

/// The task's state.
pub struct ReplicaDriver {
    replica: Replica,
    state_machine: Box<dyn StateMachine>,
    transport: Arc<dyn ReplicaTransport>,
    storage: Storage,
    inputs: mpsc::Receiver<Input>,
    status: watch::Sender<ReplicaStatus>,
    replies: HashMap<RequestNumber, oneshot::Sender<Reply>>,
    next_request: RequestNumber,
    tick: Duration,
    origin: Instant,
}

/// The store, which is either idle or at work on another thread.
struct Storage {
    idle: Option<Box<dyn LogStore>>,
    waiting: Vec<PersistRequest>,
    running: Option<JoinHandle<Written>>,
}

/// Outcome of a write: the store, and the last request that is synced.
type Written = (Box<dyn LogStore>, Result<u64, Report<StorageError>>);

impl ReplicaDriver {
    /// Restores the state machine and prepares the task. Call it inside a tokio runtime.
    ///
    /// # Errors
    /// `RestoreError` if the recovered snapshot cannot be restored.
    pub fn new(
        parts: ReplicaDriverDependencies,
    ) -> Result<(Self, ReplicaHandle), Report<RestoreError>> {
        let ReplicaDriverDependencies {
            id,
            settings,
            store,
            recovered,
            mut state_machine,
            transport,
            seed,
        } = parts;
        if let Some(snapshot) = &recovered.snapshot {
            state_machine.restore(&snapshot.data)?;
        }
        let tick =
            Duration::from_millis((settings.heartbeat_interval_ms / TICKS_PER_HEARTBEAT).max(1));
        let replica = Replica::new(id, settings, recovered, seed, 0);
        let (input_sender, inputs) = mpsc::channel(INPUT_CAPACITY);
        let (status, status_receiver) = watch::channel(replica.status());
        let driver = Self {
            replica,
            state_machine,
            transport,
            storage: Storage { idle: Some(store), waiting: Vec::new(), running: None },
            inputs,
            status,
            replies: HashMap::new(),
            next_request: 1,
            tick,
            origin: Instant::now(),
        };
        Ok((driver, ReplicaHandle::new(input_sender, status_receiver)))
    }

    /// Runs until `stop` is cancelled, and waits for a write in progress. A storage failure does
    /// not end the task: the replica stops taking part and says so to callers.
    ///
    /// # Errors
    /// `RestoreError` if a snapshot from the leader cannot be restored.
    pub async fn run(mut self, stop: CancellationToken) -> Result<(), Report<RestoreError>> {
        let mut ticks = tokio::time::interval(self.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        let result = loop {
            let stepped = tokio::select! {
                () = stop.cancelled() => break Ok(()),
                written = self.storage.finished() => self.on_written(written),
                _ = ticks.tick() => self.step(ReplicaEvent::Tick),
                count = self.inputs.recv_many(&mut batch, INPUT_BATCH) => match count {
                    0 => break Ok(()),
                    _ => self.take_inputs(&mut batch),
                },
            };
            if let Err(report) = stepped {
                break Err(report);
            }
            self.storage.start();
            self.publish_status();
        };
        if let Some(running) = self.storage.running.take() {
            let _ = running.await;
        }
        result
    }

    fn take_inputs(&mut self, batch: &mut Vec<Input>) -> Result<(), Report<RestoreError>> {
        for input in batch.drain(..) {
            let event = match input {
                Input::Receive(message) => ReplicaEvent::Receive(message),
                Input::Bootstrap(voters) => ReplicaEvent::Bootstrap(voters),
                Input::Propose(command, reply) => {
                    ReplicaEvent::Propose { request: self.register(reply), command }
                }
                Input::Read(reply) => ReplicaEvent::Read { request: self.register(reply) },
                Input::ChangeMembers(change, reply) => {
                    ReplicaEvent::ChangeMembers { request: self.register(reply), change }
                }
            };
            self.step(event)?;
        }
        Ok(())
    }

    fn register(&mut self, reply: oneshot::Sender<Reply>) -> RequestNumber {
        let request = self.next_request;
        self.next_request += 1;
        self.replies.insert(request, reply);
        request
    }

    fn on_written(
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
        let now_ms = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        let actions = self.replica.step(event, now_ms);
        self.carry_out(actions)?;
        if self.replica.is_snapshot_due() {
            let data = self.state_machine.snapshot();
            let actions = self.replica.step(ReplicaEvent::SnapshotTaken { data }, now_ms);
            self.carry_out(actions)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, actions: Vec<ReplicaAction>) -> Result<(), Report<RestoreError>> {
        for action in actions {
            match action {
                ReplicaAction::Send(message) => {
                    let peer = message.to.name.clone();
                    self.transport.send(&peer, message);
                }
                ReplicaAction::Persist(request) => self.storage.waiting.push(request),
                ReplicaAction::Apply { index, command, request } => {
                    let answer = self.state_machine.apply(index, &command);
                    if let Some(request) = request {
                        self.reply(request, Ok(answer));
                    }
                }
                ReplicaAction::CompleteRequest { request, outcome } => {
                    self.reply(request, reply_of(outcome))
                }
                ReplicaAction::InstallSnapshot(snapshot) => {
                    self.state_machine.restore(&snapshot.data)?
                }
            }
        }
        Ok(())
    }

    fn reply(&mut self, request: RequestNumber, reply: Reply) {
        if let Some(sender) = self.replies.remove(&request) {
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

/// What a caller is told.
fn reply_of(answer: RequestOutcome) -> Reply {
    match answer {
        RequestOutcome::NotLeader { leader: Some(leader) } => {
            Err(LogRequestError::NotLeader { leader: leader.name })
        }
        RequestOutcome::NotLeader { leader: None } => Err(LogRequestError::NoMajority),
        RequestOutcome::Unknown => Err(LogRequestError::OutcomeUnknown),
        RequestOutcome::Refused(refusal) => Err(LogRequestError::Refused(refusal)),
        RequestOutcome::ReadReady { .. } | RequestOutcome::MembersChanged => Ok(Vec::new()),
    }
}

impl Storage {
    /// Starts to write what waits, all with one sync, unless a write is running.
    fn start(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let Some(mut store) = self.idle.take() else { return };
        let requests = std::mem::take(&mut self.waiting);
        self.running = Some(tokio::task::spawn_blocking(move || {
            let result = write_all(store.as_mut(), &requests);
            (store, result)
        }));
    }

    /// Waits for the running write; for ever if there is none. Safe to cancel.
    async fn finished(&mut self) -> Result<u64, Report<StorageError>> {
        let Some(running) = &mut self.running else { return std::future::pending().await };
        let joined = running.await;
        self.running = None;
        match joined {
            Ok((store, result)) => {
                self.idle = result.is_ok().then_some(store);
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
