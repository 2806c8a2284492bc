use std::sync::Arc;

use tarragon_model::catalogue::Catalogue;
use tarragon_model::member::MemberRecord;
use tokio::sync::watch;

/// Read access to the node's view of the deployment.
///
/// The interface decouples the data path from the services that update the view.
pub trait Directory: Send + Sync {
    /// The catalogue in force at this node.
    fn catalogue(&self) -> watch::Receiver<Arc<Catalogue>>;

    /// All known members, including this node.
    fn members(&self) -> watch::Receiver<Arc<Vec<MemberRecord>>>;
}

/// A directory backed by two watch channels.
#[derive(Debug, Clone)]
pub struct DirectoryWatch {
    catalogue: watch::Receiver<Arc<Catalogue>>,
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
}

impl DirectoryWatch {
    /// Creates a directory from the channels of the catalogue and membership services.
    pub fn new(
        catalogue: watch::Receiver<Arc<Catalogue>>,
        members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    ) -> Self {
        Self { catalogue, members }
    }
}

impl Directory for DirectoryWatch {
    fn catalogue(&self) -> watch::Receiver<Arc<Catalogue>> {
        self.catalogue.clone()
    }

    fn members(&self) -> watch::Receiver<Arc<Vec<MemberRecord>>> {
        self.members.clone()
    }
}
