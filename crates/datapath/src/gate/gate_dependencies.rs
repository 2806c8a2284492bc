use std::sync::Arc;
use std::sync::Mutex;

use tarragon_model::catalogue::Catalogue;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::once::OncePolicy;
use tarragon_policy::retry::RetryPolicy;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;

use crate::backend::LocalBackend;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::datapath::ServingState;
use crate::interface::BackendInterface;
use crate::quarantine::SharedLedger;

/// Settings and components that a gate uses.
pub struct GateDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock of the policies.
    pub clock: Clock,
    /// Policy that decides which requests run, wait or are refused.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Requests under which backend servers have crashed.
    pub(crate) crashes: Arc<SharedLedger>,
    /// Table of idempotency keys.
    pub once: Box<dyn OncePolicy>,
    /// Retry tokens of the node.
    pub retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    /// The backend server.
    pub backend: Arc<dyn LocalBackend>,
    /// Current catalogue of services.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Whether the node accepts requests of callers, or stops.
    pub serving: watch::Receiver<ServingState>,
    /// Key for the digests of callers and requests.
    pub key: DeploymentKey,
    /// Receiver of counters.
    pub metrics: Arc<dyn Metrics>,
    /// Writes request headers for the backend server and interprets its response headers.
    pub interface: Arc<dyn BackendInterface>,
}
