//! Keeps the node's copy of the catalogue up to date.

mod follower;
mod sources;

pub use follower::CatalogueFollower;
pub use follower::CatalogueFollowerDependencies;
pub use sources::CatalogueSources;
