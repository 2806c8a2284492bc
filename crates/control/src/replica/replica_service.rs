use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use error_stack::Report;
use error_stack::ResultExt;
use rand::random;
use tarragon_consensus::driver::ReplicaDriver;
use tarragon_consensus::driver::ReplicaDriverDependencies;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::storage::FileLogStore;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_wire::DeploymentKey;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::control::AuthFailureRecorder;
use crate::replica::listener::run_listener;
use crate::replica::tcp_transport::TcpTransport;
use crate::replica::ControlStateMachine;
use crate::replica::ReplicaAddresses;
use crate::replica::ReplicaLog;

/// What the replica of a node is made of.
pub struct ReplicaServiceDependencies<'a> {
    /// Name of this node.
    pub node_name: &'a str,
    /// Folder for the durable state.
    pub data_dir: &'a Path,
    /// Address for other replicas.
    pub replica_address: SocketAddr,
    /// Where to find the other replicas.
    pub addresses: ReplicaAddresses,
    /// Secret of the nodes.
    pub deployment_key: DeploymentKey,
    /// Frames without the secret of the nodes.
    pub auth_failures: AuthFailureRecorder,
}

/// Runs the control replica of this node.
pub struct ReplicaService {
    parts: Mutex<Option<(ReplicaDriver, TcpListener)>>,
    handle: ReplicaHandle,
    transport: Arc<TcpTransport>,
    tasks: TaskTracker,
    key: DeploymentKey,
    auth_failures: Arc<AuthFailureRecorder>,
}

impl ReplicaService {
    /// Opens the durable state and binds the listener.
    ///
    /// # Errors
    /// The state is damaged or cannot be read, or the address cannot be bound.
    pub async fn open(
        parts: ReplicaServiceDependencies<'_>,
    ) -> Result<(Self, ReplicaLog), Report<KernelError>> {
        let failure = |step: String| move || KernelError::ServiceFailed(step);
        let data_dir = parts.data_dir;
        let (store, recovered) = FileLogStore::open(data_dir, DiskId(random()))
            .change_context_lazy(failure(format!("the log in '{}'", data_dir.display())))?;
        let id = ReplicaId::new(parts.node_name, store.disk_id());
        info!("log: replica {id} holds {} entries", recovered.entries.len());
        let listener = TcpListener::bind(parts.replica_address)
            .await
            .change_context_lazy(failure(format!("replica at {}", parts.replica_address)))?;
        let tasks = TaskTracker::new();
        let (key, auth_failures) = (parts.deployment_key, parts.auth_failures);
        let transport = Arc::new(TcpTransport::new(parts.addresses, key.clone(), tasks.clone()));
        let (machine, state, catalogue) = ControlStateMachine::new();
        let (driver, handle) = ReplicaDriver::new(ReplicaDriverDependencies {
            id,
            settings: RaftSettings::default(),
            store: Box::new(store),
            recovered,
            state_machine: Box::new(machine),
            transport: Arc::clone(&transport) as _,
            seed: random(),
        })
        .change_context_lazy(failure("restoring the snapshot".into()))?;
        let auth_failures = Arc::new(auth_failures);
        let log = ReplicaLog::new(handle.clone(), state, catalogue);
        let parts = Mutex::new(Some((driver, listener)));
        Ok((Self { parts, handle, transport, tasks, key, auth_failures }, log))
    }

    /// Access to the replica.
    pub fn handle(&self) -> &ReplicaHandle {
        &self.handle
    }
}

#[async_trait]
impl Service for ReplicaService {
    fn name(&self) -> &'static str {
        "replica"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let parts = self.parts.lock().expect("no holder of the lock panics").take();
        let (driver, listener) = parts.expect("the kernel runs a service once");
        let (handle, key) = (self.handle.clone(), self.key.clone());
        let result = tokio::select! {
            result = driver.run(stop) => result,
            () = run_listener(listener, handle, key, Arc::clone(&self.auth_failures)) => Ok(()),
        };
        self.tasks.close();
        self.transport.close();
        self.tasks.wait().await;
        result.change_context_lazy(|| KernelError::ServiceFailed("replica".into()))
    }
}
