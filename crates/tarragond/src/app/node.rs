use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use rand::random;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_model::identity::InstanceId;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::app::logging::start_logging;
use crate::app::shutdown::stop_requested;
use crate::app::AppError;
use crate::backend::Announcements;
use crate::catalogue::CatalogueFollower;
use crate::catalogue::CatalogueFollowerParts;
use crate::catalogue::CatalogueSources;
use crate::conf::Settings;
use crate::control::api::ApiContext;
use crate::control::api::ControlApi;
use crate::control::ControlLog;
use crate::control::GateReport;
use crate::control::GateView;
use crate::control::LocalLog;
use crate::control::OperatorKey;
use crate::control::RemoteLog;
use crate::directory::Directory;
use crate::directory::DirectoryWatch;

/// Longest time without asking for catalogue changes, in ms.
const CATALOGUE_POLL_INTERVAL_MS: u64 = 1_000;

struct NoGate;

impl GateView for NoGate {
    fn report(&self) -> GateReport {
        GateReport::default()
    }
}

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
/// Names the step that failed.
pub fn run_node(settings: Settings) -> Result<(), Report<AppError>> {
    start_logging(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new().change_context(AppError::Runtime)?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), Report<AppError>> {
    let deployment_key =
        DeploymentKey::from_file(&settings.deployment_key_file).change_context(AppError::Keys)?;
    let operator_key =
        OperatorKey::from_file(&settings.operator_key_file).change_context(AppError::Keys)?;
    let instance = InstanceId(random());
    info!("kernel: node {} is instance {instance}", settings.node_name);
    let (copy, catalogue) = watch::channel(Arc::default());
    let (_members_sender, members) = watch::channel(Arc::default());
    let directory: Arc<dyn Directory> = Arc::new(DirectoryWatch::new(catalogue, members));
    let log: Arc<dyn ControlLog> = if settings.data_dir.is_some() {
        Arc::new(LocalLog::default())
    } else {
        Arc::new(RemoteLog::new(settings.control_replicas.clone(), deployment_key.clone()))
    };
    let announcements = Arc::new(Announcements::default());
    let (_wanted_sender, wanted) = watch::channel(0);
    let follower = CatalogueFollower::new(CatalogueFollowerParts {
        copy,
        log: Arc::clone(&log),
        sources: CatalogueSources {
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            directory: Arc::clone(&directory),
            replicas: settings.control_replicas.clone(),
        },
        wanted,
        deployment_key: deployment_key.clone(),
        instance,
        poll_interval_ms: CATALOGUE_POLL_INTERVAL_MS,
    });
    let api = ControlApi::bind(
        settings.listen.control_address,
        ApiContext {
            node_name: settings.node_name.clone(),
            instance,
            data_centre: settings.data_centre.clone(),
            is_replica: settings.data_dir.is_some(),
            log,
            directory,
            announcements: Arc::clone(&announcements),
            gate: Arc::new(NoGate),
            deployment_key,
            operator_key,
        },
    )
    .change_context(AppError::Bind("control"))?;
    let services: Vec<Arc<dyn Service>> = vec![Arc::new(follower), Arc::new(api)];
    let stop = CancellationToken::new();
    let kernel = Arc::new(Kernel::new());
    let running = kernel.run(services, stop.clone());
    let stopping = async {
        stop_requested().await;
        info!("drain: stop requested");
        stop.cancel();
        std::future::pending::<()>().await;
    };
    let ticking = async {
        loop {
            announcements.tick();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        result = running => result.change_context(AppError::Run),
        () = stopping => Ok(()),
        () = ticking => Ok(()),
    }
}
