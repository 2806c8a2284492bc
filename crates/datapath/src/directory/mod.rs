//! Read access to the node's view of the deployment: the catalogue in force and the members.

mod directory_watch;

pub use directory_watch::Directory;
pub use directory_watch::DirectoryWatch;
