//! Chooses the backend server for a call.

mod adaptive_router;
mod decaying_advice;
mod latency_estimate;
mod load_router;
mod measured_server;
mod policy;
mod round_robin_router;
mod server_pool;
mod settings;
mod slowness;
mod spillover;
mod weighted_round_robin;

#[cfg(test)]
mod tests;

pub use adaptive_router::AdaptiveRouter;
pub use load_router::LoadRouter;
pub use load_router::LoadRouterSettings;
pub use policy::CallOutcome;
pub use policy::CallResult;
pub use policy::Candidate;
pub use policy::Distance;
pub use policy::PeerState;
pub use policy::RouteDecision;
pub use policy::RoutePolicy;
pub use policy::RouteQuery;
pub use round_robin_router::RoundRobinRouter;
pub use settings::AdaptiveRouterSettings;
pub use weighted_round_robin::WeightedRoundRobin;
