use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use rand::random;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_membership::MembershipSettings;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::app::logging::start_logging;
use crate::app::shutdown::stop_requested;
use crate::app::AppError;
use crate::backend::Announcements;
use crate::backend::OwnBackend;
use crate::catalogue::CatalogueFollower;
use crate::catalogue::CatalogueFollowerParts;
use crate::catalogue::CatalogueSources;
use crate::conf::Settings;
use crate::control::api::ApiContext;
use crate::control::api::ControlApi;
use crate::control::ControlLog;
use crate::control::GateReport;
use crate::control::GateView;
use crate::control::OperatorKey;
use crate::control::RemoteLog;
use crate::directory::Directory;
use crate::directory::DirectoryWatch;
use crate::members::MembershipService;
use crate::members::MembershipServiceParts;
use crate::replica::ReplicaAddresses;
use crate::replica::ReplicaLog;
use crate::replica::ReplicaService;
use crate::replica::ReplicaServiceParts;

/// Longest time without asking for catalogue changes, in ms. Membership tells of new revisions
/// sooner; this covers a node that hears no members.
const CATALOGUE_POLL_INTERVAL_MS: u64 = 10_000;

/// Longest wait for the catalogue before callers are served, in ms. A node that is cut off then
/// goes on with what it has.
const READY_TIMEOUT_MS: u64 = 15_000;

struct NoGate;

impl GateView for NoGate {
    fn report(&self) -> GateReport {
        GateReport::default()
    }
}

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Names the step that failed.
pub fn run_node(settings: Settings) -> Result<(), Report<AppError>> {
    start_logging(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new().change_context(AppError::Runtime)?;
    runtime.block_on(async { Node::build(settings).await?.run().await })
}

/// The parts of a node that run from start to stop.
struct Node {
    announcements: Arc<Announcements>,
    membership: Arc<MembershipService>,
    copy: watch::Receiver<Arc<Catalogue>>,
    wanted: watch::Receiver<u64>,
    control_services: Vec<Arc<dyn Service>>,
}

impl Node {
    async fn build(settings: Settings) -> Result<Self, Report<AppError>> {
        let deployment_key = DeploymentKey::from_file(&settings.deployment_key_file)
            .change_context(AppError::Keys)?;
        let operator_key =
            OperatorKey::from_file(&settings.operator_key_file).change_context(AppError::Keys)?;
        let instance = InstanceId(random());
        info!("kernel: node {} is instance {instance}", settings.node_name);

        let (copy_sender, copy) = watch::channel(Arc::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (wanted_sender, wanted) = watch::channel(0);
        let directory: Arc<dyn Directory> = Arc::new(DirectoryWatch::new(copy.clone(), members));
        let addresses =
            ReplicaAddresses::new(Arc::clone(&directory), settings.control_replicas.clone());
        let announcements = Arc::new(Announcements::default());

        let replica = open_replica(&settings, &addresses, &deployment_key).await?;
        let (replica, own_log) = replica.map_or((None, None), |(r, l)| (Some(r), Some(l)));
        let membership = MembershipService::bind(MembershipServiceParts {
            own: own_record(&settings, instance),
            settings: MembershipSettings {
                seeds: settings.seeds.clone(),
                has_full_state_source: true,
                ..MembershipSettings::default()
            },
            deployment_key: deployment_key.clone(),
            members: members_sender,
            wanted: wanted_sender,
            backend: announcements.status(),
            catalogue: copy.clone(),
        });
        let membership = Arc::new(membership.await.change_context(AppError::Bind("membership"))?);
        let follower = CatalogueFollower::new(CatalogueFollowerParts {
            copy: copy_sender,
            log: own_log.clone(),
            sources: CatalogueSources {
                data_centre: settings.data_centre.clone(),
                region: settings.region.clone(),
                directory: Arc::clone(&directory),
                replicas: settings.control_replicas.clone(),
            },
            wanted: wanted.clone(),
            deployment_key: deployment_key.clone(),
            instance,
            poll_interval_ms: CATALOGUE_POLL_INTERVAL_MS,
        });
        let context = ApiContext {
            node_name: settings.node_name.clone(),
            instance,
            data_centre: settings.data_centre.clone(),
            replica: replica.as_ref().map(|replica| replica.handle().clone()),
            replica_addresses: addresses.clone(),
            log: Arc::new(RemoteLog::new(addresses, deployment_key.clone())),
            own_log,
            directory,
            announcements: Arc::clone(&announcements),
            gate: Arc::new(NoGate),
            deployment_key,
            operator_key,
        };
        let api = ControlApi::bind(settings.listen.control_address, context)
            .change_context(AppError::Bind("control"))?;

        let mut control_services: Vec<Arc<dyn Service>> = vec![
            Arc::clone(&announcements) as _,
            Arc::clone(&membership) as _,
            Arc::new(follower),
            Arc::new(api),
        ];
        control_services.extend(replica.map(|replica| Arc::new(replica) as Arc<dyn Service>));
        Ok(Self { announcements, membership, copy, wanted, control_services })
    }

    async fn run(self) -> Result<(), Report<AppError>> {
        let kernel = Arc::new(Kernel::new());
        let stop = CancellationToken::new();
        let running = kernel.run(self.control_services.clone(), stop.clone());
        let stopping = async {
            stop_requested().await;
            info!("drain: stop requested");
            self.announcements.set_drain(true);
            stop.cancel();
        };
        let readying = async {
            self.ready().await;
            info!(
                "kernel: revision {} is in force, callers are served",
                self.copy.borrow().revision()
            );
            stopping.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            result = running => result.change_context(AppError::Run),
            () = readying => Ok(()),
        }
    }

    /// Waits until the node has joined and its catalogue has reached every revision it heard of.
    async fn ready(&self) {
        let mut handle = self.membership.handle().clone();
        let mut copy = self.copy.clone();
        let caught_up = async {
            while !handle.has_joined() {
                if !handle.changed().await {
                    return;
                }
            }
            while copy.borrow_and_update().revision() < *self.wanted.borrow() {
                if copy.changed().await.is_err() {
                    return;
                }
            }
        };
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        if tokio::time::timeout(limit, caught_up).await.is_err() {
            warn!("kernel: the newest revision was not reached within {READY_TIMEOUT_MS} ms");
        }
    }
}

async fn open_replica(
    settings: &Settings,
    addresses: &ReplicaAddresses,
    key: &DeploymentKey,
) -> Result<Option<(ReplicaService, Arc<dyn ControlLog>)>, Report<AppError>> {
    let (Some(data_dir), Some(replica_address)) =
        (&settings.data_dir, settings.listen.replica_address)
    else {
        return Ok(None);
    };
    let parts = ReplicaServiceParts {
        node_name: &settings.node_name,
        data_dir,
        replica_address,
        addresses: addresses.clone(),
        deployment_key: key.clone(),
    };
    let (service, log): (ReplicaService, ReplicaLog) =
        ReplicaService::open(parts).await.change_context(AppError::Storage)?;
    Ok(Some((service, Arc::new(log))))
}

fn own_record(settings: &Settings, instance: InstanceId) -> MemberRecord {
    let listen = &settings.listen;
    MemberRecord {
        node: settings.node_name.clone(),
        instance,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        gossip_address: listen.gossip_address,
        peer_address: listen.peer_address,
        control_address: listen.control_address,
        replica_address: listen.replica_address,
        service: String::new(),
        state: BackendState::Absent,
        version: 1,
        revision: 0,
    }
}
