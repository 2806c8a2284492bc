use tarragon_datapath::datapath::Policies;
use tarragon_model::identity::InstanceId;
use tarragon_policy::admission::AdaptiveAdmission;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::SlotAdmission;
use tarragon_policy::admission::SlotAdmissionSettings;
use tarragon_policy::once::KeyTable;
use tarragon_policy::once::OnceSettings;
use tarragon_policy::retry::CallerThrottle;
use tarragon_policy::retry::RetrySettings;
use tarragon_policy::retry::ThrottleSettings;
use tarragon_policy::retry::TokenLedger;
use tarragon_policy::routing::AdaptiveRouter;
use tarragon_policy::routing::AdaptiveRouterSettings;
use tarragon_policy::routing::LoadRouter;
use tarragon_policy::routing::LoadRouterSettings;
use tarragon_policy::routing::RoutePolicy;

use crate::conf::LoadModel;
use crate::conf::NodeSettings;

/// Builds the policies of the data path from the settings of a node.
pub fn build_policies(settings: &NodeSettings, instance: InstanceId) -> Policies {
    let limits = &settings.limits;
    let retry = RetrySettings {
        tokens_per_request: limits.retry_tokens,
        retry_percent: limits.retry_percent,
        floor_retries: limits.retry_floor,
        window_ms: limits.retry_window_ms,
        ..RetrySettings::default()
    };
    let once = OnceSettings { key_retention_s: limits.key_retention_s, ..OnceSettings::default() };
    let (admission, route): (Box<dyn AdmissionPolicy>, Box<dyn RoutePolicy>) =
        match limits.load_model {
            LoadModel::Learnt => (
                Box::new(AdaptiveAdmission::new(&AdmissionSettings::default())),
                Box::new(AdaptiveRouter::new(AdaptiveRouterSettings::default(), instance.0)),
            ),
            LoadModel::Slots => (
                Box::new(SlotAdmission::new(SlotAdmissionSettings::default())),
                Box::new(LoadRouter::new(LoadRouterSettings::default(), instance.0)),
            ),
        };
    Policies {
        admission,
        route,
        retry: Box::new(TokenLedger::new(retry)),
        once: Box::new(KeyTable::new(instance, once)),
        throttle: CallerThrottle::new(ThrottleSettings::default()),
    }
}
