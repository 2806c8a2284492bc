//! Decides at the gate whether a request runs, waits or is refused.

mod advice;
mod policy;

pub use advice::shed_hash;
pub use advice::AdmissionAdvice;
pub use policy::AdmissionPolicy;
pub use policy::Offer;
pub use policy::Refusal;
pub use policy::Release;
pub use policy::RunEnd;
pub use policy::RunResult;
pub use policy::Ticket;
pub use policy::Verdict;
pub use policy::WorkClass;
