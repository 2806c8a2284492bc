use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use tarragon_kernel::Service;
use tarragon_model::identity::InstanceId;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::once::OncePolicy;
use tarragon_policy::retry::CallerThrottle;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::routing::RoutePolicy;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::archive::CrashArchive;
use crate::backend::LocalBackend;
use crate::claims::KeyClaims;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::datapath::ServingState;
use crate::directory::Directory;
use crate::entry::CallerHandler;
use crate::entry::CandidateUpdater;
use crate::entry::ExitHandler;
use crate::entry::Forwarder;
use crate::entry::ForwarderDependencies;
use crate::gate::Gate;
use crate::gate::GateDependencies;
use crate::gate::GateHandle;
use crate::gate::GateService;
use crate::interface::BackendInterface;
use crate::interface::CallerInterface;
use crate::peer::PeerAuth;
use crate::peer::PeerPool;
use crate::peer::PeerPoolDependencies;
use crate::peer::PeerServer;
use crate::quarantine::CrashArchiver;
use crate::quarantine::CrashSpreader;
use crate::quarantine::SharedLedger;
use crate::transport::Http1Limits;
use crate::transport::Http1Listener;

/// A listener address could not be bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BindError {
    /// Name of the setting that holds the address.
    pub setting: &'static str,
    /// Address that could not be bound.
    pub address: SocketAddr,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} cannot be bound", self.setting, self.address)
    }
}

impl std::error::Error for BindError {}

/// Policies that make the admission, routing and retry decisions of a node.
pub struct Policies {
    /// Decides which requests run at the gate and which wait or are refused.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Chooses the node that a call is sent to.
    pub route: Box<dyn RoutePolicy>,
    /// Accounts for the retry tokens of the requests at this node.
    pub retry: Box<dyn RetryPolicy>,
    /// Idempotency keys that the gate has seen, and the state of their requests.
    pub once: Box<dyn OncePolicy>,
    /// Limits the retries of each caller.
    pub throttle: CallerThrottle,
}

/// Identity of the node and the services that its data path depends on.
#[derive(Clone)]
pub struct DataPathDependencies {
    /// Identity of this run of the node; each start of the process has a new one.
    pub instance: InstanceId,
    /// Shared secret of the deployment, which authenticates requests between nodes.
    pub key: DeploymentKey,
    /// Access to the catalogue and the member list.
    pub directory: Arc<dyn Directory>,
    /// Status of the node's own backend server.
    pub backend: Arc<dyn LocalBackend>,
    /// Claims idempotency keys that no node issued.
    pub claims: Arc<dyn KeyClaims>,
    /// Keeps the requests that crash their servers.
    pub crash_archive: Arc<dyn CrashArchive>,
    /// Receives counters and durations.
    pub metrics: Arc<dyn Metrics>,
    /// Reads requests of callers and writes responses to them.
    pub caller_interface: Arc<dyn CallerInterface>,
    /// Writes request headers for the node's backend server and interprets its responses.
    pub backend_interface: Arc<dyn BackendInterface>,
    /// Whether the node accepts requests of callers.
    pub serving: watch::Receiver<ServingState>,
}

/// Listeners, gate and peer connections of one node. The listeners are bound; new connections wait
/// in the backlog until the services run.
pub struct DataPath {
    caller: Arc<Http1Listener<CallerHandler>>,
    exit: Arc<Http1Listener<ExitHandler>>,
    peer: Arc<PeerServer>,
    gate_service: Arc<GateService>,
    candidate_updater: Arc<CandidateUpdater>,
    crash_spreader: Arc<CrashSpreader>,
    crash_archiver: Arc<CrashArchiver>,
    gate_handle: GateHandle,
    peers: Arc<PeerPool>,
}

impl DataPath {
    /// Binds the listeners and connects the components of the data path.
    ///
    /// # Errors
    /// `BindError` with the setting whose address cannot be bound.
    pub async fn bind(
        settings: DataPathSettings,
        dependencies: DataPathDependencies,
        policies: Policies,
    ) -> Result<Self, Report<BindError>> {
        let settings = Arc::new(settings);
        let clock = Clock::default();
        let DataPathDependencies { instance, key, directory, backend, claims, metrics, .. } =
            dependencies;
        let DataPathDependencies {
            caller_interface,
            backend_interface,
            serving,
            crash_archive,
            ..
        } = dependencies;
        let route = Arc::new(Mutex::new(policies.route));
        let retry = Arc::new(Mutex::new(policies.retry));
        let auth = PeerAuth::new(key.clone());
        let crashes = Arc::new(SharedLedger::new(clock));
        let gate = Arc::new(Gate::new(GateDependencies {
            settings: Arc::clone(&settings),
            clock,
            admission: policies.admission,
            crashes: Arc::clone(&crashes),
            once: policies.once,
            retry: Arc::clone(&retry),
            backend,
            catalogue: directory.catalogue(),
            serving: serving.clone(),
            key,
            metrics: Arc::clone(&metrics),
            interface: backend_interface,
        }));
        let peers = Arc::new(PeerPool::new(PeerPoolDependencies {
            settings: Arc::clone(&settings),
            clock,
            auth: auth.clone(),
            metrics: Arc::clone(&metrics),
            route: Arc::clone(&route),
            crashes: Arc::clone(&crashes),
        }));
        let forwarder = Arc::new(Forwarder::new(ForwarderDependencies {
            settings: Arc::clone(&settings),
            clock,
            instance,
            gate: Arc::clone(&gate),
            peers: Arc::clone(&peers),
            route: Arc::clone(&route),
            retry,
            crashes,
            claims,
            catalogue: directory.catalogue(),
            members: directory.members(),
            metrics,
            serving: serving.clone(),
        }));
        // The gate and the peer connections stop only after the listeners have finished their
        // requests, because those still use them.
        let listeners = TaskTracker::new();
        listeners.close();
        let limits = Http1Limits {
            max_header_bytes: settings.max_header_bytes,
            max_connections: settings.max_caller_connections,
            write_timeout: Duration::from_millis(settings.caller_write_timeout_ms),
        };
        let handler = Arc::new(CallerHandler::new(
            Arc::clone(&forwarder),
            policies.throttle,
            caller_interface,
            serving,
        ));
        let address = settings.caller_address;
        let caller =
            Http1Listener::bind("entry", address, handler, limits, listeners.token()).await;
        let caller = caller.change_context(BindError { setting: "caller_address", address })?;
        let handler = Arc::new(ExitHandler::new(forwarder));
        let address = settings.exit_address;
        let exit = Http1Listener::bind("exit", address, handler, limits, listeners.token()).await;
        let exit = exit.change_context(BindError { setting: "exit_address", address })?;
        let address = settings.peer_address;
        let peer = PeerServer::bind(Arc::clone(&gate), instance, auth, listeners.token()).await;
        let peer = peer.change_context(BindError { setting: "peer_address", address })?;
        let crash_spreader = CrashSpreader::new(
            instance,
            settings.data_centre.clone(),
            directory.members(),
            Arc::clone(&gate.crashes),
            Arc::clone(&peers),
        );
        let crash_archiver = CrashArchiver::new(Arc::clone(&gate.crashes), crash_archive);
        let candidate_updater = CandidateUpdater::new(
            settings,
            clock,
            instance,
            directory.members(),
            route,
            Arc::clone(&peers),
            listeners.clone(),
        );
        Ok(Self {
            caller: Arc::new(caller),
            exit: Arc::new(exit),
            peer: Arc::new(peer),
            gate_service: Arc::new(GateService::new(Arc::clone(&gate), listeners)),
            candidate_updater: Arc::new(candidate_updater),
            crash_spreader: Arc::new(crash_spreader),
            crash_archiver: Arc::new(crash_archiver),
            gate_handle: GateHandle::new(gate),
            peers,
        })
    }

    /// Address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Address that the node's backend server sends its outgoing calls to.
    pub fn exit_address(&self) -> SocketAddr {
        self.exit.address()
    }

    /// Address that other nodes connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Handle of the gate for the control API and for draining.
    pub fn gate(&self) -> GateHandle {
        self.gate_handle.clone()
    }

    /// Connections to the other nodes.
    pub fn peers(&self) -> Arc<PeerPool> {
        Arc::clone(&self.peers)
    }

    /// Services to run. Each returns after it is stopped and its requests have finished.
    pub fn services(&self) -> Vec<Arc<dyn Service>> {
        vec![
            Arc::clone(&self.gate_service) as Arc<dyn Service>,
            Arc::clone(&self.candidate_updater) as Arc<dyn Service>,
            Arc::clone(&self.crash_spreader) as Arc<dyn Service>,
            Arc::clone(&self.crash_archiver) as Arc<dyn Service>,
            Arc::clone(&self.peer) as Arc<dyn Service>,
            Arc::clone(&self.exit) as Arc<dyn Service>,
            Arc::clone(&self.caller) as Arc<dyn Service>,
        ]
    }
}
