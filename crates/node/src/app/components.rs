//! Parts of a node, each built from the settings alone.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use tarragon_control::control::AuthFailureRecorder;
use tarragon_control::control::ControlLog;
use tarragon_control::replica::ReplicaAddresses;
use tarragon_control::replica::ReplicaLog;
use tarragon_control::replica::ReplicaService;
use tarragon_control::replica::ReplicaServiceDependencies;
use tarragon_datapath::datapath::DataPathSettings;
use tarragon_datapath::datapath::Metrics;
use tarragon_datapath::datapath::NoMetrics;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::DeploymentKey;

use crate::app::prometheus::MetricsPair;
use crate::app::prometheus::PulledMetrics;
use crate::app::statsd::StatsdMetrics;
use crate::app::NodeError;
use crate::conf::NodeSettings;

/// The receivers of metrics that the settings name.
///
/// # Errors
/// The socket for StatsD cannot be opened.
pub(super) fn metrics(
    settings: &NodeSettings,
    pulled: Option<&Arc<PulledMetrics>>,
) -> Result<Arc<dyn Metrics>, Report<NodeError>> {
    let sent: Option<Arc<dyn Metrics>> = match settings.statsd_address {
        Some(address) => Some(Arc::new(StatsdMetrics::open(address, &settings.node_name)?)),
        None => None,
    };
    let pulled = pulled.map(|pulled| Arc::clone(pulled) as Arc<dyn Metrics>);
    Ok(match (sent, pulled) {
        (Some(sent), Some(pulled)) => Arc::new(MetricsPair(sent, pulled)),
        (Some(one), None) | (None, Some(one)) => one,
        (None, None) => Arc::new(NoMetrics),
    })
}

/// Settings of the data path.
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

/// Opens the control replica, if the settings name a data folder.
///
/// # Errors
/// The durable state cannot be used, or the address cannot be bound.
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
    let parts = ReplicaServiceDependencies {
        node_name: &settings.node_name,
        data_dir,
        replica_address,
        addresses: addresses.clone(),
        deployment_key: key.clone(),
        auth_failures,
    };
    let (service, log): (ReplicaService, ReplicaLog) =
        ReplicaService::open(parts).await.change_context(NodeError::Storage)?;
    Ok(Some((service, Arc::new(log))))
}

/// What members are told of this node at its start.
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
        replica_address: listen.replica_address.map(|a| advertise.replica_address.unwrap_or(a)),
        service: String::new(),
        state: BackendState::Absent,
        version: 1,
        revision: 0,
    }
}
