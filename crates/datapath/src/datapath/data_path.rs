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
use crate::transport::Http1Limits;
use crate::transport::Http1Listener;

/// A listener address that cannot be bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BindError {
    /// Name of the setting.
    pub setting: &'static str,
    /// The address.
    pub address: SocketAddr,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} cannot be bound", self.setting, self.address)
    }
}

impl std::error::Error for BindError {}

/// The decisions of a node.
pub struct Policies {
    /// What runs at the gate.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Where calls go.
    pub route: Box<dyn RoutePolicy>,
    /// Retry tokens of the node.
    pub retry: Box<dyn RetryPolicy>,
    /// Key table of the gate.
    pub once: Box<dyn OncePolicy>,
    /// Limit on what callers repeat.
    pub throttle: CallerThrottle,
}

/// What surrounds the data path of a node.
#[derive(Clone)]
pub struct DataPathDependencies {
    /// This life of the node.
    pub instance: InstanceId,
    /// Secret of the deployment.
    pub key: DeploymentKey,
    /// Catalogue and members.
    pub directory: Arc<dyn Directory>,
    /// State of the own backend server.
    pub backend: Arc<dyn LocalBackend>,
    /// Claims of foreign keys.
    pub claims: Arc<dyn KeyClaims>,
    /// Receiver of counters and timings.
    pub metrics: Arc<dyn Metrics>,
    /// Headers to and from callers.
    pub caller_interface: Arc<dyn CallerInterface>,
    /// Headers to and from the own backend server.
    pub backend_interface: Arc<dyn BackendInterface>,
    /// Whether callers are served.
    pub serving: watch::Receiver<ServingState>,
}

/// Listeners, gate and peer connections of one node. The listeners are bound; their connections
/// wait until the services run.
pub struct DataPath {
    caller: Arc<Http1Listener<CallerHandler>>,
    exit: Arc<Http1Listener<ExitHandler>>,
    peer: Arc<PeerServer>,
    gate_service: Arc<GateService>,
    candidate_updater: Arc<CandidateUpdater>,
    handle: GateHandle,
    peers: Arc<PeerPool>,
}

impl DataPath {
    /// Binds the listeners and connects the parts.
    ///
    /// # Errors
    /// Names the setting whose address cannot be bound.
    pub async fn bind(
        settings: DataPathSettings,
        environment: DataPathDependencies,
        policies: Policies,
    ) -> Result<Self, Report<BindError>> {
        let settings = Arc::new(settings);
        let clock = Clock::default();
        let DataPathDependencies { instance, key, directory, backend, claims, metrics, .. } =
            environment;
        let DataPathDependencies { caller_interface, backend_interface, serving, .. } = environment;
        let route = Arc::new(Mutex::new(policies.route));
        let retry = Arc::new(Mutex::new(policies.retry));
        let auth = PeerAuth::new(key.clone());
        let gate = Arc::new(Gate::new(GateDependencies {
            settings: Arc::clone(&settings),
            clock,
            admission: policies.admission,
            once: policies.once,
            retry: Arc::clone(&retry),
            status: backend.status(),
            catalogue: directory.catalogue(),
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
        }));
        let forwarder = Arc::new(Forwarder::new(ForwarderDependencies {
            settings: Arc::clone(&settings),
            clock,
            instance,
            gate: Arc::clone(&gate),
            peers: Arc::clone(&peers),
            route: Arc::clone(&route),
            retry,
            claims,
            catalogue: directory.catalogue(),
            members: directory.members(),
            metrics,
        }));
        // The gate and the peer connections stop after the listeners have ended their requests.
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
            handle: GateHandle::new(gate),
            peers,
        })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Where the own backend server makes its calls.
    pub fn exit_address(&self) -> SocketAddr {
        self.exit.address()
    }

    /// Where other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Access to the gate for the control API and the drain.
    pub fn gate(&self) -> GateHandle {
        self.handle.clone()
    }

    /// Connections to the other nodes.
    pub fn peers(&self) -> Arc<PeerPool> {
        Arc::clone(&self.peers)
    }

    /// The services to run. They return once they are stopped and their requests have ended.
    pub fn services(&self) -> Vec<Arc<dyn Service>> {
        vec![
            Arc::clone(&self.gate_service) as Arc<dyn Service>,
            Arc::clone(&self.candidate_updater) as Arc<dyn Service>,
            Arc::clone(&self.peer) as Arc<dyn Service>,
            Arc::clone(&self.exit) as Arc<dyn Service>,
            Arc::clone(&self.caller) as Arc<dyn Service>,
        ]
    }
}
