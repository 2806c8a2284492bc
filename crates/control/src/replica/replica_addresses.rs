use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_datapath::directory::Directory;

use crate::replica::ControlReplica;

/// Looks up the addresses of control replicas by the names of their nodes.
///
/// The member list takes precedence over the settings, which do not list replicas that were added
/// later.
#[derive(Clone)]
pub struct ReplicaAddresses {
    directory: Arc<dyn Directory>,
    configured: Vec<ControlReplica>,
}

impl ReplicaAddresses {
    /// Creates a lookup in the member list and in the replicas from the settings.
    pub fn new(directory: Arc<dyn Directory>, configured: Vec<ControlReplica>) -> Self {
        Self { directory, configured }
    }

    /// Address at which a replica accepts connections from other replicas.
    pub fn replica_address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.directory.members().borrow().clone();
        let member = members.iter().find(|m| m.node == name).and_then(|m| m.replica_address);
        let configured = self.configured.iter().find(|r| r.node_name == name);
        member.or(configured.map(|r| r.replica_address))
    }

    /// Node names of the known replicas, without duplicates, and the addresses of their control
    /// API.
    pub fn control_addresses(&self) -> Vec<(String, SocketAddr)> {
        let members = self.directory.members().borrow().clone();
        let replicas = members.iter().filter(|m| m.replica_address.is_some());
        let mut known: Vec<(String, SocketAddr)> =
            replicas.map(|m| (m.node.clone(), m.control_address)).collect();
        for replica in &self.configured {
            if !known.iter().any(|(name, _)| *name == replica.node_name) {
                known.push((replica.node_name.clone(), replica.control_address));
            }
        }
        known
    }
}
