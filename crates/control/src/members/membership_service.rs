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

/// Time between checks for what only time changes in the own backend server, in ms.
const LOCAL_CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between two reports of the protocol's counters, in ms.
const COUNT_INTERVAL_MS: u64 = 1_000;

/// What the membership service works with.
pub struct MembershipServiceDependencies {
    /// Record of this node.
    pub own_record: MemberRecord,
    /// UDP address to listen on; the record may name another one.
    pub listen_address: SocketAddr,
    /// Settings of the protocol.
    pub settings: MembershipSettings,
    /// Secret of the nodes.
    pub deployment_key: DeploymentKey,
    /// Where the list of members is published.
    pub members: watch::Sender<Arc<Vec<MemberRecord>>>,
    /// Where the highest revision heard of is published.
    pub highest_known_revision: watch::Sender<u64>,
    /// The node's own backend server.
    pub backend: watch::Receiver<BackendStatus>,
    /// The node's copy of the catalogue.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Receiver of the protocol's counters.
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
    pub async fn bind(parts: MembershipServiceDependencies) -> Result<Self, Report<KernelError>> {
        let address = parts.listen_address;
        let socket = UdpSocket::bind(address).await.change_context_lazy(|| {
            KernelError::ServiceFailed(format!("membership at {address}"))
        })?;
        let key = parts.deployment_key;
        let source = FullStateFetcher::new(parts.members.subscribe(), key.clone());
        let seed = parts.own_record.instance.0;
        let membership = Membership::new(parts.settings, parts.own_record, seed, 0);
        let (driver, handle) =
            MembershipDriver::new(socket, key, membership, Some(Arc::new(source)));
        parts.members.send_replace(handle.members());
        Ok(Self {
            driver: std::sync::Mutex::new(Some(driver)),
            handle,
            members: parts.members,
            highest_known_revision: parts.highest_known_revision,
            backend: parts.backend,
            catalogue: parts.catalogue,
            metrics: parts.metrics,
        })
    }

    /// Access to the membership of this node.
    pub fn handle(&self) -> &MembershipHandle {
        &self.handle
    }

    /// Publishes what the protocol learns.
    async fn publish_changes(&self) {
        let mut handle = self.handle.clone();
        while handle.changed().await {
            self.members.send_if_modified(|present| {
                let next = handle.members();
                let is_changed = !Arc::ptr_eq(present, &next);
                *present = next;
                is_changed
            });
            self.highest_known_revision.send_if_modified(|present| {
                let next = handle.highest_known_revision();
                let is_changed = next > *present;
                *present = next.max(*present);
                is_changed
            });
        }
    }

    /// Passes the growth of the protocol's counters on to the metrics.
    async fn count(&self) {
        let mut interval = tokio::time::interval(Duration::from_millis(COUNT_INTERVAL_MS));
        let mut counted = self.handle.counters().values();
        loop {
            interval.tick().await;
            let present = self.handle.counters().values();
            for ((name, value), (_, earlier)) in present.iter().zip(counted) {
                if *value > earlier {
                    self.metrics.count(name, value - earlier);
                }
            }
            counted = present;
        }
    }

    /// Tells the members about this node's backend server and catalogue.
    async fn tell_changes(&self) {
        let mut backend = self.backend.clone();
        let mut catalogue = self.catalogue.clone();
        let interval = Duration::from_millis(LOCAL_CHECK_INTERVAL_MS);
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
        let driver = self.driver.lock().expect("no holder of the lock panics").take();
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
            () = self.tell_changes() => {}
            () = self.count() => {}
            () = leaving => {}
        }
        Ok(())
    }
}
