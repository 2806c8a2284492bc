use std::num::NonZeroUsize;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use rand::random;
use tarragon_control::catalogue::CatalogueFollower;
use tarragon_control::catalogue::CatalogueFollowerDependencies;
use tarragon_control::catalogue::CatalogueSources;
use tarragon_control::claims::ReplicatedKeyClaims;
use tarragon_control::control::api::ApiContext;
use tarragon_control::control::api::ControlApi;
use tarragon_control::control::AuthFailureRecorder;
use tarragon_control::control::ControlLog;
use tarragon_control::control::ControlQuery;
use tarragon_control::control::ControlRequest;
use tarragon_control::control::ControlResponse;
use tarragon_control::control::OperatorKey;
use tarragon_control::control::RemoteLog;
use tarragon_control::members::MembershipService;
use tarragon_control::members::MembershipServiceDependencies;
use tarragon_control::replica::LogFormation;
use tarragon_control::replica::ReplicaAddresses;
use tarragon_control::replica::ReplicaSupervisor;
use tarragon_control::replica::ReplicaSupervisorDependencies;
use tarragon_datapath::backend::AnnouncementTracker;
use tarragon_datapath::backend::LocalBackend;
use tarragon_datapath::datapath::DataPath;
use tarragon_datapath::datapath::DataPathDependencies;
use tarragon_datapath::datapath::ServingState;
use tarragon_datapath::directory::Directory;
use tarragon_datapath::directory::DirectoryWatch;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_membership::MembershipSettings;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::identity::InstanceId;
use tarragon_wire::DeploymentKey;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::app::components::data_path_settings;
use crate::app::components::metrics;
use crate::app::components::open_replica;
use crate::app::components::own_record;
use crate::app::deferred_gate::LateGate;
use crate::app::logging::start_logging;
use crate::app::platform_adapter::NodeState;
use crate::app::platform_adapter::PlatformAdapter;
use crate::app::platform_adapter::ANNOUNCEMENTS;
use crate::app::platform_adapter::CONTROL_LOG;
use crate::app::platform_adapter::NODE_STATE;
use crate::app::policies::policies;
use crate::app::prometheus::MetricsListener;
use crate::app::prometheus::PulledMetrics;
use crate::app::shutdown::StopSignals;
use crate::app::NodeError;
use crate::conf::NodeSettings;

/// Longest time without asking for catalogue changes, in ms. Membership tells of new revisions
/// sooner; this covers a node that hears no members.
const CATALOGUE_POLL_INTERVAL_MS: u64 = 10_000;

/// Period at which a join is tried again, in ms. After a loss of power of all hosts the first try
/// finds no seed that listens, and callers wait for the join.
const JOIN_RETRY_MS: u64 = 300;

/// Longest wait for the catalogue before callers are served, in ms. A node that is cut off then
/// goes on with what it has.
const READY_TIMEOUT_MS: u64 = 15_000;

/// Longest wait for the log to confirm the newest revision if the members know one, in ms. It
/// bounds the delay in a data centre that is cut off from the log.
const CONFIRM_TIMEOUT_MS: u64 = 2_000;

/// Pause after the log could not tell its revision, in ms.
const CONFIRM_PAUSE_MS: u64 = 100;

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Names the step that failed.
pub fn run_node(settings: NodeSettings, adapter: PlatformAdapter) -> Result<(), Report<NodeError>> {
    let _log = start_logging(&settings.log)?;
    runtime()?.block_on(async {
        let signals = StopSignals::new();
        Node::build(settings, adapter).await?.run(signals).await
    })
}

/// A runtime with threads for the cores that there are. On one core a single thread saves memory
/// and the wake-ups between threads.
fn runtime() -> Result<Runtime, Report<NodeError>> {
    let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let mut builder =
        if cores > 1 { Builder::new_multi_thread() } else { Builder::new_current_thread() };
    builder.enable_all().build().change_context(NodeError::Runtime)
}

/// The control side of a node, and what its data path will be built from.
struct Node {
    settings: NodeSettings,
    announcements: Arc<AnnouncementTracker>,
    membership: Arc<MembershipService>,
    copy: watch::Receiver<Arc<Catalogue>>,
    wanted: watch::Receiver<u64>,
    log: Arc<dyn ControlLog>,
    gate: Arc<LateGate>,
    environment: DataPathDependencies,
    serving: watch::Sender<ServingState>,
    control_services: Vec<Arc<dyn Service>>,
    adapter_services: Vec<Arc<dyn Service>>,
}

impl Node {
    async fn build(
        settings: NodeSettings,
        adapter: PlatformAdapter,
    ) -> Result<Self, Report<NodeError>> {
        let deployment_key = DeploymentKey::from_file(&settings.deployment_key_file)
            .change_context(NodeError::Keys)?;
        let operator_key =
            OperatorKey::from_file(&settings.operator_key_file).change_context(NodeError::Keys)?;
        let instance = InstanceId(random());
        let pulled =
            settings.metrics_address.map(|address| (address, Arc::new(PulledMetrics::new())));
        let metrics = metrics(&settings, pulled.as_ref().map(|(_, pulled)| pulled))?;
        let auth_failures = |metric| AuthFailureRecorder::new(metric, Arc::clone(&metrics));
        info!("kernel: node {} is instance {instance}", settings.node_name);

        let (copy_sender, copy) = watch::channel(Arc::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (wanted_sender, wanted) = watch::channel(0);
        let directory: Arc<dyn Directory> = Arc::new(DirectoryWatch::new(copy.clone(), members));
        let addresses =
            ReplicaAddresses::new(Arc::clone(&directory), settings.control_replicas.clone());
        let announcements = Arc::new(AnnouncementTracker::default());

        let replica =
            open_replica(&settings, &addresses, &deployment_key, auth_failures("replica.dropped"))
                .await?;
        let (replica, local_log) = replica.map_or((None, None), |(r, l)| (Some(r), Some(l)));
        let membership = MembershipService::bind(MembershipServiceDependencies {
            own_record: own_record(&settings, instance),
            listen_address: settings.listen.gossip_address,
            settings: MembershipSettings {
                seeds: settings.seeds.clone(),
                has_full_state_source: true,
                join_retry_ms: JOIN_RETRY_MS,
                ..MembershipSettings::default()
            },
            deployment_key: deployment_key.clone(),
            members: members_sender,
            highest_known_revision: wanted_sender,
            backend: announcements.status(),
            catalogue: copy.clone(),
            metrics: Arc::clone(&metrics),
        });
        let membership = Arc::new(membership.await.change_context(NodeError::Bind("membership"))?);
        let follower = CatalogueFollower::new(CatalogueFollowerDependencies {
            catalogue: copy_sender,
            local_log: local_log.clone(),
            sources: CatalogueSources {
                data_centre: settings.data_centre.clone(),
                region: settings.region.clone(),
                directory: Arc::clone(&directory),
                replicas: settings.control_replicas.clone(),
            },
            highest_known_revision: wanted.clone(),
            deployment_key: deployment_key.clone(),
            instance,
            poll_interval_ms: CATALOGUE_POLL_INTERVAL_MS,
        });
        let log: Arc<dyn ControlLog> =
            Arc::new(RemoteLog::new(addresses.clone(), deployment_key.clone()));
        let gate = Arc::new(LateGate::default());
        let context = ApiContext {
            node_name: settings.node_name.clone(),
            instance,
            data_centre: settings.data_centre.clone(),
            replica: replica.as_ref().map(|replica| replica.handle().clone()),
            replica_addresses: addresses,
            log: Arc::clone(&log),
            local_log,
            directory: Arc::clone(&directory),
            announcements: Arc::clone(&announcements),
            gate: Arc::clone(&gate) as _,
            deployment_key: deployment_key.clone(),
            operator_key,
            operator_auth_failures: auth_failures("control.unauthorized"),
            peer_auth_failures: auth_failures("control.dropped"),
        };
        let api = ControlApi::bind(settings.listen.control_address, context)
            .change_context(NodeError::Bind("control"))?;

        let mut control_services: Vec<Arc<dyn Service>> = vec![
            Arc::clone(&announcements) as _,
            Arc::clone(&membership) as _,
            Arc::new(follower),
            Arc::new(api),
        ];
        if let (Some(replica), Some(formation)) = (&replica, &settings.formation) {
            let supervisor = ReplicaSupervisor::new(ReplicaSupervisorDependencies {
                replica: replica.handle().clone(),
                formation: LogFormation {
                    is_first_start: formation.is_first_start,
                    founders: formation.founders.clone(),
                    own_address: settings.control_address(),
                },
                directory: Arc::clone(&directory),
                deployment_key: deployment_key.clone(),
            });
            control_services.push(Arc::new(supervisor));
        }
        control_services.extend(replica.map(|replica| Arc::new(replica) as Arc<dyn Service>));
        if let Some((address, pulled)) = pulled {
            control_services.push(Arc::new(MetricsListener::new(address, pulled)));
        }
        let (serving, serving_receiver) = watch::channel(ServingState::default());
        let environment = DataPathDependencies {
            instance,
            key: deployment_key,
            directory,
            backend: Arc::clone(&announcements) as _,
            claims: Arc::new(ReplicatedKeyClaims::new(
                Arc::clone(&log),
                settings.limits.key_retention_s,
            )),
            metrics,
            caller_interface: adapter.caller_interface,
            backend_interface: adapter.backend_interface,
            serving: serving_receiver,
        };
        Ok(Self {
            settings,
            announcements,
            membership,
            copy,
            wanted,
            log,
            gate,
            environment,
            serving,
            control_services,
            adapter_services: adapter.services,
        })
    }

    /// Runs the control side, and the data path from readiness to the end of the drain.
    async fn run(self, signals: StopSignals) -> Result<(), Report<NodeError>> {
        let kernel = Arc::new(Kernel::new());
        let control_stop = CancellationToken::new();
        kernel.provide::<AnnouncementTracker>(ANNOUNCEMENTS, Arc::clone(&self.announcements));
        kernel.provide::<dyn ControlLog>(CONTROL_LOG, Arc::clone(&self.log));
        kernel.provide::<NodeState>(NODE_STATE, Arc::new(self.state()));
        let services = [self.control_services.clone(), self.adapter_services.clone()].concat();
        let control = Arc::clone(&kernel).run(services, control_stop.clone());
        let data = async {
            let result = self.run_data_path(kernel, signals, &control_stop).await;
            control_stop.cancel();
            result
        };
        let (control, data) = tokio::join!(control, data);
        control.change_context(NodeError::Run).and(data)
    }

    async fn run_data_path(
        self,
        kernel: Arc<Kernel>,
        mut signals: StopSignals,
        control_stop: &CancellationToken,
    ) -> Result<(), Report<NodeError>> {
        let settings = data_path_settings(&self.settings);
        let policies = policies(&self.settings, self.environment.instance);
        let limits = &self.settings.limits;
        let notice = Duration::from_millis(limits.drain_notice_ms);
        let gate_notice = notice.min(Duration::from_millis(limits.gate_notice_ms));
        let data_path = DataPath::bind(settings, self.environment.clone(), policies)
            .await
            .change_context(NodeError::Bind("data path"))?;
        self.gate.set(data_path.gate());
        let data_stop = CancellationToken::new();
        let mut running = pin!(kernel.run(data_path.services(), data_stop.clone()));
        let stopped = async {
            tokio::select! {
                () = signals.requested() => {}
                () = control_stop.cancelled() => {}
            }
        };
        let drained = async {
            tokio::select! {
                () = stopped => {}
                () = self.serve() => {}
            }
            info!("drain: stop requested");
            self.serving.send_replace(ServingState::Closing);
            // Callers take longer to leave than other nodes. Until these have to be told, the backend
            // server goes on serving them, since it does not stop with the node.
            tokio::time::sleep(notice - gate_notice).await;
            self.announcements.set_drain(true);
            tokio::time::sleep(gate_notice).await;
            // What came in from now on could outlast the time that the process is given to end.
            self.serving.send_replace(ServingState::BackendCallsOnly);
            data_path.gate().wait_until_idle().await;
            info!("drain: no request is in progress");
            data_stop.cancel();
        };
        let result = tokio::select! {
            // The services end by themselves only if one of them failed.
            result = &mut running => result,
            () = drained => running.await,
        };
        result.change_context(NodeError::Run)
    }

    /// Lets callers in once the node is ready. It never ends by itself.
    async fn serve(&self) {
        self.ready().await;
        self.serving.send_replace(ServingState::Ready);
        let revision = self.copy.borrow().revision();
        info!(revision, "kernel: callers are served");
        std::future::pending::<()>().await;
    }

    fn state(&self) -> NodeState {
        NodeState { serving: self.serving.subscribe(), catalogue: self.copy.clone() }
    }

    /// Waits until the node has joined and its catalogue has reached every revision it heard of.
    ///
    /// The members alone are not enough: after a failure of a whole deployment they have all
    /// restarted and know no revision, so the node waits for the log to tell it.
    async fn ready(&self) {
        let caught_up = async {
            let mut handle = self.membership.handle().clone();
            while !handle.has_joined() {
                if !handle.changed().await {
                    return;
                }
            }
            self.reached_members().await;
            if self.copy.borrow().revision() == 0 {
                self.reached_log().await;
                return;
            }
            let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
            if tokio::time::timeout(limit, self.reached_log()).await.is_err() {
                warn!("kernel: the log did not confirm the newest revision that members know");
                self.reached_members().await;
            }
        };
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        if tokio::time::timeout(limit, caught_up).await.is_err() {
            warn!("kernel: the newest revision was not reached within {READY_TIMEOUT_MS} ms");
        }
    }

    /// Waits until the catalogue has reached every revision that members were heard to have.
    async fn reached_members(&self) {
        loop {
            let wanted = *self.wanted.borrow();
            if self.copy.borrow().revision() >= wanted {
                return;
            }
            self.reached(wanted).await;
        }
    }

    /// Waits until the catalogue has reached a revision.
    async fn reached(&self, revision: u64) {
        let mut copy = self.copy.clone();
        let is_reached = copy.wait_for(|catalogue| catalogue.revision() >= revision).await.is_ok();
        if !is_reached {
            // The channel closes only when the node stops, which ends this wait.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the catalogue has reached the revision that a majority of the control replicas
    /// confirms as the newest.
    async fn reached_log(&self) {
        let read = ControlRequest::Read(ControlQuery::Revision);
        loop {
            if let Ok(ControlResponse::Revision(revision)) = self.log.request(&read).await {
                return self.reached(revision).await;
            }
            tokio::time::sleep(Duration::from_millis(CONFIRM_PAUSE_MS)).await;
        }
    }
}
