//! Runs a keyed request at most once.

mod policy;

pub use policy::CallerDigest;
pub use policy::OnceEnd;
pub use policy::OncePolicy;
pub use policy::OnceVerdict;
pub use policy::RequestDigest;
pub use policy::StoredAnswer;
