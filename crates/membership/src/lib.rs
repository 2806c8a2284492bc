//! Membership: failure detection and dissemination between nodes.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002) with the local health extensions of Lifeguard
//! (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018). [`Membership`] is a deterministic state machine; [`MembershipDriver`]
//! runs it on a UDP socket. See `docs/design.md`, section 5.3.

mod driver;
mod message;
mod protocol;
mod settings;

pub use driver::DriverCounters;
pub use driver::FetchError;
pub use driver::FullStateSource;
pub use driver::MembershipDriver;
pub use driver::MembershipHandle;
pub use message::Datagram;
pub use message::DatagramBody;
pub use message::DatagramHeader;
pub use message::MemberUpdate;
pub use message::FINAL_VERSION;
pub use protocol::Member;
pub use protocol::MemberStatus;
pub use protocol::Membership;
pub use protocol::MembershipAction;
pub use protocol::MembershipCounts;
pub use protocol::MembershipEvent;
pub use settings::Mechanisms;
pub use settings::MembershipSettings;
