//! Whole configurations: the complete set of routes in force, an alternative to release notes for
//! operators who submit all of it at once. See `docs/design.md`, section 5.1.

mod answer;
mod full_configuration;
mod limits;
mod route;

pub use answer::ConfigureAnswer;
pub use full_configuration::Configuration;
pub use limits::CallerLimits;
pub use route::RepeatRule;
pub use route::Route;
pub use route::RouteTarget;
pub use route::ServiceLimits;
