//! Admission control at the gate: a request runs, waits in the queue or is refused.
//!
//! The daemon uses [`AdaptiveAdmission`] or, with `load_model: "slots"`, [`SlotAdmission`].
//! [`NaiveAdmission`] is the baseline for comparisons. An [`AdvisoryFilter`] applies the advice of
//! a gate at a calling node.

mod adaptive;
mod advice;
mod advisory_filter;
mod class_shares;
mod concurrency_limit;
mod kind_limits;
mod naive;
mod policy;
mod rate_limit;
mod run_time_means;
mod run_times;
mod settings;
mod shed_cutoff;
mod slot_admission;
mod wait_queue;

pub use adaptive::AdaptiveAdmission;
pub use advice::shed_hash;
pub use advice::AdmissionAdvice;
pub use advisory_filter::AdvisoryFilter;
pub use kind_limits::KindLimitSettings;
pub use naive::NaiveAdmission;
pub use policy::AdmissionDecision;
pub use policy::AdmissionPolicy;
pub use policy::AdmissionRefusal;
pub use policy::AdmissionRequest;
pub use policy::QueueDecision;
pub use policy::RunOutcome;
pub use policy::RunResult;
pub use policy::Ticket;
pub use policy::WorkClass;
pub use run_time_means::MeanRunTime;
pub use settings::AdmissionSettings;
pub use slot_admission::SlotAdmission;
pub use slot_admission::SlotAdmissionSettings;
