use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use error_stack::Report;
use http::Method;
use tarragon_client::ClientError;
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
use tracing::info;

use crate::catalogue::CatalogueSources;
use crate::control::ControlLog;
use crate::hedging::first_success;
use crate::hedging::ArrivingResponses;

/// Time limit for the start of a response with changes, and for each part of it, in ms.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Time limit for a whole response with changes, in ms. Ten MB arrive in it over a link of 3 Mbit/s.
const TRANSFER_TIMEOUT_MS: u64 = 30_000;

/// Delay before the next round if no source had the highest known revision, in ms.
const RETRY_PAUSE_MS: u64 = 200;

/// Keeps the node's copy of the catalogue up to date. The revision of the copy never decreases.
pub struct CatalogueFollower {
    dependencies: CatalogueFollowerDependencies,
    client: ControlClient,
}

/// Dependencies of a [`CatalogueFollower`].
pub struct CatalogueFollowerDependencies {
    /// The copy of the catalogue that the other services of the node read.
    pub catalogue: watch::Sender<Arc<Catalogue>>,
    /// Access to the log through the local replica, whose catalogue is copied directly; none if
    /// this node has no replica.
    pub local_log: Option<Arc<dyn ControlLog>>,
    /// Nodes from which changes are fetched.
    pub sources: CatalogueSources,
    /// Highest revision that any member has reported.
    pub highest_known_revision: watch::Receiver<u64>,
    /// Key that authenticates the changes.
    pub deployment_key: DeploymentKey,
    /// Instance of this node. Its id spreads the nodes over the sources.
    pub instance: InstanceId,
    /// Maximum time between two fetches, in ms. It covers a node to which no member reports its
    /// revision.
    pub poll_interval_ms: u64,
}

impl CatalogueFollower {
    /// Creates a follower.
    pub fn new(dependencies: CatalogueFollowerDependencies) -> Self {
        Self { dependencies, client: ControlClient::new(None, FETCH_TIMEOUT_MS) }
    }

    fn revision(&self) -> u64 {
        self.dependencies.catalogue.borrow().revision()
    }

    /// Queries the sources until one returns changes.
    async fn fetch_round(&self, salt: u64) {
        let started = Instant::now();
        let revision = self.revision();
        // The sources are looked up again for each request, as more members reach the revision.
        let mut queried = BTreeSet::new();
        let next_source = || {
            let sources = self.dependencies.sources.addresses(revision, salt);
            sources.into_iter().find(|source| queried.insert(*source))
        };
        let arriving = ArrivingResponses::default();
        let fetch = |source| self.fetch(source, revision, &arriving);
        let fetched = first_success(next_source, &arriving, fetch);
        let failures = match fetched.await {
            Ok((source, changes)) if self.apply(&changes) => {
                let elapsed_ms = elapsed_ms(started);
                let revision = self.revision();
                info!(revision, %source, elapsed_ms, "note: fetched revision is in force");
                return;
            }
            Ok(_) => Vec::new(),
            Err(failures) => failures,
        };
        let known_revision = *self.dependencies.highest_known_revision.borrow();
        if known_revision > self.revision() {
            info!(
                revision,
                known_revision,
                sources = queried.len(),
                failures = failures.join("; "),
                elapsed_ms = elapsed_ms(started),
                "note: no source returned the known revision"
            );
        }
    }

    /// Fetches the changes after `revision` from a source. Fails if there are none.
    async fn fetch(
        &self,
        source: SocketAddr,
        revision: u64,
        arriving: &ArrivingResponses,
    ) -> Result<(SocketAddr, CatalogueChanges), String> {
        let failure = |cause: String| format!("{source}: {cause}");
        let path = format!("/v1/catalogue?since={revision}");
        let client_failure =
            |report: Report<ClientError>| failure(report.current_context().to_string());
        let opened = self.client.open(source, Method::GET, &path, Bytes::new()).await;
        let opened = opened.map_err(client_failure)?;
        let _arriving = arriving.begin();
        let reading =
            tokio::time::timeout(Duration::from_millis(TRANSFER_TIMEOUT_MS), opened.read());
        let response = reading.await.map_err(|_| failure("the transfer takes too long".into()))?;
        let response = response.map_err(client_failure)?;
        if !response.status.is_success() {
            return Err(failure(format!("HTTP status {}", response.status)));
        }
        let changes: CatalogueChanges = decode_authenticated(
            &self.dependencies.deployment_key,
            MessageChannel::Replica,
            &response.body,
        )
        .map_err(|e| failure(e.to_string()))?;
        if changes.to_revision > revision {
            Ok((source, changes))
        } else {
            Err(failure("has no newer revision".into()))
        }
    }

    fn apply(&self, changes: &CatalogueChanges) -> bool {
        self.dependencies.catalogue.send_if_modified(|copy| {
            let mut next = copy.as_ref().clone();
            let is_changed = next.apply_changes(changes);
            if is_changed {
                *copy = Arc::new(next);
            }
            is_changed
        })
    }

    /// Copies the catalogue of the local replica if its revision is higher.
    fn copy_replica(&self, replica: &Arc<Catalogue>) {
        self.dependencies.catalogue.send_if_modified(|copy| {
            let is_newer = replica.revision() > copy.revision();
            if is_newer {
                *copy = Arc::clone(replica);
                info!("note: revision {} in force", replica.revision());
            }
            is_newer
        });
    }

    async fn follow_replica(&self, mut replica: watch::Receiver<Arc<Catalogue>>) {
        loop {
            let current = replica.borrow_and_update().clone();
            self.copy_replica(&current);
            if replica.changed().await.is_err() {
                return;
            }
        }
    }

    /// Fetches changes when a member reports a higher revision, and once per poll interval
    /// otherwise.
    async fn follow_members(&self) {
        let mut highest_known_revision = self.dependencies.highest_known_revision.clone();
        let poll_interval = Duration::from_millis(self.dependencies.poll_interval_ms);
        let mut round = 0;
        loop {
            round += 1;
            self.fetch_round(self.dependencies.instance.0.rotate_left(round)).await;
            if *highest_known_revision.borrow_and_update() > self.revision() {
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                continue;
            }
            let change =
                tokio::time::timeout(poll_interval, highest_known_revision.changed()).await;
            if matches!(change, Ok(Err(_))) {
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
        let replica = self.dependencies.local_log.as_ref().and_then(|log| log.catalogue());
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

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
