use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use error_stack::ResultExt;
use tarragon_datapath::backend::BackendStatus;
use tarragon_datapath::datapath::Metrics;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_membership::Membership;
use tarragon_membership::MembershipDriver;
use tarragon_membership::MembershipHandle;
use tarragon_membership::MembershipSettings;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::member::MemberRecord;
use tarragon_wire::DeploymentKey;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::members::FullStateFetcher;

/// Interval at which the state of the local backend server is passed on even without a
/// notification, in ms. It covers changes that only the passage of time causes.
const LOCAL_STATE_INTERVAL_MS: u64 = 1_000;

/// Interval at which the protocol's counters are added to the metrics, in ms.
const COUNTER_INTERVAL_MS: u64 = 1_000;

/// Dependencies of a [`MembershipService`].
pub struct MembershipServiceDependencies {
    /// Record of this node.
    pub own_record: MemberRecord,
    /// UDP address to listen on. The record may contain a different, advertised one.
    pub listen_address: SocketAddr,
    /// Settings of the protocol.
    pub settings: MembershipSettings,
    /// Secret key shared by the nodes.
    pub deployment_key: DeploymentKey,
    /// Channel on which the list of members is published.
    pub members: watch::Sender<Arc<Vec<MemberRecord>>>,
    /// Channel on which the highest revision that any member has reported is published.
    pub highest_known_revision: watch::Sender<u64>,
    /// Status of the local backend server.
    pub backend: watch::Receiver<BackendStatus>,
    /// The node's copy of the catalogue.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Metrics to which the protocol's counters are added.
    pub metrics: Arc<dyn Metrics>,
}

/// Runs the membership protocol and connects it to the rest of the node.
pub struct MembershipService {
    driver: std::sync::Mutex<Option<MembershipDriver>>,
    handle: MembershipHandle,
    members: watch::Sender<Arc<Vec<MemberRecord>>>,
    highest_known_revision: watch::Sender<u64>,
    backend: watch::Receiver<BackendStatus>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    metrics: Arc<dyn Metrics>,
}

impl MembershipService {
    /// Binds the UDP socket.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        dependencies: MembershipServiceDependencies,
    ) -> Result<Self, Report<KernelError>> {
        let address = dependencies.listen_address;
        let socket = UdpSocket::bind(address).await.change_context_lazy(|| {
            KernelError::ServiceFailed(format!("membership at {address}"))
        })?;
        let key = dependencies.deployment_key;
        let source = FullStateFetcher::new(dependencies.members.subscribe(), key.clone());
        let seed = dependencies.own_record.instance.0;
        let membership = Membership::new(dependencies.settings, dependencies.own_record, seed, 0);
        let (driver, handle) =
            MembershipDriver::new(socket, key, membership, Some(Arc::new(source)));
        dependencies.members.send_replace(handle.members());
        Ok(Self {
            driver: std::sync::Mutex::new(Some(driver)),
            handle,
            members: dependencies.members,
            highest_known_revision: dependencies.highest_known_revision,
            backend: dependencies.backend,
            catalogue: dependencies.catalogue,
            metrics: dependencies.metrics,
        })
    }

    /// Returns the handle of the membership protocol.
    pub fn handle(&self) -> &MembershipHandle {
        &self.handle
    }

    /// Publishes changes of the members and of the highest known revision.
    async fn publish_changes(&self) {
        let mut handle = self.handle.clone();
        while handle.changed().await {
            self.members.send_if_modified(|current| {
                let next = handle.members();
                let is_changed = !Arc::ptr_eq(current, &next);
                *current = next;
                is_changed
            });
            self.highest_known_revision.send_if_modified(|current| {
                let next = handle.highest_known_revision();
                let is_changed = next > *current;
                *current = next.max(*current);
                is_changed
            });
        }
    }

    /// Adds the increments of the protocol's counters to the metrics.
    async fn report_counters(&self) {
        let mut interval = tokio::time::interval(Duration::from_millis(COUNTER_INTERVAL_MS));
        let mut previous = self.handle.counters().values();
        loop {
            interval.tick().await;
            let current = self.handle.counters().values();
            for ((name, value), (_, previous_value)) in current.iter().zip(previous) {
                if *value > previous_value {
                    self.metrics.count(name, value - previous_value);
                }
            }
            previous = current;
        }
    }

    /// Passes the state of the local backend server and the catalogue revision on to the protocol,
    /// which disseminates them to the members.
    async fn publish_local_state(&self) {
        let mut backend = self.backend.clone();
        let mut catalogue = self.catalogue.clone();
        let interval = Duration::from_millis(LOCAL_STATE_INTERVAL_MS);
        loop {
            let status = backend.borrow_and_update().clone();
            let revision = catalogue.borrow_and_update().revision();
            self.handle.set_local_state(&status.service, status.state, revision);
            tokio::select! {
                _ = backend.changed() => {}
                _ = catalogue.changed() => {}
                () = tokio::time::sleep(interval) => {}
            }
        }
    }
}

#[async_trait]
impl Service for MembershipService {
    fn name(&self) -> &'static str {
        "membership"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let driver = self.driver.lock().expect("no thread panics while it holds the lock").take();
        let driver = driver.expect("the kernel runs a service once");
        let driver_stop = CancellationToken::new();
        let leaving = async {
            stop.cancelled().await;
            self.handle.leave().await;
            driver_stop.cancel();
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = driver.run(driver_stop.clone()) => {}
            () = self.publish_changes() => {}
            () = self.publish_local_state() => {}
            () = self.report_counters() => {}
            () = leaving => {}
        }
        Ok(())
    }
}
