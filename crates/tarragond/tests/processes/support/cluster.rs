use std::net::SocketAddr;
use std::ops::Index;
use std::ops::IndexMut;

use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;

use crate::support::addresses::NodeAddresses;
use crate::support::first_note;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Daemon;
use crate::support::OperatorClient;
use crate::support::RelayNetwork;

const DEPLOYMENT_KEY: &str = "deployment key of the process tests";

const OPERATOR_KEY: &str = "operator key of the process tests";

/// Name and addresses of a node that is yet to be started.
struct NodePlan<'a> {
    name: &'a str,
    listen: NodeAddresses,
    /// Addresses that the node announces to other nodes.
    advertised: NodeAddresses,
}

/// Nodes of a deployment, with the control replicas first.
pub struct Cluster {
    pub nodes: Vec<Daemon>,
    pub operator: OperatorClient,
}

impl Cluster {
    /// Prepares nodes without starting them. A node whose name starts with `replica` is a control
    /// replica. The part of a name after an `@` is the data centre, by default `north`.
    pub fn new(names: &[&str]) -> Self {
        let plans = names.iter().map(|name| {
            let listen = NodeAddresses::reserve();
            NodePlan { name, listen, advertised: listen }
        });
        Self::build(&plans.collect::<Vec<_>>())
    }

    /// Prepares nodes that reach each other only through relays.
    pub async fn behind_relays(names: &[&str]) -> (Self, RelayNetwork) {
        let plans = names.iter().map(|name| {
            let (listen, advertised) = (NodeAddresses::reserve(), NodeAddresses::reserve());
            NodePlan { name, listen, advertised }
        });
        let plans: Vec<NodePlan<'_>> = plans.collect();
        let routes = plans.iter().map(|plan| (node_name(plan.name), plan.advertised, plan.listen));
        let network = RelayNetwork::start(routes.collect()).await;
        (Self::build(&plans), network)
    }

    fn build(plans: &[NodePlan<'_>]) -> Self {
        let replicas = plans.iter().filter(|plan| is_replica(plan.name));
        let replicas: Vec<Value> = replicas
            .map(|plan| {
                json!({"node_name": node_name(plan.name),
                       "control_address": plan.advertised.control,
                       "replica_address": plan.advertised.replica})
            })
            .collect();
        let seeds: Vec<SocketAddr> = plans.iter().map(|plan| plan.advertised.gossip).collect();
        let node = |plan: &NodePlan<'_>| {
            let folder = TempDir::new().unwrap();
            let mut settings = settings(plan, &folder);
            settings["seeds"] = json!(seeds);
            settings["control_replicas"] = json!(replicas);
            Daemon::new(node_name(plan.name), plan.listen, settings, folder)
        };
        let nodes = plans.iter().map(node).collect();
        Self { nodes, operator: OperatorClient::new(Some(OPERATOR_KEY)) }
    }

    /// Starts all nodes, forms the replicated log of all control replicas, submits the first note
    /// and waits until every node serves callers.
    pub async fn start(&mut self) {
        for node in &mut self.nodes {
            node.start();
        }
        self.form_deployment().await;
    }

    /// Does the same as [`Self::start`] for nodes behind relays.
    pub async fn start_behind_relays(&mut self, network: &RelayNetwork) {
        for node in &mut self.nodes {
            node.start();
        }
        network.update_process_ids(self);
        self.form_deployment().await;
    }

    /// Forms the replicated log and submits the first note, once every node responds.
    async fn form_deployment(&self) {
        for node in &self.nodes {
            let what = format!("{} responds", node.name);
            wait_until(&what, async || self.operator.status(node).await).await;
        }
        self.operator.init_log(&self.nodes[0]).await;
        for index in 1..self.control_replicas().count() {
            self.operator.add_replica(&self.nodes[0], &self.nodes[index].name).await;
        }
        self.operator.submit_until_accepted(&self.nodes[0], &first_note()).await;
        self.wait_until_in_force(1).await;
        for node in &self.nodes {
            self.wait_until_serving(node).await;
        }
    }

    /// Waits until a node serves callers.
    pub async fn wait_until_serving(&self, node: &Daemon) {
        let what = format!("{} serves callers", node.name);
        // A node accepts connections before it serves callers, and refuses requests until then.
        wait_until(&what, async || {
            let response = CallerRequest::view("/").send(node).await.ok()?;
            (!response.text.contains("not-ready")).then_some(())
        })
        .await;
    }

    /// The control replicas.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Daemon> {
        self.nodes.iter().filter(|node| is_replica(&node.name))
    }

    /// Nodes with a running process.
    pub fn running_nodes(&self) -> impl Iterator<Item = &Daemon> {
        self.nodes.iter().filter(|node| node.is_running())
    }

    /// Waits until a revision is in force at every running node.
    pub async fn wait_until_in_force(&self, revision: u64) {
        for node in self.running_nodes() {
            let what = format!("revision {revision} is in force at {}", node.name);
            let is_reached = async || {
                let status = self.operator.status(node).await?;
                (status.revision >= revision).then_some(())
            };
            wait_until(&what, is_reached).await;
        }
    }
}

impl Index<&str> for Cluster {
    type Output = Daemon;

    fn index(&self, name: &str) -> &Daemon {
        self.nodes
            .iter()
            .find(|node| node.name == name)
            .expect("the cluster has a node of this name")
    }
}

impl IndexMut<&str> for Cluster {
    fn index_mut(&mut self, name: &str) -> &mut Daemon {
        self.nodes
            .iter_mut()
            .find(|node| node.name == name)
            .expect("the cluster has a node of this name")
    }
}

fn is_replica(name: &str) -> bool {
    name.starts_with("replica")
}

fn node_name(name: &str) -> &str {
    name.split('@').next().expect("a split has a first part")
}

fn settings(plan: &NodePlan<'_>, folder: &TempDir) -> Value {
    let NodePlan { name, listen, advertised } = plan;
    let key_file = |file: &str, text: &str| {
        let path = folder.path().join(file);
        std::fs::write(&path, text).unwrap();
        path
    };
    let mut settings = json!({
        "node_name": node_name(name),
        "data_centre": name.split_once('@').map_or("north", |(_, data_centre)| data_centre),
        "region": "south",
        "listen": {
            "caller_address": listen.caller, "exit_address": listen.exit,
            "peer_address": listen.peer, "gossip_address": listen.gossip,
            "control_address": listen.control,
        },
        "advertise": {
            "peer_address": advertised.peer, "gossip_address": advertised.gossip,
            "control_address": advertised.control,
        },
        "deployment_key_file": key_file("deployment.key", DEPLOYMENT_KEY),
        "operator_key_file": key_file("operator.key", OPERATOR_KEY),
    });
    if is_replica(name) {
        settings["listen"]["replica_address"] = json!(listen.replica);
        settings["advertise"]["replica_address"] = json!(advertised.replica);
        settings["data_dir"] = json!(folder.path().join("data"));
    }
    settings
}
