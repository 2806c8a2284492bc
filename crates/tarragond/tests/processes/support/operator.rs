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

use crate::support::until;
use crate::support::Daemon;

/// Longer than the daemon itself takes to give up a request.
const TIMEOUT_MS: u64 = 15_000;

/// An operator's client of the control API.
#[derive(Clone)]
pub struct Operator {
    key: String,
    client: ControlClient,
}

impl Operator {
    /// An operator with a key, or without one.
    pub fn new(key: Option<&str>) -> Self {
        let client = ControlClient::new(key.map(String::from), TIMEOUT_MS);
        Self { key: key.unwrap_or_default().into(), client }
    }

    /// The key that the commands carry.
    pub fn key(&self) -> String {
        self.key.clone()
    }

    /// Sends a request; none if no answer came.
    pub async fn send(
        &self,
        node: &Daemon,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ApiResponse> {
        let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        self.client.send(node.at.control, method, path, body).await.ok()
    }

    async fn read<T: DeserializeOwned>(&self, node: &Daemon, path: &str) -> Option<T> {
        let reply = self.send(node, Method::GET, path, &Value::Null).await?;
        parse(&reply)
    }

    pub async fn status(&self, node: &Daemon) -> Option<NodeStatus> {
        self.read(node, "/v1/status").await
    }

    pub async fn notes(&self, node: &Daemon) -> Option<NoteList> {
        self.read(node, "/v1/notes").await
    }

    pub async fn members(&self, node: &Daemon) -> Option<Vec<MemberRecord>> {
        self.read(node, "/v1/members").await
    }

    /// What the replicas that answer say of themselves, as a node sees it.
    pub async fn replicas(&self, node: &Daemon) -> Option<Vec<ReplicaInfo>> {
        let entries: Vec<ReplicaEntry> = self.read(node, "/v1/replicas").await?;
        Some(entries.into_iter().filter_map(|entry| entry.info).collect())
    }

    /// The replicas that call themselves leader.
    pub async fn leaders(&self, node: &Daemon) -> Option<Vec<ReplicaInfo>> {
        let replicas = self.replicas(node).await?;
        Some(replicas.into_iter().filter(|replica| replica.role == "leader").collect())
    }

    /// Waits until exactly one replica leads and every replica that answers follows it; returns
    /// the name of its node and its term.
    pub async fn leader(&self, node: &Daemon) -> (String, u64) {
        let is_settled = async || {
            let replicas = self.replicas(node).await?;
            let mut leaders = replicas.iter().filter(|replica| replica.role == "leader");
            let leader = leaders.next()?;
            let id = format!("{}@{}", leader.name, leader.disk);
            let is_followed = replicas
                .iter()
                .all(|r| r.term == leader.term && r.leader.as_deref() == Some(id.as_str()));
            (is_followed && leaders.next().is_none()).then(|| (leader.name.clone(), leader.term))
        };
        until("one leader that all follow", is_settled).await
    }

    /// Checks that a node lists exactly these notes, given as ids in the order of versions.
    pub async fn check_notes(&self, node: &Daemon, ids: &[String]) {
        let what = format!("the list of notes through {}", node.name);
        let list = until(&what, async || self.notes(node).await).await;
        let listed: Vec<String> = list.notes.into_iter().map(|note| note.id).collect();
        assert_eq!(listed, ids, "notes through {}", node.name);
    }

    /// Submits a note once; none without an answer or with a server error.
    pub async fn submit(&self, node: &Daemon, note: &Value) -> Option<SubmitAnswer> {
        self.submit_to(node.at.control, note).await
    }

    /// The same at the address of a node's control API.
    pub async fn submit_to(&self, control: SocketAddr, note: &Value) -> Option<SubmitAnswer> {
        let body = Bytes::from(note.to_string());
        let reply = self.client.send(control, Method::POST, "/v1/notes", body).await.ok()?;
        parse(&reply)
    }

    /// Submits a note, again after every lost answer, until it is accepted.
    pub async fn accept(&self, node: &Daemon, note: &Value) {
        let answer = until("an answer to a note", async || self.submit(node, note).await).await;
        let revision = note["version"].as_u64().unwrap();
        assert_eq!(answer, SubmitAnswer::Accepted { revision }, "{note}");
    }

    /// Starts the replicated log at one replica.
    pub async fn init(&self, node: &Daemon) {
        let is_done = async || {
            let reply = self.send(node, Method::POST, "/v1/replicas/init", &json!({})).await?;
            (parse::<ReplicaChangeAnswer>(&reply)? == ReplicaChangeAnswer::Done).then_some(())
        };
        until("the start of the log", is_done).await;
    }

    async fn change(&self, node: &Daemon, path: &str, name: &str) {
        let what = format!("{path} of {name}");
        let is_done = async || {
            let reply = self.send(node, Method::POST, path, &json!({ "name": name })).await?;
            (parse::<ReplicaChangeAnswer>(&reply)? == ReplicaChangeAnswer::Done).then_some(())
        };
        until(&what, is_done).await;
    }

    /// Adds a control replica by way of a node.
    pub async fn add(&self, node: &Daemon, name: &str) {
        self.change(node, "/v1/replicas/add", name).await;
    }

    /// Removes a control replica by way of a node.
    pub async fn remove(&self, node: &Daemon, name: &str) {
        self.change(node, "/v1/replicas/remove", name).await;
    }
}

fn parse<T: DeserializeOwned>(reply: &ApiResponse) -> Option<T> {
    reply.status.is_success().then(|| serde_json::from_slice(&reply.body).unwrap())
}
