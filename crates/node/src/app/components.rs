//! Builds the components of a node that depend on little more than its settings.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use tarragon_control::control::AuthFailureRecorder;
use tarragon_control::control::ControlLog;
use tarragon_control::members::KnownReplicas;
use tarragon_control::members::KnownReplicasDependencies;
use tarragon_control::replica::remember_first_start;
use tarragon_control::replica::target_voters;
use tarragon_control::replica::LogFormation;
use tarragon_control::replica::ReplicaAddresses;
use tarragon_control::replica::ReplicaLog;
use tarragon_control::replica::ReplicaService;
use tarragon_control::replica::ReplicaServiceDependencies;
use tarragon_control::replica::ReplicaSupervisor;
use tarragon_control::replica::ReplicaSupervisorDependencies;
use tarragon_datapath::datapath::DataPathSettings;
use tarragon_datapath::datapath::Metrics;
use tarragon_datapath::datapath::NoMetrics;
use tarragon_datapath::directory::Directory;
use tarragon_kernel::Service;
use tarragon_membership::MembershipHandle;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::DeploymentKey;

use crate::app::prometheus::MetricsPair;
use crate::app::prometheus::PrometheusMetrics;
use crate::app::statsd::StatsdMetrics;
use crate::app::NodeError;
use crate::conf::NodeSettings;

/// Builds the metrics backends that the settings enable: StatsD, Prometheus, both or none.
///
/// # Errors
/// The StatsD socket cannot be opened.
pub(super) fn build_metrics(
    settings: &NodeSettings,
    prometheus: Option<&Arc<PrometheusMetrics>>,
) -> Result<Arc<dyn Metrics>, Report<NodeError>> {
    let statsd: Option<Arc<dyn Metrics>> = match settings.statsd_address {
        Some(address) => Some(Arc::new(StatsdMetrics::open(address, &settings.node_name)?)),
        None => None,
    };
    let prometheus = prometheus.map(|metrics| Arc::clone(metrics) as Arc<dyn Metrics>);
    Ok(match (statsd, prometheus) {
        (Some(statsd), Some(prometheus)) => Arc::new(MetricsPair(statsd, prometheus)),
        (Some(metrics), None) | (None, Some(metrics)) => metrics,
        (None, None) => Arc::new(NoMetrics),
    })
}

/// Derives the settings of the data path from those of the node.
pub(super) fn data_path_settings(settings: &NodeSettings) -> DataPathSettings {
    let (listen, limits) = (&settings.listen, &settings.limits);
    let addresses = [listen.caller_address, listen.exit_address, listen.peer_address];
    DataPathSettings {
        retry_tokens: limits.retry_tokens,
        max_header_bytes: limits.max_head_bytes as usize,
        max_caller_connections: limits.max_caller_connections as usize,
        long_work_ms: limits.long_work_ms,
        max_backend_connections: limits.max_backend_connections as usize,
        heartbeat_timeout_ms: limits.heartbeat_timeout_ms,
        backend_idle_ms: limits.backend_idle_ms,
        ..DataPathSettings::new(
            &settings.node_name,
            &settings.data_centre,
            &settings.region,
            addresses,
        )
    }
}

/// Opens the control replica, if the settings name a data directory and a replica address.
///
/// # Errors
/// The durable state is unusable, or the replica address cannot be bound.
pub(super) async fn open_replica(
    settings: &NodeSettings,
    addresses: &ReplicaAddresses,
    key: &DeploymentKey,
    auth_failures: AuthFailureRecorder,
) -> Result<Option<(ReplicaService, Arc<dyn ControlLog>)>, Report<NodeError>> {
    let (Some(data_dir), Some(replica_address)) =
        (&settings.data_dir, settings.listen.replica_address)
    else {
        return Ok(None);
    };
    let dependencies = ReplicaServiceDependencies {
        node_name: &settings.node_name,
        data_dir,
        replica_address,
        addresses: addresses.clone(),
        deployment_key: key.clone(),
        tolerated_losses: settings.tolerated_losses,
        auth_failures,
    };
    let (service, log): (ReplicaService, ReplicaLog) =
        ReplicaService::open(dependencies).await.change_context(NodeError::Storage)?;
    Ok(Some((service, Arc::new(log))))
}

/// The services of a node with a control replica: the replica, its supervisor if the log is formed
/// without commands of operators, and the memory of the other replicas.
///
/// # Errors
/// The data directory cannot be written.
pub(super) fn replica_services(
    settings: &NodeSettings,
    replica: ReplicaService,
    directory: &Arc<dyn Directory>,
    membership: &MembershipHandle,
    key: &DeploymentKey,
) -> Result<Vec<Arc<dyn Service>>, Report<NodeError>> {
    let mut services: Vec<Arc<dyn Service>> = Vec::new();
    if let Some(data_dir) = &settings.data_dir {
        let known_replicas = KnownReplicas::new(KnownReplicasDependencies {
            data_dir: data_dir.clone(),
            replica: replica.handle().clone(),
            directory: Arc::clone(directory),
            membership: membership.clone(),
        });
        if let Some(formation) = &settings.formation {
            let is_first_start = remember_first_start(data_dir, formation.is_first_start)
                .change_context(NodeError::Storage)?;
            services.push(Arc::new(ReplicaSupervisor::new(ReplicaSupervisorDependencies {
                replica: replica.handle().clone(),
                formation: LogFormation {
                    is_first_start,
                    founders: formation.founders.clone(),
                    own_address: settings.control_address(),
                },
                directory: Arc::clone(directory),
                known_replicas: known_replicas.subscribe(),
                deployment_key: key.clone(),
                target_voters: target_voters(settings.tolerated_losses),
            })));
        }
        services.push(Arc::new(known_replicas));
    }
    services.push(Arc::new(replica));
    Ok(services)
}

/// Membership record that this node announces at its start.
pub(super) fn own_record(settings: &NodeSettings, instance: InstanceId) -> MemberRecord {
    let (listen, advertise) = (&settings.listen, &settings.advertise);
    MemberRecord {
        node: settings.node_name.clone(),
        instance,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        gossip_address: advertise.gossip_address.unwrap_or(listen.gossip_address),
        peer_address: advertise.peer_address.unwrap_or(listen.peer_address),
        control_address: settings.control_address(),
        replica_address: listen
            .replica_address
            .map(|address| advertise.replica_address.unwrap_or(address)),
        service: String::new(),
        state: BackendState::Absent,
        version: 1,
        revision: 0,
    }
}
