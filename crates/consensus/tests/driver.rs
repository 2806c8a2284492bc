//! Tests of the driver task: syncs before replies, restarts, failed storage.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use error_stack::Report;
use tarragon_consensus::driver::LogRequestError;
use tarragon_consensus::driver::ReplicaDriver;
use tarragon_consensus::driver::ReplicaDriverDependencies;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::driver::ReplicaTransport;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::RecoveredState;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::StopReason;
use tarragon_consensus::storage::FaultyStore;
use tarragon_consensus::storage::FileLogStore;
use tarragon_consensus::storage::LogStore;
use tarragon_consensus::RestoreError;
use tarragon_consensus::StateMachine;
use tokio_util::sync::CancellationToken;

/// State machine that appends commands to a text and returns the whole text.
#[derive(Default)]
struct TextMachine(Vec<u8>);

impl StateMachine for TextMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.0.extend_from_slice(command);
        self.0.clone()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), Report<RestoreError>> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

/// Delivers messages between the replicas of one process.
#[derive(Default)]
struct InProcessTransport(Mutex<BTreeMap<String, ReplicaHandle>>);

impl ReplicaTransport for InProcessTransport {
    fn send(&self, peer: &str, message: RaftMessage) {
        if let Some(handle) = self.0.lock().expect("no holder of the lock panics").get(peer) {
            handle.receive(message);
        }
    }
}

fn id(name: &str, disk: u64) -> ReplicaId {
    ReplicaId::new(name, DiskId(disk))
}

fn settings(election_timeout_ms: u64) -> RaftSettings {
    RaftSettings {
        heartbeat_interval_ms: 20,
        election_timeout_ms,
        snapshot_interval_entries: 8,
        ..RaftSettings::default()
    }
}

/// A replica that runs until its token is cancelled.
struct RunningReplica {
    handle: ReplicaHandle,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<Result<(), Report<RestoreError>>>,
}

impl RunningReplica {
    fn start(
        network: &Arc<InProcessTransport>,
        id: ReplicaId,
        store: Box<dyn LogStore>,
        recovered: RecoveredState,
        election_timeout_ms: u64,
    ) -> Self {
        let transport: Arc<dyn ReplicaTransport> = Arc::clone(network) as Arc<dyn ReplicaTransport>;
        let name = id.name.clone();
        let (settings, state_machine) =
            (settings(election_timeout_ms), Box::new(TextMachine::default()));
        let seed = id.disk.0;
        let dependencies = ReplicaDriverDependencies {
            id,
            settings,
            store,
            recovered,
            state_machine,
            transport,
            seed,
        };
        let (driver, handle) =
            ReplicaDriver::new(dependencies).expect("the snapshot can be restored");
        network.0.lock().expect("no holder of the lock panics").insert(name, handle.clone());
        let stop = CancellationToken::new();
        let task = tokio::spawn(driver.run(stop.clone()));
        Self { handle, stop, task }
    }

    async fn wait_for_role(&self, role: ReplicaRole) {
        self.handle.watch_status().wait_for(|s| s.role == role).await.expect("the replica runs");
    }

    async fn shut_down(self) {
        self.stop.cancel();
        self.task.await.expect("the task does not panic").expect("the task ends without an error");
    }
}

/// Guards against acknowledged commands that are lost in a restart, and against snapshots that lose
/// or repeat commands.
#[tokio::test]
async fn a_single_voter_keeps_its_commands_across_restarts_and_snapshots() {
    let directory = tempfile::tempdir().unwrap();
    let network = Arc::new(InProcessTransport::default());
    let mut expected = Vec::new();
    for start in 0..3 {
        let (store, recovered) = FileLogStore::open(directory.path(), DiskId(start + 1)).unwrap();
        let local_id = ReplicaId::new("a", store.disk_id());
        assert_eq!(local_id.disk, DiskId(1));
        let running =
            RunningReplica::start(&network, local_id.clone(), Box::new(store), recovered, 100);
        running.handle.bootstrap(vec![local_id]).await;
        running.wait_for_role(ReplicaRole::Leader).await;
        for byte in 0..20 {
            expected.push(byte);
            assert_eq!(running.handle.propose(vec![byte]).await.unwrap(), expected);
        }
        running.handle.read_barrier().await.unwrap();
        assert!(running.handle.status().snapshot_index > 0);
        running.shut_down().await;
    }
}

/// Starts a log with a single voter on a simulated disk, and waits until it leads.
async fn start_single_voter() -> (RunningReplica, FaultyStore) {
    let network = Arc::new(InProcessTransport::default());
    let (store, recovered) = (FaultyStore::default(), RecoveredState::default());
    let local_id = id("a", 1);
    let running =
        RunningReplica::start(&network, local_id.clone(), Box::new(store.clone()), recovered, 100);
    running.handle.bootstrap(vec![local_id]).await;
    running.wait_for_role(ReplicaRole::Leader).await;
    (running, store)
}

/// Guards against a replica that continues after a failed write, and against a definite result for
/// a command whose write failed.
#[tokio::test]
async fn a_replica_stops_when_storage_fails() {
    let (running, store) = start_single_voter().await;
    running.handle.propose(vec![1]).await.unwrap();
    store.disk().start_failing();
    assert_eq!(running.handle.propose(vec![2]).await, Err(LogRequestError::OutcomeUnknown));
    running.wait_for_role(ReplicaRole::Stopped(StopReason::Storage)).await;
    assert_eq!(running.handle.propose(vec![3]).await, Err(LogRequestError::NoMajority));
    assert_eq!(running.handle.read_barrier().await, Err(LogRequestError::NoMajority));
    running.shut_down().await;
}

/// Guards against a replica that is lost for good because its disk was full for a while, and against
/// commands that are lost or applied twice when it goes on.
#[tokio::test]
async fn a_replica_takes_part_again_when_its_storage_works_again() {
    let (running, store) = start_single_voter().await;
    let mut expected = Vec::new();
    for round in 0..3_u8 {
        // Some rounds end shortly before a snapshot is due and some shortly after it.
        for byte in 0..5 + round {
            expected.push(byte);
            assert_eq!(running.handle.propose(vec![byte]).await.unwrap(), expected);
        }
        store.disk().start_failing();
        assert_eq!(running.handle.propose(vec![99]).await, Err(LogRequestError::OutcomeUnknown));
        running.wait_for_role(ReplicaRole::Stopped(StopReason::Storage)).await;
        store.disk().stop_failing();
        running.wait_for_role(ReplicaRole::Leader).await;
        running.handle.read_barrier().await.unwrap();
    }
    running.shut_down().await;
}

/// Guards against failures when a replica joins: it receives the log by snapshot, is promoted to a
/// voter and names the leader to clients.
#[tokio::test]
async fn a_learner_is_promoted_and_followers_name_the_leader() {
    let network = Arc::new(InProcessTransport::default());
    let start = |id: ReplicaId| {
        // The election timeout is so long that no leader steps down on a busy machine.
        let store = Box::new(FaultyStore::default());
        RunningReplica::start(&network, id, store, RecoveredState::default(), 30_000)
    };
    let first = start(id("a", 1));
    first.handle.bootstrap(vec![id("a", 1)]).await;
    first.wait_for_role(ReplicaRole::Leader).await;
    for byte in 0..20 {
        first.handle.propose(vec![byte]).await.unwrap();
    }
    let second = start(id("b", 2));
    let refused = second.handle.propose(vec![9]).await;
    assert_eq!(refused, Err(LogRequestError::NoMajority));
    first.handle.change_members(MemberChange::AddLearner(id("b", 2))).await.unwrap();
    let last_index = first.handle.status().last_index;
    let mut status = second.handle.watch_status();
    status.wait_for(|s| s.commit_index >= last_index).await.unwrap();
    // The acknowledgement of the last entry may not have arrived yet.
    let mut promoted = Err(LogRequestError::NoMajority);
    for _ in 0..100_000 {
        promoted = first.handle.change_members(MemberChange::Promote(id("b", 2))).await;
        if promoted.is_ok() {
            break;
        }
    }
    assert_eq!(promoted, Ok(()));
    assert_eq!(first.handle.status().configuration.voters.len(), 2);
    let refused = second.handle.propose(vec![9]).await;
    assert_eq!(refused, Err(LogRequestError::NotLeader { leader: "a".into() }));
    first.shut_down().await;
    second.shut_down().await;
}
