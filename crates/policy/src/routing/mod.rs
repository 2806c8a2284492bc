//! Chooses a backend server for a call.

mod policy;

pub use policy::CallEnd;
pub use policy::CallResult;
pub use policy::Candidate;
pub use policy::Distance;
pub use policy::PeerState;
pub use policy::RouteDecision;
pub use policy::RoutePolicy;
pub use policy::RouteQuery;
