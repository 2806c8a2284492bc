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
use tarragon_consensus::raft::FollowerStatus;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_datapath::directory::Directory;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::api::ReplicaInfo;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::members::KnownReplicaMap;
use crate::replica::fetch_replica_info;
use crate::replica::next_member_change;
use crate::replica::ReplicaObservation;

/// Interval between two checks of the replicas, in ms. A successor must vote within the time after
/// which its predecessor may be removed, and that takes several changes.
const CHECK_INTERVAL_MS: u64 = 200;

/// Interval between two searches for replicas that are no members yet, in ms.
const SEARCH_INTERVAL_MS: u64 = 500;

/// Time limit for the response of a node in such a search, in ms. A node that is down must not
/// delay changes that are due meanwhile.
const SEARCH_TIMEOUT_MS: u64 = 400;

/// Interval between two checks while this replica has no voters in its configuration, in ms. It is
/// short because commands of operators fail until the log is formed.
const FORMATION_INTERVAL_MS: u64 = 100;

/// Time limit for the response of a founder, in ms.
const FORMATION_TIMEOUT_MS: u64 = 1_000;

/// Time after which a replica that does not respond is replaced, in ms, beyond the election timeout
/// after which it counts as not responding. It is short, because the log tolerates fewer losses
/// until then, and a replica that is replaced in vain loses nothing but its vote.
const FAILED_AFTER_MS: u64 = 500;

/// Settings for forming the log without a command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogFormation {
    /// Whether the whole deployment starts for the first time. Otherwise no log is formed, since a
    /// replica that lost its disk is indistinguishable from a new one.
    pub is_first_start: bool,
    /// Control addresses of the replicas that form the log. They must be the same on every node at
    /// the first start.
    pub founders: Vec<SocketAddr>,
    /// Control address of this node.
    pub own_address: SocketAddr,
}

/// Dependencies of a [`ReplicaSupervisor`].
pub struct ReplicaSupervisorDependencies {
    /// The replica of this node.
    pub replica: ReplicaHandle,
    /// Settings for forming the log.
    pub formation: LogFormation,
    /// The node's view of the members of the deployment, by which nodes with a replica are found.
    pub directory: Arc<dyn Directory>,
    /// Control replicas that are known from earlier, also those that are down.
    pub known_replicas: watch::Receiver<KnownReplicaMap>,
    /// Secret key shared by the nodes.
    pub deployment_key: DeploymentKey,
    /// Number of voters that the log should have, see [`crate::replica::target_voters`].
    pub target_voters: usize,
}

/// Forms the log at the first start, and replaces failed replicas while this node is the leader.
pub struct ReplicaSupervisor {
    dependencies: ReplicaSupervisorDependencies,
    /// When each voter or learner was last reachable, recorded while this node is the leader.
    last_reachable: Mutex<HashMap<ReplicaId, Instant>>,
    /// When replicas that are no members were last searched for.
    last_search: Mutex<Option<Instant>>,
}

impl ReplicaSupervisor {
    /// Creates a supervisor.
    pub fn new(dependencies: ReplicaSupervisorDependencies) -> Self {
        Self { dependencies, last_reachable: Mutex::default(), last_search: Mutex::default() }
    }

    /// Forms the log or changes its voters and learners if necessary. Returns the delay until the
    /// next check, in ms.
    async fn check(&self) -> u64 {
        let status = self.dependencies.replica.status();
        if status.configuration.voters.is_empty() {
            if self.dependencies.formation.is_first_start {
                self.form_log().await;
            }
            return FORMATION_INTERVAL_MS;
        }
        if status.role != ReplicaRole::Leader {
            self.last_reachable.lock().expect("no thread panics while it holds the lock").clear();
            return CHECK_INTERVAL_MS;
        }
        // The next change is checked for at once: the replacement of a host takes several.
        if self.change_members(&status).await {
            return 0;
        }
        if status.is_leaving {
            self.dependencies.replica.transfer_lead().await;
        }
        CHECK_INTERVAL_MS
    }

    /// Forms the log if this node has the lowest address of the founders and none of them has a
    /// log.
    ///
    /// Only one node may do so, since two nodes could form two logs. All founders must respond,
    /// because one that does not may already have a log.
    async fn form_log(&self) {
        let LogFormation { founders, own_address, .. } = &self.dependencies.formation;
        if founders.iter().min() != Some(own_address) {
            return;
        }
        let key = &self.dependencies.deployment_key;
        let queries =
            founders.iter().map(|address| fetch_replica_info(key, *address, FORMATION_TIMEOUT_MS));
        let infos: Option<Vec<ReplicaInfo>> = join_all(queries).await.into_iter().collect();
        let Some(infos) = infos else { return };
        let has_log = |info: &ReplicaInfo| !(info.voters.is_empty() && info.learners.is_empty());
        if infos.iter().any(has_log) {
            return;
        }
        let voters: Option<Vec<ReplicaId>> = infos.iter().map(replica_id).collect();
        let Some(voters) = voters else {
            warn!("log: a founder has a malformed disk id; the log is not formed");
            return;
        };
        let names: Vec<String> = voters.iter().map(ToString::to_string).collect();
        info!(voters = names.join(","), "log: forming the log at the first start");
        self.dependencies.replica.bootstrap(voters).await;
    }

    /// Makes the next change of the voters and learners, if one is needed. Returns whether it did.
    async fn change_members(&self, status: &ReplicaStatus) -> bool {
        let mut observation = self.observe(status);
        let mut change = next_member_change(&observation);
        if change.is_none() && self.is_search_due() {
            observation.running = self.running_replicas(&observation.reachable).await;
            change = next_member_change(&observation);
        }
        let Some(change) = change else { return false };
        match self.dependencies.replica.change_members(change.clone()).await {
            Ok(()) => {
                info!("log: applied {change:?} to match the running replicas");
                true
            }
            Err(e) => {
                info!("log: {change:?} failed and is reconsidered at the next check: {e}");
                false
            }
        }
    }

    /// The replicas as far as the leader knows them from their responses.
    fn observe(&self, status: &ReplicaStatus) -> ReplicaObservation {
        let own_id = || [status.id.clone()].into_iter();
        let followers = |is_counted: fn(&FollowerStatus) -> bool| {
            let counted = status.followers.iter().filter(move |follower| is_counted(follower));
            counted.map(|follower| follower.id.clone())
        };
        let reachable: BTreeSet<ReplicaId> =
            followers(|follower| follower.is_responsive).chain(own_id()).collect();
        let known = self.dependencies.known_replicas.borrow().clone();
        let earlier = known.into_iter().map(|(name, replica)| (name, replica.data_centre));
        let members = self.dependencies.directory.members().borrow().clone();
        let current =
            members.iter().map(|member| (member.node.clone(), member.data_centre.clone()));
        ReplicaObservation {
            configuration: status.configuration.clone(),
            leader: Some(status.id.clone()),
            caught_up: followers(|follower| follower.is_caught_up).chain(own_id()).collect(),
            failed: self.failed_members(status, &reachable),
            leaving: followers(|follower| follower.is_leaving)
                .chain(own_id().filter(|_| status.is_leaving))
                .collect(),
            lost: status.lost_members.clone(),
            running: reachable.clone(),
            reachable,
            data_centres: earlier.chain(current).collect(),
            target_voters: self.dependencies.target_voters,
        }
    }

    fn is_search_due(&self) -> bool {
        let interval = Duration::from_millis(SEARCH_INTERVAL_MS);
        let mut last_search =
            self.last_search.lock().expect("no thread panics while it holds the lock");
        let is_due = last_search.is_none_or(|at| at.elapsed() >= interval);
        if is_due {
            *last_search = Some(Instant::now());
        }
        is_due
    }

    /// Returns the voters and learners that have been unreachable for [`FAILED_AFTER_MS`]. For one
    /// that this leader has never reached, the time starts with the leader's first check.
    fn failed_members(
        &self,
        status: &ReplicaStatus,
        reachable: &BTreeSet<ReplicaId>,
    ) -> BTreeSet<ReplicaId> {
        let now = Instant::now();
        let mut last_reachable =
            self.last_reachable.lock().expect("no thread panics while it holds the lock");
        last_reachable.retain(|id, _| status.configuration.has_member(id));
        for id in status.configuration.members() {
            if reachable.contains(id) {
                last_reachable.insert(id.clone(), now);
            } else {
                last_reachable.entry(id.clone()).or_insert(now);
            }
        }
        let failure_timeout = Duration::from_millis(FAILED_AFTER_MS);
        let failed =
            last_reachable.iter().filter(|(_, at)| now.duration_since(**at) >= failure_timeout);
        failed.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the reachable voters and learners, and the replicas on all other nodes that respond.
    async fn running_replicas(&self, reachable: &BTreeSet<ReplicaId>) -> BTreeSet<ReplicaId> {
        let gossip_members = self.dependencies.directory.members().borrow().clone();
        let other_nodes = gossip_members.iter().filter(|member| {
            member.replica_address.is_some() && !reachable.iter().any(|id| id.name == member.node)
        });
        let key = &self.dependencies.deployment_key;
        let queries = other_nodes
            .map(|member| fetch_replica_info(key, member.control_address, SEARCH_TIMEOUT_MS));
        let infos = join_all(queries).await.into_iter().flatten();
        infos.filter_map(|info| replica_id(&info)).chain(reachable.iter().cloned()).collect()
    }
}

fn replica_id(info: &ReplicaInfo) -> Option<ReplicaId> {
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
