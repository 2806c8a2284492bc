//! Departures of backend servers and drains by operators, which other nodes hold as well.
//!
//! A node that acknowledges a departure promises that the server gets no more requests; so it does for
//! a drain, until operators end it. A node without a disk forgets the promise when its process ends,
//! so the replicated log and other nodes hold it before it is given, and tell it to the next process of
//! the node. See `docs/design.md`, section 5.4.1.

mod departure_request;
mod departure_service;
mod durable_departures;
mod held_departures;
mod held_for_node;
mod held_states;
mod holder_client;
mod holders;
mod operator_drain;

pub use departure_request::DepartureRequest;
pub use departure_service::DepartureService;
pub use departure_service::DepartureServiceDependencies;
pub use held_departures::HeldDepartures;
pub use held_for_node::HeldForNode;
pub use held_states::HeldStates;
pub use held_states::HoldRequest;
pub use holder_client::ControlHolderClient;
pub use holder_client::HolderClient;
pub use holder_client::DEPARTURES_PATH;
pub use operator_drain::OperatorDrain;
