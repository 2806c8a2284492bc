use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::storage::replace_file;
use tarragon_datapath::directory::Directory;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_membership::MembershipHandle;
use tarragon_model::member::MemberRecord;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

/// Name of the file in the data directory.
const FILE_NAME: &str = "known-replicas.json";

/// Pause after a change, in ms, so that changes in quick succession share one write.
const WRITE_PAUSE_MS: u64 = 500;

/// The control replicas that a node remembers, by the names of their nodes.
pub type KnownReplicaMap = BTreeMap<String, KnownReplica>;

/// What a node remembers of a control replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownReplica {
    /// Address at which the membership protocol reaches its node.
    pub gossip_address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: String,
}

impl KnownReplica {
    fn of(member: &MemberRecord) -> Self {
        let MemberRecord { gossip_address, data_centre, .. } = member;
        Self { gossip_address: *gossip_address, data_centre: data_centre.clone() }
    }
}

/// Dependencies of [`KnownReplicas`].
pub struct KnownReplicasDependencies {
    /// Directory of the durable state.
    pub data_dir: PathBuf,
    /// The replica of this node, whose log lists the members.
    pub replica: ReplicaHandle,
    /// The node's view of the members of the deployment.
    pub directory: Arc<dyn Directory>,
    /// Handle of the membership protocol.
    pub membership: MembershipHandle,
}

/// Keeps the addresses of the other control replicas on disk and the node in contact with them.
///
/// The seeds of the settings may differ from node to node, and name hosts that were replaced long ago.
/// After a restart of all nodes, the control replicas would otherwise meet only if their seeds lead to
/// each other, see `docs/design.md`, section 5.3. The data centres are kept for the supervisor, which must
/// know them of hosts that are down as well.
pub struct KnownReplicas {
    dependencies: KnownReplicasDependencies,
    known: watch::Sender<KnownReplicaMap>,
}

impl KnownReplicas {
    /// Creates the service, and reads what an earlier process has stored.
    pub fn new(dependencies: KnownReplicasDependencies) -> Self {
        let known = watch::Sender::new(load(&dependencies.data_dir));
        Self { dependencies, known }
    }

    /// Subscribes to the known replicas.
    pub fn subscribe(&self) -> watch::Receiver<KnownReplicaMap> {
        self.known.subscribe()
    }

    /// Adds the replicas that are members now, and drops those that are neither members nor listed by
    /// the log.
    fn update(&self, known: &KnownReplicaMap) -> KnownReplicaMap {
        let members = self.dependencies.directory.members().borrow().clone();
        let replicas = members.iter().filter(|member| member.replica_address.is_some());
        let current: KnownReplicaMap =
            replicas.map(|member| (member.node.clone(), KnownReplica::of(member))).collect();
        let status = self.dependencies.replica.status();
        let configurations = [Some(&status.configuration), status.previous_configuration.as_ref()];
        let listed: BTreeSet<&str> = configurations
            .into_iter()
            .flatten()
            .flat_map(ClusterConfiguration::members)
            .map(|id| id.name.as_str())
            .collect();
        let mut next = known.clone();
        // Before this node has joined the log, it cannot tell which replicas are listed.
        next.retain(|name, _| listed.is_empty() || listed.contains(name.as_str()));
        next.extend(current);
        next
    }

    /// Writes the addresses and hands them to the membership protocol, whenever they change.
    async fn follow(&self) {
        let KnownReplicasDependencies { data_dir, replica, directory, membership } =
            &self.dependencies;
        let mut known = self.known.borrow().clone();
        info!(count = known.len(), "member: control replicas are known from earlier");
        membership.set_known_peers(gossip_addresses(&known));
        let (mut members, mut status) = (directory.members(), replica.watch_status());
        loop {
            let next = self.update(&known);
            if next != known {
                known = next;
                self.known.send_replace(known.clone());
                membership.set_known_peers(gossip_addresses(&known));
                store(data_dir, &known).await;
            }
            tokio::time::sleep(Duration::from_millis(WRITE_PAUSE_MS)).await;
            let is_open = tokio::select! {
                changed = members.changed() => changed.is_ok(),
                changed = status.changed() => changed.is_ok(),
            };
            if !is_open {
                // The channels close only when the node stops.
                return std::future::pending().await;
            }
        }
    }
}

fn gossip_addresses(known: &KnownReplicaMap) -> Vec<SocketAddr> {
    known.values().map(|replica| replica.gossip_address).collect()
}

/// Reads the known replicas. Without a readable file, only the seeds lead to other nodes.
fn load(data_dir: &Path) -> KnownReplicaMap {
    let path = data_dir.join(FILE_NAME);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return KnownReplicaMap::new(),
        Err(e) => {
            warn!("member: '{}' cannot be read and is ignored: {e}", path.display());
            return KnownReplicaMap::new();
        }
    };
    serde_json::from_str(&text).unwrap_or_else(|e| {
        warn!("member: '{}' is malformed and ignored: {e}", path.display());
        KnownReplicaMap::new()
    })
}

async fn store(data_dir: &Path, known: &KnownReplicaMap) {
    let content = serde_json::to_vec(known).expect("the map can be encoded");
    let data_dir = data_dir.to_path_buf();
    let written =
        tokio::task::spawn_blocking(move || replace_file(&data_dir, FILE_NAME, &content)).await;
    match written {
        Ok(Ok(())) => {}
        Ok(Err(report)) => warn!("member: the known control replicas are not stored: {report:?}"),
        Err(e) => warn!("member: storing the known control replicas was aborted: {e}"),
    }
}

#[async_trait]
impl Service for KnownReplicas {
    fn name(&self) -> &'static str {
        "known-replicas"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow() => {}
        }
        Ok(())
    }
}
