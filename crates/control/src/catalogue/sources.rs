use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_datapath::directory::Directory;
use tarragon_model::member::MemberRecord;

use crate::replica::ControlReplica;

/// Most members that are asked in one round, so that a round ends soon.
const MAX_MEMBERS_ASKED: usize = 4;

/// Where a node fetches catalogue changes from.
pub struct CatalogueSources {
    /// Data centre of this node.
    pub data_centre: String,
    /// Region of this node.
    pub region: String,
    /// The node's view of the members.
    pub directory: Arc<dyn Directory>,
    /// Replicas, asked last because every node knows them.
    pub replicas: Vec<ControlReplica>,
}

impl CatalogueSources {
    /// Control addresses to ask for changes after a revision, the preferred ones first: members of
    /// the own data centre that are ahead, then of the own region, then others, then the replicas.
    ///
    /// `salt` spreads the nodes over the members, which would else all ask the same ones.
    pub fn addresses(&self, revision: u64, salt: u64) -> Vec<SocketAddr> {
        let members = self.directory.members().borrow().clone();
        let mut ahead: Vec<&MemberRecord> =
            members.iter().filter(|member| member.revision > revision).collect();
        ahead.sort_by_key(|member| (self.distance(member), member.instance.0 ^ salt));
        let ahead = ahead.into_iter().take(MAX_MEMBERS_ASKED).map(|m| m.control_address);
        ahead.chain(self.replicas.iter().map(|r| r.control_address)).collect()
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
