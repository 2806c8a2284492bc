use tarragon_policy::admission::AdaptiveAdmission;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::NaiveAdmission;
use tarragon_policy::retry::NaiveRetry;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::retry::RetrySettings;
use tarragon_policy::retry::TokenLedger;
use tarragon_policy::routing::AdaptiveRouter;
use tarragon_policy::routing::AdaptiveRouterSettings;
use tarragon_policy::routing::RoundRobinRouter;
use tarragon_policy::routing::RoutePolicy;

use crate::deployment::DATA_CENTRES;
use crate::deployment::SERVICES;
use crate::fake_server::FakeServer;

/// Set of policies that the nodes use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyVariant {
    Naive,
    Adaptive,
}

/// A node with its policies and its fake backend server.
pub struct Node {
    pub data_centre: usize,
    pub service: usize,
    pub gate: Box<dyn AdmissionPolicy>,
    pub route: Box<dyn RoutePolicy>,
    pub retry: Box<dyn RetryPolicy>,
    pub server: FakeServer,
    /// Incremented whenever the next event of the server changes, so that older events are ignored.
    pub server_generation: u64,
    /// Time of the scheduled poll of the gate, in µs.
    pub gate_due_us: Option<u64>,
}

impl Node {
    pub fn new(at: usize, variant: PolicyVariant, seed: u64) -> Self {
        let service = at / DATA_CENTRES;
        let slots = SERVICES[service].slots;
        let admission = AdmissionSettings::default();
        let seed = seed.wrapping_mul(1_000).wrapping_add(at as u64);
        let mut gate: Box<dyn AdmissionPolicy> = match variant {
            PolicyVariant::Naive => Box::new(NaiveAdmission::new(&admission)),
            PolicyVariant::Adaptive => Box::new(AdaptiveAdmission::new(&admission)),
        };
        gate.set_slots(slots, 0);
        Self {
            data_centre: at % DATA_CENTRES,
            service,
            gate,
            route: match variant {
                PolicyVariant::Naive => Box::new(RoundRobinRouter::default()),
                PolicyVariant::Adaptive => {
                    Box::new(AdaptiveRouter::new(AdaptiveRouterSettings::default(), seed))
                }
            },
            retry: match variant {
                PolicyVariant::Naive => Box::new(NaiveRetry::default()),
                PolicyVariant::Adaptive => Box::new(TokenLedger::new(RetrySettings::default())),
            },
            server: FakeServer::new(slots),
            server_generation: 0,
            gate_due_us: None,
        }
    }
}
