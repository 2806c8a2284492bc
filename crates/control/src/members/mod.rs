//! The membership service: announces this node to others and keeps the list of members.

mod full_state_fetcher;
mod known_replicas;
mod membership_service;

pub use full_state_fetcher::FullStateFetcher;
pub use known_replicas::KnownReplica;
pub use known_replicas::KnownReplicaMap;
pub use known_replicas::KnownReplicas;
pub use known_replicas::KnownReplicasDependencies;
pub use membership_service::MembershipService;
pub use membership_service::MembershipServiceDependencies;
