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

/// Dependencies of a [`ReplicaService`].
pub struct ReplicaServiceDependencies<'a> {
    /// Name of this node.
    pub node_name: &'a str,
    /// Directory of the durable state.
    pub data_dir: &'a Path,
    /// Address to listen on for connections from other replicas.
    pub replica_address: SocketAddr,
    /// Addresses of the other replicas.
    pub addresses: ReplicaAddresses,
    /// Secret key shared by the nodes.
    pub deployment_key: DeploymentKey,
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Records messages that fail authentication.
    pub auth_failures: AuthFailureRecorder,
}

/// Runs the control replica of this node.
pub struct ReplicaService {
    driver_and_listener: Mutex<Option<(ReplicaDriver, TcpListener)>>,
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
        dependencies: ReplicaServiceDependencies<'_>,
    ) -> Result<(Self, ReplicaLog), Report<KernelError>> {
        let service_failure = |step: String| move || KernelError::ServiceFailed(step);
        let data_dir = dependencies.data_dir;
        let (store, recovered) = FileLogStore::open(data_dir, DiskId(random()))
            .change_context_lazy(service_failure(format!("the log in '{}'", data_dir.display())))?;
        let id = ReplicaId::new(dependencies.node_name, store.disk_id());
        info!("log: replica {id} holds {} entries", recovered.entries.len());
        let listener = TcpListener::bind(dependencies.replica_address).await.change_context_lazy(
            service_failure(format!("replica at {}", dependencies.replica_address)),
        )?;
        let tasks = TaskTracker::new();
        let (key, auth_failures) = (dependencies.deployment_key, dependencies.auth_failures);
        let transport =
            Arc::new(TcpTransport::new(dependencies.addresses, key.clone(), tasks.clone()));
        let (machine, state, catalogue) = ControlStateMachine::new();
        let (driver, handle) = ReplicaDriver::new(ReplicaDriverDependencies {
            id,
            settings: RaftSettings {
                min_copies: dependencies.tolerated_losses + 1,
                ..RaftSettings::default()
            },
            store: Box::new(store),
            recovered,
            state_machine: Box::new(machine),
            transport: Arc::clone(&transport) as _,
            seed: random(),
        })
        .change_context_lazy(service_failure("restoring the snapshot".into()))?;
        let auth_failures = Arc::new(auth_failures);
        let log = ReplicaLog::new(handle.clone(), state, catalogue);
        let driver_and_listener = Mutex::new(Some((driver, listener)));
        Ok((Self { driver_and_listener, handle, transport, tasks, key, auth_failures }, log))
    }

    /// Returns the handle of the replica.
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
        let driver_and_listener = self
            .driver_and_listener
            .lock()
            .expect("no thread panics while it holds the lock")
            .take();
        let (driver, listener) = driver_and_listener.expect("the kernel runs a service once");
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
