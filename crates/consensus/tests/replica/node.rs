use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::storage::FaultyStore;

use crate::machine::MachineFactory;
use crate::machine::Recorded;

/// A host with a replica, its disk and its clock.
pub struct Node {
    pub id: ReplicaId,
    pub store: FaultyStore,
    /// The running replica, if the host is up.
    pub replica: Option<Replica>,
    pub machine: Recorded,
    pub is_paused: bool,
    /// Speed of the clock, in percent.
    pub clock_percent: u64,
    clock_hundredths: u64,
    /// When the running sync ends.
    pub sync_at_ms: Option<u64>,
    /// Latest persist request.
    pub sequence: u64,
    /// Members that the replica last knew.
    pub configuration: ClusterConfiguration,
    factory: MachineFactory,
}

impl Node {
    pub fn new(id: ReplicaId, factory: MachineFactory) -> Self {
        Self {
            id,
            store: FaultyStore::default(),
            replica: None,
            machine: Recorded::new(factory()),
            is_paused: false,
            clock_percent: 100,
            clock_hundredths: 0,
            sync_at_ms: None,
            sequence: 0,
            configuration: ClusterConfiguration::default(),
            factory,
        }
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.is_paused
    }

    pub fn clock_ms(&self) -> u64 {
        self.clock_hundredths / 100
    }

    pub fn advance_clock(&mut self, ms: u64) {
        self.clock_hundredths += ms * self.clock_percent;
    }

    pub fn start(&mut self, settings: &RaftSettings, seed: u64) {
        let recovered = self.store.disk().recover();
        self.machine = Recorded::new((self.factory)());
        if let Some(snapshot) = &recovered.snapshot {
            self.machine.restore(&snapshot.data);
        }
        let now_ms = self.clock_ms();
        let replica = Replica::new(self.id.clone(), settings.clone(), recovered, seed, now_ms);
        self.configuration = replica.status().configuration;
        self.replica = Some(replica);
    }

    /// The host goes down; of the unsynced requests a part survives.
    pub fn crash(&mut self, kept: usize, torn_entries: usize) {
        self.replica = None;
        self.is_paused = false;
        self.sync_at_ms = None;
        self.sequence = 0;
        self.store.disk().crash(kept, torn_entries);
    }

    /// The host goes down and its disk is lost; it comes back with a new one.
    pub fn lose_disk(&mut self, new_disk: u64) {
        self.crash(0, 0);
        self.store.disk().erase();
        self.id.disk = DiskId(new_disk);
        self.configuration = ClusterConfiguration::default();
    }
}
