use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use futures_util::future::join_all;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_datapath::directory::Directory;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::api::ReplicaInfo;
use tarragon_wire::DeploymentKey;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::replica::fetch_replica_info;
use crate::replica::next_member_change;
use crate::replica::ReplicaObservation;

/// Time between two looks at the replicas, in ms.
const CHECK_INTERVAL_MS: u64 = 500;

/// Time between two looks while the log is to be formed, in ms; operators wait for it.
const FORMATION_INTERVAL_MS: u64 = 100;

/// Time without an answer after which a replica may be replaced, in ms. It is longer than a restart
/// of a process, and short enough that a replacement is complete before the next host may fail.
const LOST_AFTER_MS: u64 = 3_000;

/// How the log comes into being without an operator's command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogFormation {
    /// Whether the whole deployment starts for the first time. Nothing is ever formed without it,
    /// since a replica that lost its disk looks like a new one.
    pub is_first_start: bool,
    /// Control addresses of the replicas that form the log. Every node names the same ones at the
    /// first start.
    pub founders: Vec<SocketAddr>,
    /// Control address of this node.
    pub own_address: SocketAddr,
}

/// What a supervisor works with.
pub struct ReplicaSupervisorDependencies {
    /// The replica of this node.
    pub replica: ReplicaHandle,
    /// How the log comes into being.
    pub formation: LogFormation,
    /// Tells which nodes hold replicas.
    pub directory: Arc<dyn Directory>,
    /// Secret of the nodes.
    pub deployment_key: DeploymentKey,
}

/// Forms the log at the first start, and replaces lost replicas while this node leads.
pub struct ReplicaSupervisor {
    parts: ReplicaSupervisorDependencies,
    /// When each member was last reachable, while this node leads.
    last_reachable: Mutex<HashMap<ReplicaId, Instant>>,
}

impl ReplicaSupervisor {
    /// Creates a supervisor of the node's own replica.
    pub fn new(parts: ReplicaSupervisorDependencies) -> Self {
        Self { parts, last_reachable: Mutex::default() }
    }

    /// Does what is due. Returns the time until the next look, in ms.
    async fn check(&self) -> u64 {
        let status = self.parts.replica.status();
        if status.configuration.voters.is_empty() {
            if self.parts.formation.is_first_start {
                self.form().await;
            }
            return FORMATION_INTERVAL_MS;
        }
        if status.role == ReplicaRole::Leader {
            self.replace(&status).await;
        } else {
            self.last_reachable.lock().expect("no holder of the lock panics").clear();
        }
        CHECK_INTERVAL_MS
    }

    /// Forms the log if this node is the first of the founders and none of them has one.
    ///
    /// Only one node may do it, or two logs could be formed. All founders must answer, because one
    /// that does not may hold a log already.
    async fn form(&self) {
        let LogFormation { founders, own_address, .. } = &self.parts.formation;
        if founders.iter().min() != Some(own_address) {
            return;
        }
        let key = &self.parts.deployment_key;
        let asked = founders.iter().map(|address| fetch_replica_info(key, *address));
        let infos: Option<Vec<ReplicaInfo>> = join_all(asked).await.into_iter().collect();
        let Some(infos) = infos else { return };
        let has_log = |info: &ReplicaInfo| !(info.voters.is_empty() && info.learners.is_empty());
        if infos.iter().any(has_log) {
            return;
        }
        let voters: Option<Vec<ReplicaId>> = infos.iter().map(id_of).collect();
        let Some(voters) = voters else {
            warn!("log: a founder has a malformed disk id, the log is not formed");
            return;
        };
        let names: Vec<String> = voters.iter().map(ToString::to_string).collect();
        info!(voters = names.join(","), "log: formed at the first start");
        self.parts.replica.bootstrap(voters).await;
    }

    /// Makes the next change of the members, if one is due.
    async fn replace(&self, status: &ReplicaStatus) {
        let observation = self.observe(status).await;
        let Some(change) = next_member_change(&observation) else { return };
        let result = self.parts.replica.change_members(change.clone()).await;
        match result {
            Ok(()) => info!("log: {change:?} to follow the running replicas"),
            Err(e) => info!("log: {change:?} is not possible yet: {e}"),
        }
    }

    async fn observe(&self, status: &ReplicaStatus) -> ReplicaObservation {
        let followers = &status.followers;
        let own = [status.id.clone()];
        let reachable: BTreeSet<ReplicaId> =
            followers.iter().filter(|f| f.is_responsive).map(|f| f.id.clone()).chain(own).collect();
        let caught_up = followers.iter().filter(|f| f.is_caught_up).map(|f| f.id.clone());
        let caught_up = caught_up.chain([status.id.clone()]).collect();
        let failed = self.failed_members(status, &reachable);
        let running = self.running_replicas(&reachable).await;
        ReplicaObservation {
            configuration: status.configuration.clone(),
            reachable,
            caught_up,
            failed,
            running,
        }
    }

    /// Members that have not been heard for long. Those that this leader never heard count from
    /// its first look on.
    fn failed_members(
        &self,
        status: &ReplicaStatus,
        reachable: &BTreeSet<ReplicaId>,
    ) -> BTreeSet<ReplicaId> {
        let now = Instant::now();
        let mut last_reachable = self.last_reachable.lock().expect("no holder of the lock panics");
        last_reachable.retain(|id, _| status.configuration.has_member(id));
        for id in status.configuration.members() {
            if reachable.contains(id) {
                last_reachable.insert(id.clone(), now);
            } else {
                last_reachable.entry(id.clone()).or_insert(now);
            }
        }
        let limit = Duration::from_millis(LOST_AFTER_MS);
        let failed = last_reachable.iter().filter(|(_, at)| now.duration_since(**at) >= limit);
        failed.map(|(id, _)| id.clone()).collect()
    }

    /// Asks the nodes with replicas that are not heard as members.
    async fn running_replicas(&self, reachable: &BTreeSet<ReplicaId>) -> BTreeSet<ReplicaId> {
        let members = self.parts.directory.members().borrow().clone();
        let unknown = members.iter().filter(|member| {
            member.replica_address.is_some() && !reachable.iter().any(|id| id.name == member.node)
        });
        let key = &self.parts.deployment_key;
        let asked = unknown.map(|member| fetch_replica_info(key, member.control_address));
        let answered = join_all(asked).await.into_iter().flatten();
        answered.filter_map(|info| id_of(&info)).chain(reachable.iter().cloned()).collect()
    }
}

fn id_of(info: &ReplicaInfo) -> Option<ReplicaId> {
    info.disk.parse().ok().map(|disk| ReplicaId::new(info.name.clone(), disk))
}

#[async_trait]
impl Service for ReplicaSupervisor {
    fn name(&self) -> &'static str {
        "replica-supervisor"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        loop {
            let pause_ms = tokio::select! {
                () = stop.cancelled() => return Ok(()),
                pause_ms = self.check() => pause_ms,
            };
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
            }
        }
    }
}
