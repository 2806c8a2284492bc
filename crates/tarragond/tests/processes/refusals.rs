//! Commands without the operators' key, nodes without the deployment key, and wrong settings.

use http::Method;
use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use tokio::net::UdpSocket;

use crate::support::first_note;
use crate::support::next_note;
use crate::support::until;
use crate::support::Cluster;
use crate::support::Operator;

/// Guards against a command that takes effect, or a view that is shown, without the right key.
#[tokio::test]
async fn commands_need_the_operator_key() {
    let mut cluster = Cluster::new(&["replica-1"]);
    let node = &mut cluster.nodes[0];
    node.start();
    until("the node answers", async || cluster.operator.status(&cluster.nodes[0]).await).await;
    let node = &cluster.nodes[0];
    let name = json!({"name": "replica-1"});
    let commands = [
        (Method::POST, "/v1/notes", first_note()),
        (Method::GET, "/v1/notes", Value::Null),
        (Method::GET, "/v1/notes/first", Value::Null),
        (Method::GET, "/v1/services", Value::Null),
        (Method::GET, "/v1/members", Value::Null),
        (Method::GET, "/v1/status", Value::Null),
        (Method::GET, "/v1/replicas", Value::Null),
        (Method::POST, "/v1/replicas/init", json!({})),
        (Method::POST, "/v1/replicas/add", name.clone()),
        (Method::POST, "/v1/replicas/remove", name),
        (Method::POST, "/v1/drain", json!({})),
        (Method::DELETE, "/v1/drain", Value::Null),
    ];
    let right = cluster.operator.key();
    let wrong = [None, Some(""), Some("wrong key of an operator"), Some(&right[1..])];
    for key in wrong {
        let operator = Operator::new(key);
        for (method, path, body) in &commands {
            let reply = operator.send(node, method.clone(), path, body).await.unwrap();
            let status = reply.status;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{method} {path} with {key:?}");
        }
    }
    let replicas = cluster.operator.replicas(node).await.unwrap();
    assert!(replicas[0].voters.is_empty(), "the log was started without the key: {replicas:?}");
    assert!(node.log().contains("refused a command without the operator key"));
    // The same commands take effect with the key.
    cluster.operator.init(node).await;
    cluster.operator.accept(node, &first_note()).await;
    cluster.operator.accept(node, &next_note("second", 2)).await;
}

/// Guards against a node that starts with settings that it misreads, and against a report that
/// names only the first mistake.
#[tokio::test]
async fn wrong_settings_end_with_code_2_and_every_mistake() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1"]);
    let node = &mut cluster.nodes[0];
    let good = node.settings.clone();
    let mut shape = good.clone();
    shape["colour"] = json!("red");
    shape["limits"] = json!({"retry_tokens": -1, "speed": 3});
    shape["listen"]["caller_address"] = json!("no address");
    let mut meaning = good.clone();
    meaning["node_name"] = json!("a name with spaces");
    meaning["listen"]["peer_address"] = json!("127.0.0.1:0");
    meaning["advertise"] = json!({"control_address": "0.0.0.0:7000"});
    meaning["control_replicas"] = json!([]);
    meaning["limits"] = json!({"retry_tokens": 101, "key_retention_s": 0});
    let mut without_replica = cluster.nodes[1].settings.clone();
    without_replica["advertise"]["replica_address"] = json!("127.0.0.1:7000");
    let node = &mut cluster.nodes[0];
    let cases: [(Value, &[&str]); 4] = [
        (json!("no object"), &["$: "]),
        (shape, &["'colour' was unexpected", "'speed' was unexpected", "$.limits.retry_tokens: "]),
        (
            meaning,
            &[
                "$.node_name: ",
                "$.listen.peer_address: ",
                "$.advertise.control_address: ",
                "$.control_replicas: ",
                "$.limits.retry_tokens: ",
                "$.limits.key_retention_s: ",
            ],
        ),
        (without_replica, &["$.advertise.replica_address: "]),
    ];
    for (settings, mistakes) in cases {
        node.settings = settings;
        let earlier_bytes = node.log().len();
        node.start();
        let status = node.exit().await;
        let log = node.log().split_off(earlier_bytes);
        assert_eq!(status.code(), Some(2), "{log}");
        for mistake in mistakes {
            assert!(log.contains(mistake), "'{mistake}' is missing:\n{log}");
        }
    }
}

/// Guards against a node of another deployment that becomes a member, or is refused silently.
#[tokio::test]
async fn a_node_with_a_wrong_deployment_key_is_no_member() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "stranger"]);
    let metrics = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let metrics_address = metrics.local_addr().unwrap();
    cluster["replica-1"].settings["statsd_address"] = json!(metrics_address);
    let mut stranger = cluster.nodes.pop().unwrap();
    cluster.start().await;
    let key_file = stranger.folder.path().join("other.key");
    std::fs::write(&key_file, "deployment key of other nodes").unwrap();
    stranger.settings["deployment_key_file"] = json!(key_file);
    stranger.start();
    let (operator, known) = (&cluster.operator, &cluster["replica-1"]);
    let logs = async || known.log().contains("member: dropped a datagram").then_some(());
    until("a log line about the dropped datagrams", logs).await;
    let counts = async || {
        let mut packet = [0; 2_048];
        let length = metrics.recv(&mut packet).await.ok()?;
        let text = String::from_utf8_lossy(&packet[..length]).into_owned();
        text.contains("tarragon.member.dropped:").then_some(())
    };
    until("a metric of the dropped datagrams", counts).await;
    until("the stranger answers", async || operator.status(&stranger).await).await;
    for node in cluster.running() {
        let members = operator.members(node).await.unwrap();
        assert!(members.iter().all(|member| member.node != "stranger"), "{members:?}");
    }
    let members = operator.members(&stranger).await.unwrap();
    assert!(members.iter().all(|member| member.node == "stranger"), "{members:?}");
    // A control request of the stranger is refused too.
    assert_eq!(operator.submit(&stranger, &next_note("strange", 2)).await, None);
    operator.check_notes(known, &["first".to_string()]).await;
    assert!(known.log().contains("note: dropped a control request"));
}
