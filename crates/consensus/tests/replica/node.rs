use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::storage::FaultyStore;

use crate::machine::MachineFactory;
use crate::machine::RecordingMachine;

/// A simulated host with a replica, its disk and its clock.
pub struct SimulatedNode {
    pub id: ReplicaId,
    pub store: FaultyStore,
    /// The replica; `None` while the host is down.
    pub replica: Option<Replica>,
    pub machine: RecordingMachine,
    pub is_paused: bool,
    /// Whether the host was removed and never starts again.
    pub is_gone: bool,
    /// Speed of the clock, in percent of real time.
    pub clock_percent: u64,
    clock_hundredths_ms: u64,
    /// When the running sync completes, in ms of simulated time.
    pub sync_due_ms: Option<u64>,
    /// Number of the latest persist request.
    pub last_sequence: u64,
    /// Latest configuration of the replica.
    pub configuration: ClusterConfiguration,
    /// Configuration before the latest one, until it is stored that the latest one is committed.
    pub previous_configuration: Option<ClusterConfiguration>,
    factory: MachineFactory,
}

impl SimulatedNode {
    pub fn new(id: ReplicaId, factory: MachineFactory) -> Self {
        Self {
            id,
            store: FaultyStore::default(),
            replica: None,
            machine: RecordingMachine::new(factory()),
            is_paused: false,
            is_gone: false,
            clock_percent: 100,
            clock_hundredths_ms: 0,
            sync_due_ms: None,
            last_sequence: 0,
            configuration: ClusterConfiguration::default(),
            previous_configuration: None,
            factory,
        }
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.is_paused
    }

    pub fn clock_ms(&self) -> u64 {
        self.clock_hundredths_ms / 100
    }

    pub fn advance_clock(&mut self, ms: u64) {
        self.clock_hundredths_ms += ms * self.clock_percent;
    }

    pub fn start(&mut self, settings: &RaftSettings, seed: u64) {
        let recovered = self.store.disk().recover();
        self.machine = RecordingMachine::new((self.factory)());
        if let Some(snapshot) = &recovered.snapshot {
            self.machine.restore(&snapshot.data);
        }
        let now_ms = self.clock_ms();
        let replica = Replica::new(self.id.clone(), settings.clone(), recovered, seed, now_ms);
        let status = replica.status();
        self.configuration = status.configuration;
        self.previous_configuration = status.previous_configuration;
        self.replica = Some(replica);
    }

    /// Simulates a crash of the host. Of the unsynced requests, the first `kept` survive, and of
    /// the following one its first `torn_entries` entries.
    pub fn crash(&mut self, kept: usize, torn_entries: usize) {
        self.replica = None;
        self.is_paused = false;
        self.sync_due_ms = None;
        self.last_sequence = 0;
        self.store.disk().crash(kept, torn_entries);
    }

    /// Simulates a crash with loss of the disk, which is replaced with an empty one.
    pub fn lose_disk(&mut self, new_disk: u64) {
        self.crash(0, 0);
        self.store.disk().erase();
        self.id.disk = DiskId(new_disk);
        self.configuration = ClusterConfiguration::default();
        self.previous_configuration = None;
    }
}
