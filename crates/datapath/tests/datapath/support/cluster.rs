use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use tarragon_datapath::archive::CrashArchive;
use tarragon_datapath::backend::BackendStatus;
use tarragon_datapath::backend::LocalBackend;
use tarragon_datapath::claims::ClaimError;
use tarragon_datapath::claims::KeyClaims;
use tarragon_datapath::datapath::DataPath;
use tarragon_datapath::datapath::DataPathDependencies;
use tarragon_datapath::datapath::DataPathSettings;
use tarragon_datapath::datapath::Metrics;
use tarragon_datapath::datapath::Policies;
use tarragon_datapath::datapath::ServingState;
use tarragon_datapath::directory::DirectoryWatch;
use tarragon_datapath::gate::GateHandle;
use tarragon_datapath::interface::BackendInterface;
use tarragon_datapath::interface::CallerInterface;
use tarragon_datapath::interface::NativeBackendInterface;
use tarragon_datapath::interface::NativeCallerInterface;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::ConfigureAnswer;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_model::note::ReleaseNote;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::SlotAdmission;
use tarragon_policy::admission::SlotAdmissionSettings;
use tarragon_policy::once::KeyTable;
use tarragon_policy::once::OnceSettings;
use tarragon_policy::quarantine::ToldRecord;
use tarragon_policy::retry::CallerThrottle;
use tarragon_policy::retry::ThrottleSettings;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::support::policies::FixedLimit;
use crate::support::policies::LeastInFlight;
use crate::support::policies::TokenLedger;

const KEY_TEXT: &str = "secret of the test deployment";

const RELEASE_NOTE: &str = r#"{
  "id": "first", "version": 1, "importance": ["weigh-in", "upload", "view"],
  "add": [{
    "name": "counter", "calls": [], "default_deadline_ms": 20000,
    "operations": [
      {"name": "view", "method": "GET", "path_prefix": "/", "kind": "view", "idempotent": true,
       "expected_ms": 5},
      {"name": "weigh", "method": "POST", "path_prefix": "/weigh", "kind": "weigh-in",
       "idempotent": false, "expected_ms": 5},
      {"name": "upload", "method": "PUT", "path_prefix": "/photo", "kind": "upload",
       "idempotent": true, "expected_ms": 5000}
    ]
  }]
}"#;

/// Key claims in memory, shared by all nodes of a test.
#[derive(Default)]
pub struct TestClaims {
    owners: Mutex<HashMap<String, InstanceId>>,
}

#[async_trait]
impl KeyClaims for TestClaims {
    async fn claim(
        &self,
        _service: &str,
        key: &str,
        wanted: InstanceId,
    ) -> Result<InstanceId, ClaimError> {
        if key == "no-majority" {
            return Err(ClaimError::Unavailable);
        }
        Ok(*self.owners.lock().unwrap().entry(key.to_string()).or_insert(wanted))
    }
}

#[derive(Default)]
pub struct TestMetrics {
    counts: Mutex<HashMap<&'static str, u64>>,
}

impl TestMetrics {
    pub fn read(&self, name: &str) -> u64 {
        self.counts.lock().unwrap().get(name).copied().unwrap_or(0)
    }
}

impl Metrics for TestMetrics {
    fn count(&self, name: &'static str, amount: u64) {
        *self.counts.lock().unwrap().entry(name).or_default() += amount;
    }

    fn record_duration_us(&self, _name: &'static str, _duration_us: u64) {}
}

struct TestBackend(watch::Sender<BackendStatus>);

impl LocalBackend for TestBackend {
    fn status(&self) -> watch::Receiver<BackendStatus> {
        self.0.subscribe()
    }

    fn record_leaving(&self, id: &str, started_at_ms: u64) {
        self.0.send_modify(|status| {
            if status.server_id.as_deref() == Some(id)
                && status.started_at_ms == Some(started_at_ms)
            {
                status.state = BackendState::Draining;
            }
        });
    }
}

/// Archive in memory, which outlives the nodes of a test.
#[derive(Default)]
pub struct TestArchive(pub Mutex<Vec<ToldRecord>>);

#[async_trait]
impl CrashArchive for TestArchive {
    async fn store(&self, records: Vec<ToldRecord>) -> bool {
        self.0.lock().unwrap().extend(records);
        true
    }

    async fn load(&self) -> Option<Vec<ToldRecord>> {
        Some(self.0.lock().unwrap().clone())
    }
}

/// Nodes that share a catalogue and a member list.
pub struct Cluster {
    catalogue: watch::Sender<Arc<Catalogue>>,
    members: watch::Sender<Arc<Vec<MemberRecord>>>,
    claims: Arc<TestClaims>,
    pub settings: DataPathSettings,
    /// Maximum number of requests that each gate runs concurrently.
    pub concurrency_limit: usize,
    /// Whether the gates use the slots of their backend servers and the run times that they measure,
    /// instead of `concurrency_limit`.
    pub uses_slots: bool,
    pub crash_archive: Arc<TestArchive>,
    pub caller_interface: Arc<dyn CallerInterface>,
    pub backend_interface: Arc<dyn BackendInterface>,
    /// Whether the nodes accept requests of callers.
    pub serving: watch::Sender<ServingState>,
    /// Instance id of the next node. Among otherwise equal nodes, the routing policy prefers the
    /// one that was started first.
    next_instance: AtomicU64,
}

/// A running node.
pub struct Node {
    pub instance: InstanceId,
    /// Address of the listener for callers.
    pub caller: SocketAddr,
    /// Address of the listener for the outgoing calls of the node's backend server.
    pub exit: SocketAddr,
    /// Address of the listener for other nodes.
    pub peer: SocketAddr,
    pub gate: GateHandle,
    pub metrics: Arc<TestMetrics>,
    pub stop: CancellationToken,
    task: JoinHandle<Result<(), error_stack::Report<KernelError>>>,
    status: watch::Sender<BackendStatus>,
}

impl Node {
    /// Stops the node and waits until all of its tasks have ended.
    pub async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap().unwrap();
    }

    pub fn backend_state(&self) -> BackendState {
        self.status.borrow().state
    }

    pub fn set_status(&self, change: impl FnOnce(&mut BackendStatus)) {
        self.status.send_modify(change);
    }
}

impl Cluster {
    /// Puts a configuration in force at all nodes.
    pub fn configure(&self, configuration: &Configuration) {
        let mut catalogue = Catalogue::clone(&self.catalogue.borrow());
        assert_eq!(catalogue.configure(configuration), ConfigureAnswer::Accepted);
        self.catalogue.send_replace(Arc::new(catalogue));
    }

    pub fn new() -> Self {
        Self::with_note(RELEASE_NOTE)
    }

    /// Cluster whose catalogue comes from this release note.
    pub fn with_note(note: &str) -> Self {
        let mut catalogue = Catalogue::default();
        let note = ReleaseNote::from_json(note).unwrap();
        assert_eq!(catalogue.submit(&note), SubmitAnswer::Accepted { revision: 1 });
        let loopback = "127.0.0.1:0".parse().unwrap();
        let mut settings = DataPathSettings::new("node", "hall-a", "south", [loopback; 3]);
        // Long enough that delays on a busy machine do not cause timeouts in tests.
        settings.connect_timeout_ms = 20_000;
        settings.heartbeat_timeout_ms = 20_000;
        Self {
            catalogue: watch::Sender::new(Arc::new(catalogue)),
            members: watch::Sender::new(Arc::new(Vec::new())),
            claims: Arc::default(),
            settings,
            concurrency_limit: 1_000,
            uses_slots: false,
            crash_archive: Arc::default(),
            caller_interface: Arc::new(NativeCallerInterface),
            backend_interface: Arc::new(NativeBackendInterface),
            serving: watch::Sender::new(ServingState::Ready),
            next_instance: AtomicU64::new(rand::random::<u64>() >> 8 << 8),
        }
    }

    /// Starts a node, and connects it to a backend server of the service `counter` if an address is
    /// given.
    pub async fn start_node(&self, name: &str, backend: Option<SocketAddr>) -> Node {
        self.start_node_behind(name, backend, None).await
    }

    /// Starts a node whose peers connect to it at another address, for example that of a relay. The
    /// closure receives the actual peer address and returns the address to announce.
    pub async fn start_node_behind(
        &self,
        name: &str,
        backend: Option<SocketAddr>,
        relay: Option<&(dyn Fn(SocketAddr) -> SocketAddr + Sync)>,
    ) -> Node {
        let instance = InstanceId(self.next_instance.fetch_add(1, Ordering::SeqCst));
        let status = match backend {
            Some(address) => BackendStatus {
                service: "counter".into(),
                address: Some(address),
                slots: 10,
                state: BackendState::Ready,
                server_id: None,
                started_at_ms: None,
                is_leaving: false,
            },
            None => BackendStatus::absent(),
        };
        let status = watch::Sender::new(status);
        let metrics: Arc<TestMetrics> = Arc::default();
        let directory = DirectoryWatch::new(self.catalogue.subscribe(), self.members.subscribe());
        let dependencies = DataPathDependencies {
            instance,
            key: DeploymentKey::from_text(KEY_TEXT),
            directory: Arc::new(directory),
            backend: Arc::new(TestBackend(status.clone())),
            claims: Arc::clone(&self.claims) as Arc<dyn KeyClaims>,
            crash_archive: Arc::clone(&self.crash_archive) as Arc<dyn CrashArchive>,
            metrics: Arc::clone(&metrics) as Arc<dyn Metrics>,
            caller_interface: Arc::clone(&self.caller_interface),
            backend_interface: Arc::clone(&self.backend_interface),
            serving: self.serving.subscribe(),
        };
        let admission: Box<dyn AdmissionPolicy> = if self.uses_slots {
            Box::new(SlotAdmission::new(SlotAdmissionSettings::default()))
        } else {
            Box::new(FixedLimit::new(self.concurrency_limit, 100))
        };
        let policies = Policies {
            admission,
            route: Box::new(LeastInFlight::default()),
            retry: Box::new(TokenLedger::default()),
            once: Box::new(KeyTable::new(instance, OnceSettings::default())),
            throttle: CallerThrottle::new(ThrottleSettings::default()),
        };
        let data_path =
            DataPath::bind(self.settings.clone(), dependencies, policies).await.unwrap();
        let peer = data_path.peer_address();
        let record = MemberRecord {
            node: name.into(),
            instance,
            data_centre: self.settings.data_centre.clone(),
            region: "south".into(),
            gossip_address: peer,
            peer_address: relay.map_or(peer, |relay| relay(peer)),
            control_address: peer,
            replica_address: None,
            service: if backend.is_some() { "counter".into() } else { String::new() },
            state: if backend.is_some() { BackendState::Ready } else { BackendState::Absent },
            version: 1,
            revision: 1,
        };
        let stop = CancellationToken::new();
        let kernel = Arc::new(Kernel::new());
        let task = tokio::spawn(kernel.run(data_path.services(), stop.clone()));
        let node = Node {
            instance,
            caller: data_path.caller_address(),
            exit: data_path.exit_address(),
            peer,
            gate: data_path.gate(),
            metrics,
            stop,
            task,
            status,
        };
        self.members.send_modify(|members| Arc::make_mut(members).push(record));
        node
    }

    /// Removes a node from the member list, as the membership service does after the node has
    /// failed.
    pub fn remove(&self, instance: InstanceId) {
        self.members.send_modify(|members| {
            Arc::make_mut(members).retain(|member| member.instance != instance);
        });
    }

    pub fn deployment_key() -> DeploymentKey {
        DeploymentKey::from_text(KEY_TEXT)
    }
}
