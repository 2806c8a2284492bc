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

/// Which policies the nodes use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
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
    pub server_version: u64,
    pub gate_due_us: Option<u64>,
}

impl Node {
    pub fn new(at: usize, version: Version, seed: u64) -> Self {
        let service = at / DATA_CENTRES;
        let slots = SERVICES[service].slots;
        let admission = AdmissionSettings::default();
        let seed = seed.wrapping_mul(1_000).wrapping_add(at as u64);
        let mut gate: Box<dyn AdmissionPolicy> = match version {
            Version::Naive => Box::new(NaiveAdmission::new(&admission)),
            Version::Adaptive => Box::new(AdaptiveAdmission::new(&admission)),
        };
        gate.set_slots(slots, 0);
        Self {
            data_centre: at % DATA_CENTRES,
            service,
            gate,
            route: match version {
                Version::Naive => Box::new(RoundRobinRouter::default()),
                Version::Adaptive => {
                    Box::new(AdaptiveRouter::new(AdaptiveRouterSettings::default(), seed))
                }
            },
            retry: match version {
                Version::Naive => Box::new(NaiveRetry::default()),
                Version::Adaptive => Box::new(TokenLedger::new(RetrySettings::default())),
            },
            server: FakeServer::new(slots),
            server_version: 0,
            gate_due_us: None,
        }
    }
}
