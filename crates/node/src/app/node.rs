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
use tarragon_control::crashes::ReplicatedCrashArchive;
use tarragon_control::departures::ControlHolderClient;
use tarragon_control::departures::DepartureService;
use tarragon_control::departures::DepartureServiceDependencies;
use tarragon_control::departures::HeldDepartures;
use tarragon_control::members::MembershipService;
use tarragon_control::members::MembershipServiceDependencies;
use tarragon_control::replica::ReplicaAddresses;
use tarragon_control::replica::ReplicaExit;
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
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::app::components::build_metrics;
use crate::app::components::data_path_settings;
use crate::app::components::open_replica;
use crate::app::components::own_record;
use crate::app::components::replica_services;
use crate::app::deferred_gate::DeferredGateView;
use crate::app::logging::start_logging;
use crate::app::platform_adapter::NodeState;
use crate::app::platform_adapter::PlatformAdapter;
use crate::app::platform_adapter::ANNOUNCEMENTS;
use crate::app::platform_adapter::CONTROL_LOG;
use crate::app::platform_adapter::DEPARTURES;
use crate::app::platform_adapter::NODE_STATE;
use crate::app::policies::build_policies;
use crate::app::prometheus::MetricsListener;
use crate::app::prometheus::PrometheusMetrics;
use crate::app::shutdown::StopSignals;
use crate::app::NodeError;
use crate::conf::NodeSettings;

/// Interval at which the catalogue is polled for changes, in ms. Membership usually announces new
/// revisions sooner; polling covers a node that receives nothing from other members.
const CATALOGUE_POLL_INTERVAL_MS: u64 = 10_000;

/// Interval between attempts to join, in ms. It is short because callers are served only after the
/// join, and after a power failure of all hosts no seed is listening yet at the first attempt.
const JOIN_RETRY_MS: u64 = 300;

/// Maximum wait for an up-to-date catalogue before callers are served, in ms. After it, a node that
/// is partitioned from the others serves callers with its local copy.
const READY_TIMEOUT_MS: u64 = 15_000;

/// Maximum wait for the replicated log to confirm the newest revision if the catalogue is not
/// empty, in ms. It bounds the delay of a start in a data centre that is partitioned from the log.
const CONFIRM_TIMEOUT_MS: u64 = 2_000;

/// Delay before the newest revision is requested again from the replicated log, in ms.
const CONFIRM_RETRY_MS: u64 = 100;

/// Last part of the stop timeout, in which no more calls of the backend server are served, in ms. It
/// leaves time for the last responses to reach the backend server before the process is killed.
const LAST_CALLS_MS: u64 = 500;

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Returns the step that failed.
pub fn run_node(settings: NodeSettings, adapter: PlatformAdapter) -> Result<(), Report<NodeError>> {
    let _log_guard = start_logging(&settings.log)?;
    build_runtime()?.block_on(async {
        let signals = StopSignals::new();
        Node::build(settings, adapter).await?.run(signals).await
    })
}

/// Builds a tokio runtime with a worker thread for each core. On a single core the current-thread
/// runtime saves memory and wake-ups between threads.
fn build_runtime() -> Result<Runtime, Report<NodeError>> {
    let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let mut builder =
        if cores > 1 { Builder::new_multi_thread() } else { Builder::new_current_thread() };
    builder.enable_all().build().change_context(NodeError::Runtime)
}

/// A node: its control services, and the dependencies from which its data path is built.
struct Node {
    settings: NodeSettings,
    announcements: Arc<AnnouncementTracker>,
    departures: Arc<DepartureService>,
    membership: Arc<MembershipService>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    highest_known_revision: watch::Receiver<u64>,
    log: Arc<dyn ControlLog>,
    gate: Arc<DeferredGateView>,
    data_path_dependencies: DataPathDependencies,
    serving: watch::Sender<ServingState>,
    replica_exit: ReplicaExit,
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
        let prometheus =
            settings.metrics_address.map(|address| (address, Arc::new(PrometheusMetrics::new())));
        let metrics = build_metrics(&settings, prometheus.as_ref().map(|(_, metrics)| metrics))?;
        let auth_failure_recorder = |metric| AuthFailureRecorder::new(metric, Arc::clone(&metrics));
        info!("kernel: node {} is instance {instance}", settings.node_name);

        let (catalogue_sender, catalogue) = watch::channel(Arc::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (highest_known_revision_sender, highest_known_revision) = watch::channel(0);
        let directory: Arc<dyn Directory> =
            Arc::new(DirectoryWatch::new(catalogue.clone(), members));
        let addresses =
            ReplicaAddresses::new(Arc::clone(&directory), settings.control_replicas.clone());
        let announcements = Arc::new(AnnouncementTracker::default());

        let replica = open_replica(
            &settings,
            &addresses,
            &deployment_key,
            auth_failure_recorder("replica.dropped"),
        )
        .await?;
        let (replica, local_log) =
            replica.map_or((None, None), |(service, log)| (Some(service), Some(log)));
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
            highest_known_revision: highest_known_revision_sender,
            backend: announcements.status(),
            catalogue: catalogue.clone(),
            metrics: Arc::clone(&metrics),
        });
        let membership = Arc::new(membership.await.change_context(NodeError::Bind("membership"))?);
        let follower = CatalogueFollower::new(CatalogueFollowerDependencies {
            catalogue: catalogue_sender,
            local_log: local_log.clone(),
            sources: CatalogueSources {
                data_centre: settings.data_centre.clone(),
                region: settings.region.clone(),
                directory: Arc::clone(&directory),
                replicas: settings.control_replicas.clone(),
            },
            highest_known_revision: highest_known_revision.clone(),
            deployment_key: deployment_key.clone(),
            instance,
            poll_interval_ms: CATALOGUE_POLL_INTERVAL_MS,
        });
        let log: Arc<dyn ControlLog> =
            Arc::new(RemoteLog::new(addresses.clone(), deployment_key.clone()));
        let own_gossip_address = own_record(&settings, instance).gossip_address;
        let departures = Arc::new(DepartureService::new(DepartureServiceDependencies {
            node_name: settings.node_name.clone(),
            data_centre: settings.data_centre.clone(),
            is_alone: settings.seeds.iter().all(|seed| *seed == own_gossip_address),
            directory: Arc::clone(&directory),
            announcements: Arc::clone(&announcements),
            client: Arc::new(ControlHolderClient::new(deployment_key.clone())),
            log: Arc::clone(&log),
        }));
        let gate = Arc::new(DeferredGateView::default());
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
            departures: Arc::clone(&departures),
            held_departures: HeldDepartures::default(),
            large_bodies: Default::default(),
            gate: Arc::clone(&gate) as _,
            deployment_key: deployment_key.clone(),
            operator_key,
            operator_auth_failures: auth_failure_recorder("control.unauthorized"),
            peer_auth_failures: auth_failure_recorder("control.dropped"),
        };
        let api = ControlApi::bind(settings.listen.control_address, context)
            .change_context(NodeError::Bind("control"))?;

        let mut control_services: Vec<Arc<dyn Service>> = vec![
            Arc::clone(&announcements) as _,
            Arc::clone(&membership) as _,
            Arc::clone(&departures) as _,
            Arc::new(follower),
            Arc::new(api),
        ];
        let replica_exit = ReplicaExit::new(replica.as_ref().map(|r| r.handle().clone()));
        if let Some(replica) = replica {
            let (members, key) = (membership.handle(), &deployment_key);
            control_services
                .extend(replica_services(&settings, replica, &directory, members, key)?);
        }
        if let Some((address, metrics)) = prometheus {
            control_services.push(Arc::new(MetricsListener::new(address, metrics)));
        }
        let (serving, serving_receiver) = watch::channel(ServingState::default());
        let data_path_dependencies = DataPathDependencies {
            instance,
            key: deployment_key,
            directory,
            backend: Arc::clone(&announcements) as _,
            claims: Arc::new(ReplicatedKeyClaims::new(
                Arc::clone(&log),
                settings.limits.key_retention_s,
            )),
            crash_archive: Arc::new(ReplicatedCrashArchive::new(Arc::clone(&log))),
            metrics,
            caller_interface: adapter.caller_interface,
            backend_interface: adapter.backend_interface,
            serving: serving_receiver,
        };
        Ok(Self {
            settings,
            announcements,
            departures,
            membership,
            catalogue,
            highest_known_revision,
            log,
            gate,
            data_path_dependencies,
            serving,
            replica_exit,
            control_services,
            adapter_services: adapter.services,
        })
    }

    /// Runs the control services and the data path, until the node is drained or a service has
    /// failed.
    async fn run(self, signals: StopSignals) -> Result<(), Report<NodeError>> {
        let kernel = Arc::new(Kernel::new());
        let control_stop = CancellationToken::new();
        kernel.provide::<AnnouncementTracker>(ANNOUNCEMENTS, Arc::clone(&self.announcements));
        kernel.provide::<DepartureService>(DEPARTURES, Arc::clone(&self.departures));
        kernel.provide::<dyn ControlLog>(CONTROL_LOG, Arc::clone(&self.log));
        kernel.provide::<NodeState>(NODE_STATE, Arc::new(self.node_state()));
        let services = [self.control_services.clone(), self.adapter_services.clone()].concat();
        let control_run = Arc::clone(&kernel).run(services, control_stop.clone());
        let data_path_run = async {
            let result = self.run_data_path(kernel, signals, &control_stop).await;
            control_stop.cancel();
            result
        };
        let (control_result, data_path_result) = tokio::join!(control_run, data_path_run);
        control_result.change_context(NodeError::Run).and(data_path_result)
    }

    /// Runs the data path until it is drained after a signal or the end of the control services, or
    /// until one of its services has failed.
    async fn run_data_path(
        self,
        kernel: Arc<Kernel>,
        mut signals: StopSignals,
        control_stop: &CancellationToken,
    ) -> Result<(), Report<NodeError>> {
        let settings = data_path_settings(&self.settings);
        let policies = build_policies(&self.settings, self.data_path_dependencies.instance);
        let limits = &self.settings.limits;
        let drain_notice = Duration::from_millis(limits.drain_notice_ms);
        let gate_notice = drain_notice.min(Duration::from_millis(limits.gate_notice_ms));
        let calls_period = Duration::from_millis(limits.stop_timeout_ms)
            .saturating_sub(Duration::from_millis(LAST_CALLS_MS));
        let data_path = DataPath::bind(settings, self.data_path_dependencies.clone(), policies)
            .await
            .change_context(NodeError::Bind("data path"))?;
        self.gate.set(data_path.gate());
        let data_stop = CancellationToken::new();
        let mut running = pin!(kernel.run(data_path.services(), data_stop.clone()));
        let stop_requested = async {
            tokio::select! {
                () = signals.wait() => {}
                () = control_stop.cancelled() => {}
            }
        };
        let serve_and_drain = async {
            tokio::select! {
                () = stop_requested => {}
                () = self.serve_callers() => {}
            }
            info!("drain: stop requested");
            self.replica_exit.start().await;
            let calls_end_at = Instant::now() + calls_period;
            self.serving.send_replace(ServingState::Closing { calls_end_at: calls_end_at.into() });
            // Callers take longer to switch to another node than peers do. The backend server does
            // not stop with the node, so it keeps serving requests from peers until the shorter
            // notice to peers begins.
            tokio::time::sleep(drain_notice - gate_notice).await;
            self.announcements.set_drain(true);
            tokio::time::sleep(gate_notice).await;
            // A request accepted after this point could still run when the process is killed at the
            // end of its stop timeout.
            self.serving
                .send_replace(ServingState::BackendCallsOnly { calls_end_at: calls_end_at.into() });
            let gate = data_path.gate();
            if tokio::time::timeout_at(calls_end_at, gate.wait_until_idle()).await.is_err() {
                info!("drain: no more calls are served before the process is killed");
                self.serving.send_replace(ServingState::FinishingOnly);
                gate.wait_until_idle().await;
            }
            info!("drain: no request is in progress");
            self.replica_exit.wait().await;
            data_stop.cancel();
        };
        let result = tokio::select! {
            // Before a stop is requested, the services return only if one of them has failed.
            result = &mut running => result,
            () = serve_and_drain => running.await,
        };
        result.change_context(NodeError::Run)
    }

    /// Admits callers once the node is ready. It never returns.
    async fn serve_callers(&self) {
        self.wait_until_ready().await;
        self.serving.send_replace(ServingState::Ready);
        let revision = self.catalogue.borrow().revision();
        info!(revision, "kernel: callers are served");
        std::future::pending::<()>().await;
    }

    fn node_state(&self) -> NodeState {
        NodeState { serving: self.serving.subscribe(), catalogue: self.catalogue.clone() }
    }

    /// Waits until the node has joined and its catalogue is up to date, or until a time limit has
    /// passed.
    ///
    /// The revisions known to the members are not enough: after a failure of the whole deployment
    /// all members have restarted and hold no revision, so the node also waits for the newest
    /// revision of the replicated log.
    async fn wait_until_ready(&self) {
        let up_to_date = async {
            let mut handle = self.membership.handle().clone();
            while !handle.has_joined() {
                if !handle.changed().await {
                    return;
                }
            }
            self.wait_for_member_revisions().await;
            // With an empty catalogue, only `READY_TIMEOUT_MS` limits the wait for the log.
            if self.catalogue.borrow().revision() == 0 {
                self.wait_for_log_revision().await;
                return;
            }
            let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
            if tokio::time::timeout(limit, self.wait_for_log_revision()).await.is_err() {
                warn!(
                    "kernel: the replicated log did not confirm the newest catalogue revision \
                     within {CONFIRM_TIMEOUT_MS} ms"
                );
                self.wait_for_member_revisions().await;
            }
        };
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        if tokio::time::timeout(limit, up_to_date).await.is_err() {
            warn!("kernel: no up-to-date catalogue within {READY_TIMEOUT_MS} ms");
        }
    }

    /// Waits until the catalogue has reached the highest revision known from other members, which
    /// may rise meanwhile.
    async fn wait_for_member_revisions(&self) {
        loop {
            let highest_known_revision = *self.highest_known_revision.borrow();
            if self.catalogue.borrow().revision() >= highest_known_revision {
                return;
            }
            self.wait_for_revision(highest_known_revision).await;
        }
    }

    /// Waits until the catalogue has reached a revision.
    async fn wait_for_revision(&self, revision: u64) {
        let mut catalogue = self.catalogue.clone();
        let is_reached =
            catalogue.wait_for(|catalogue| catalogue.revision() >= revision).await.is_ok();
        if !is_reached {
            // The channel closes only when the node stops, and then this future is dropped.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the catalogue has reached the newest revision of the replicated log, as
    /// confirmed by a majority of the control replicas.
    async fn wait_for_log_revision(&self) {
        let read = ControlRequest::Read(ControlQuery::Revision);
        loop {
            if let Ok(ControlResponse::Revision(revision)) = self.log.request(&read).await {
                return self.wait_for_revision(revision).await;
            }
            tokio::time::sleep(Duration::from_millis(CONFIRM_RETRY_MS)).await;
        }
    }
}
