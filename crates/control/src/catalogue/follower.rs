use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use error_stack::Report;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::CatalogueChanges;
use tarragon_model::identity::InstanceId;
use tarragon_wire::decode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::debug;
use tracing::info;

use crate::catalogue::CatalogueSources;
use crate::control::ControlLog;

/// Time to wait for changes from one node, in ms.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Pause after a round in which no source had the wanted revision, in ms.
const RETRY_PAUSE_MS: u64 = 200;

/// Keeps the node's copy of the catalogue current; the copy's revision never goes down.
pub struct CatalogueFollower {
    parts: CatalogueFollowerDependencies,
    client: ControlClient,
}

/// What a follower works with.
pub struct CatalogueFollowerDependencies {
    /// The copy that the rest of the node reads.
    pub catalogue: watch::Sender<Arc<Catalogue>>,
    /// The log through the replica of this node, whose catalogue is copied directly.
    pub local_log: Option<Arc<dyn ControlLog>>,
    /// Where to fetch changes from.
    pub sources: CatalogueSources,
    /// Highest revision that any member was heard to have.
    pub highest_known_revision: watch::Receiver<u64>,
    /// Secret that authenticates the changes.
    pub deployment_key: DeploymentKey,
    /// This node's life, which spreads the nodes over the sources.
    pub instance: InstanceId,
    /// Longest time without asking, in ms, for the case that no member was heard.
    pub poll_interval_ms: u64,
}

impl CatalogueFollower {
    /// Creates a follower.
    pub fn new(parts: CatalogueFollowerDependencies) -> Self {
        Self { parts, client: ControlClient::new(None, FETCH_TIMEOUT_MS) }
    }

    fn revision(&self) -> u64 {
        self.parts.catalogue.borrow().revision()
    }

    /// Asks the sources in order until one has changes.
    async fn fetch_round(&self, salt: u64) {
        let revision = self.revision();
        for source in self.parts.sources.addresses(revision, salt) {
            match self.fetch(source, revision).await {
                Ok(changes) => {
                    if self.apply(&changes) {
                        info!("note: revision {} in force, fetched from {source}", self.revision());
                        return;
                    }
                }
                Err(cause) => debug!("note: no changes from {source}: {cause}"),
            }
        }
    }

    async fn fetch(&self, source: SocketAddr, revision: u64) -> Result<CatalogueChanges, String> {
        let path = format!("/v1/catalogue?since={revision}");
        let reply = self.client.send(source, Method::GET, &path, Bytes::new()).await;
        let reply = reply.map_err(|report| report.current_context().to_string())?;
        if !reply.status.is_success() {
            return Err(format!("answered {}", reply.status));
        }
        let changes =
            decode_authenticated(&self.parts.deployment_key, MessageChannel::Replica, &reply.body);
        changes.map_err(|e| e.to_string())
    }

    fn apply(&self, changes: &CatalogueChanges) -> bool {
        self.parts.catalogue.send_if_modified(|copy| {
            let mut next = copy.as_ref().clone();
            let is_changed = next.apply_changes(changes);
            if is_changed {
                *copy = Arc::new(next);
            }
            is_changed
        })
    }

    /// Copies the replica's catalogue if it is ahead.
    fn copy_replica(&self, replica: &Arc<Catalogue>) {
        self.parts.catalogue.send_if_modified(|copy| {
            let is_ahead = replica.revision() > copy.revision();
            if is_ahead {
                *copy = Arc::clone(replica);
                info!("note: revision {} in force", replica.revision());
            }
            is_ahead
        });
    }

    async fn follow_replica(&self, mut replica: watch::Receiver<Arc<Catalogue>>) {
        loop {
            let present = replica.borrow_and_update().clone();
            self.copy_replica(&present);
            if replica.changed().await.is_err() {
                return;
            }
        }
    }

    /// Fetches whenever a member is heard to be ahead, and rarely without a cause.
    async fn follow_members(&self) {
        let mut wanted = self.parts.highest_known_revision.clone();
        let poll_interval = Duration::from_millis(self.parts.poll_interval_ms);
        let mut round = 0;
        loop {
            round += 1;
            self.fetch_round(self.parts.instance.0.rotate_left(round)).await;
            if *wanted.borrow_and_update() > self.revision() {
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                continue;
            }
            let is_gone = tokio::time::timeout(poll_interval, wanted.changed()).await;
            if matches!(is_gone, Ok(Err(_))) {
                tokio::time::sleep(poll_interval).await;
            }
        }
    }
}

#[async_trait]
impl Service for CatalogueFollower {
    fn name(&self) -> &'static str {
        "catalogue"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let replica = self.parts.local_log.as_ref().and_then(|log| log.catalogue());
        let follow_replica = async {
            match replica {
                Some(replica) => self.follow_replica(replica).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_replica => {}
            () = self.follow_members() => {}
        }
        Ok(())
    }
}
