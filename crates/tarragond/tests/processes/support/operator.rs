use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use serde_json::json;
use serde_json::Value;
use tarragon_client::ApiResponse;
use tarragon_client::ControlClient;
use tarragon_model::api::NodeStatus;
use tarragon_model::api::NoteList;
use tarragon_model::api::ReplicaChangeAnswer;
use tarragon_model::api::ReplicaEntry;
use tarragon_model::api::ReplicaInfo;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::member::MemberRecord;

use crate::support::wait_until;
use crate::support::Daemon;

/// Request timeout, in ms; it is longer than the time limit of the daemon for control requests.
const TIMEOUT_MS: u64 = 15_000;

/// Client of the control API with the key of an operator.
#[derive(Clone)]
pub struct OperatorClient {
    key: String,
    client: ControlClient,
}

impl OperatorClient {
    /// Creates a client with an operator key, or without one.
    pub fn new(key: Option<&str>) -> Self {
        let client = ControlClient::new(key.map(String::from), TIMEOUT_MS);
        Self { key: key.unwrap_or_default().into(), client }
    }

    /// Key that authorizes the commands; empty without one.
    pub fn key(&self) -> String {
        self.key.clone()
    }

    /// Sends a request; none if no response arrives.
    pub async fn send(
        &self,
        node: &Daemon,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ApiResponse> {
        let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        self.client.send(node.addresses.control, method, path, body).await.ok()
    }

    async fn fetch<T: DeserializeOwned>(&self, node: &Daemon, path: &str) -> Option<T> {
        let response = self.send(node, Method::GET, path, &Value::Null).await?;
        parse(&response)
    }

    pub async fn status(&self, node: &Daemon) -> Option<NodeStatus> {
        self.fetch(node, "/v1/status").await
    }

    pub async fn notes(&self, node: &Daemon) -> Option<NoteList> {
        self.fetch(node, "/v1/notes").await
    }

    pub async fn members(&self, node: &Daemon) -> Option<Vec<MemberRecord>> {
        self.fetch(node, "/v1/members").await
    }

    /// State of the control replicas that respond to a node.
    pub async fn replicas(&self, node: &Daemon) -> Option<Vec<ReplicaInfo>> {
        let entries: Vec<ReplicaEntry> = self.fetch(node, "/v1/replicas").await?;
        Some(entries.into_iter().filter_map(|entry| entry.info).collect())
    }

    /// Control replicas that report to be the leader.
    pub async fn leaders(&self, node: &Daemon) -> Option<Vec<ReplicaInfo>> {
        let replicas = self.replicas(node).await?;
        Some(replicas.into_iter().filter(|replica| replica.role == "leader").collect())
    }

    /// Waits until exactly one replica is the leader and every replica that responds follows it.
    /// Returns the node name and the term of the leader.
    pub async fn wait_for_leader(&self, node: &Daemon) -> (String, u64) {
        let settled_leader = async || {
            let replicas = self.replicas(node).await?;
            let mut leaders = replicas.iter().filter(|replica| replica.role == "leader");
            let leader = leaders.next()?;
            let id = format!("{}@{}", leader.name, leader.disk);
            let is_followed = replicas.iter().all(|replica| {
                replica.term == leader.term && replica.leader.as_deref() == Some(id.as_str())
            });
            (is_followed && leaders.next().is_none()).then(|| (leader.name.clone(), leader.term))
        };
        wait_until("all replicas follow one leader", settled_leader).await
    }

    /// Asserts that a node lists exactly the notes with these ids, ordered by version.
    pub async fn assert_notes(&self, node: &Daemon, ids: &[String]) {
        let what = format!("{} lists the notes", node.name);
        let list = wait_until(&what, async || self.notes(node).await).await;
        let listed: Vec<String> = list.notes.into_iter().map(|note| note.id).collect();
        assert_eq!(listed, ids, "notes through {}", node.name);
    }

    /// Submits a note once; none without a response or with an error status.
    pub async fn submit(&self, node: &Daemon, note: &Value) -> Option<SubmitAnswer> {
        self.submit_to(node.addresses.control, note).await
    }

    /// Submits a note once to the control address of a node, like [`Self::submit`].
    pub async fn submit_to(
        &self,
        control_address: SocketAddr,
        note: &Value,
    ) -> Option<SubmitAnswer> {
        let body = Bytes::from(note.to_string());
        let response =
            self.client.send(control_address, Method::POST, "/v1/notes", body).await.ok()?;
        parse(&response)
    }

    /// Submits a note, and again while no response arrives, and asserts that it is accepted.
    pub async fn submit_until_accepted(&self, node: &Daemon, note: &Value) {
        let response =
            wait_until("a note gets a response", async || self.submit(node, note).await).await;
        let revision = note["version"].as_u64().unwrap();
        assert_eq!(response, SubmitAnswer::Accepted { revision }, "{note}");
    }

    /// Initializes the replicated log at one control replica.
    pub async fn init_log(&self, node: &Daemon) {
        let is_done = async || {
            let response = self.send(node, Method::POST, "/v1/replicas/init", &json!({})).await?;
            (parse::<ReplicaChangeAnswer>(&response)? == ReplicaChangeAnswer::Done).then_some(())
        };
        wait_until("the replicated log is initialized", is_done).await;
    }

    async fn change_replicas(&self, node: &Daemon, path: &str, name: &str) {
        let what = format!("{path} of {name}");
        let is_done = async || {
            let response = self.send(node, Method::POST, path, &json!({ "name": name })).await?;
            (parse::<ReplicaChangeAnswer>(&response)? == ReplicaChangeAnswer::Done).then_some(())
        };
        wait_until(&what, is_done).await;
    }

    /// Adds a control replica through a node.
    pub async fn add_replica(&self, node: &Daemon, name: &str) {
        self.change_replicas(node, "/v1/replicas/add", name).await;
    }

    /// Removes a control replica through a node.
    pub async fn remove_replica(&self, node: &Daemon, name: &str) {
        self.change_replicas(node, "/v1/replicas/remove", name).await;
    }
}

fn parse<T: DeserializeOwned>(reply: &ApiResponse) -> Option<T> {
    reply.status.is_success().then(|| serde_json::from_slice(&reply.body).unwrap())
}
