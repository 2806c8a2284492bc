use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_datapath::directory::Directory;
use tarragon_model::member::MemberRecord;

use crate::replica::ControlReplica;

/// Maximum number of members among the candidates, which limits the duration of a round.
const MAX_MEMBERS: usize = 8;

/// Selects the nodes from which catalogue changes are fetched.
pub struct CatalogueSources {
    /// Data centre of this node.
    pub data_centre: String,
    /// Region of this node.
    pub region: String,
    /// The node's view of the members.
    pub directory: Arc<dyn Directory>,
    /// Control replicas from the settings. They are queried last, because all nodes query the same
    /// ones.
    pub replicas: Vec<ControlReplica>,
}

impl CatalogueSources {
    /// Control addresses to query for changes after a revision, in order of preference: members
    /// with a higher revision, first those of the same data centre, then of the same region, then
    /// all others; finally the replicas.
    ///
    /// `salt` spreads the nodes over the members. Without it, all nodes would query the same ones.
    pub fn addresses(&self, revision: u64, salt: u64) -> Vec<SocketAddr> {
        let members = self.directory.members().borrow().clone();
        let mut candidates: Vec<&MemberRecord> =
            members.iter().filter(|member| member.revision > revision).collect();
        candidates.sort_by_key(|member| (self.distance(member), member.instance.0 ^ salt));
        let candidates =
            candidates.into_iter().take(MAX_MEMBERS).map(|member| member.control_address);
        candidates.chain(self.replicas.iter().map(|r| r.control_address)).collect()
    }

    fn distance(&self, member: &MemberRecord) -> u8 {
        if member.data_centre == self.data_centre {
            0
        } else if member.region == self.region {
            1
        } else {
            2
        }
    }
}
