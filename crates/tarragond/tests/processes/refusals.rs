//! Commands without the operator key, nodes without the deployment key, and invalid settings.

use http::Method;
use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use tokio::net::UdpSocket;

use crate::support::first_note;
use crate::support::next_note;
use crate::support::wait_until;
use crate::support::Cluster;
use crate::support::OperatorClient;

/// Guards against a command or query that is served without the right operator key.
#[tokio::test]
async fn commands_need_the_operator_key() {
    let mut cluster = Cluster::new(&["replica-1"]);
    let node = &mut cluster.nodes[0];
    node.start();
    wait_until("the node responds", async || cluster.operator.status(&cluster.nodes[0]).await)
        .await;
    let node = &cluster.nodes[0];
    let replica = json!({"name": "replica-1"});
    let commands = [
        (Method::POST, "/v1/notes", first_note()),
        (Method::GET, "/v1/notes", Value::Null),
        (Method::GET, "/v1/notes/first", Value::Null),
        (Method::GET, "/v1/services", Value::Null),
        (Method::GET, "/v1/members", Value::Null),
        (Method::GET, "/v1/status", Value::Null),
        (Method::GET, "/v1/replicas", Value::Null),
        (Method::POST, "/v1/replicas/init", json!({})),
        (Method::POST, "/v1/replicas/add", replica.clone()),
        (Method::POST, "/v1/replicas/remove", replica),
        (Method::POST, "/v1/drain", json!({})),
        (Method::DELETE, "/v1/drain", Value::Null),
    ];
    let right_key = cluster.operator.key();
    let wrong_keys = [None, Some(""), Some("wrong key of an operator"), Some(&right_key[1..])];
    for key in wrong_keys {
        let operator = OperatorClient::new(key);
        for (method, path, body) in &commands {
            let response = operator.send(node, method.clone(), path, body).await.unwrap();
            let status = response.status;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{method} {path} with {key:?}");
        }
    }
    let replicas = cluster.operator.replicas(node).await.unwrap();
    assert!(replicas[0].voters.is_empty(), "the log was initialized without the key: {replicas:?}");
    assert!(node.read_log().contains("refused a command without the operator key"));
    // The same commands take effect with the key.
    cluster.operator.init_log(node).await;
    cluster.operator.submit_until_accepted(node, &first_note()).await;
    cluster.operator.submit_until_accepted(node, &next_note("second", 2)).await;
}

/// Guards against a node that starts with invalid settings, and against an error message that names
/// only the first mistake.
#[tokio::test]
async fn invalid_settings_exit_with_code_2_and_list_every_mistake() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1"]);
    let node = &mut cluster.nodes[0];
    let valid = node.settings.clone();
    let mut invalid_schema = valid.clone();
    invalid_schema["colour"] = json!("red");
    invalid_schema["limits"] = json!({"retry_tokens": -1, "speed": 3});
    invalid_schema["listen"]["caller_address"] = json!("no address");
    let mut invalid_values = valid.clone();
    invalid_values["node_name"] = json!("a name with spaces");
    invalid_values["listen"]["peer_address"] = json!("127.0.0.1:0");
    invalid_values["advertise"] = json!({"control_address": "0.0.0.0:7000"});
    invalid_values["control_replicas"] = json!([]);
    invalid_values["limits"] = json!({"retry_tokens": 101, "key_retention_s": 0});
    let mut without_replica = cluster.nodes[1].settings.clone();
    without_replica["advertise"]["replica_address"] = json!("127.0.0.1:7000");
    let node = &mut cluster.nodes[0];
    let cases: [(Value, &[&str]); 4] = [
        (json!("no object"), &["$: "]),
        (
            invalid_schema,
            &["'colour' was unexpected", "'speed' was unexpected", "$.limits.retry_tokens: "],
        ),
        (
            invalid_values,
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
        let log_offset = node.read_log().len();
        node.start();
        let status = node.wait_for_exit().await;
        let log = node.read_log().split_off(log_offset);
        assert_eq!(status.code(), Some(2), "{log}");
        for mistake in mistakes {
            assert!(log.contains(mistake), "'{mistake}' is missing:\n{log}");
        }
    }
}

/// Guards against a node of another deployment that becomes a member, or whose datagrams are
/// dropped without a log line and a metric.
#[tokio::test]
async fn a_node_with_a_wrong_deployment_key_does_not_join() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "stranger"]);
    let statsd_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let statsd_address = statsd_socket.local_addr().unwrap();
    cluster["replica-1"].settings["statsd_address"] = json!(statsd_address);
    let mut stranger = cluster.nodes.pop().unwrap();
    cluster.start().await;
    let key_file = stranger.folder.path().join("other.key");
    std::fs::write(&key_file, "deployment key of other nodes").unwrap();
    stranger.settings["deployment_key_file"] = json!(key_file);
    stranger.start();
    let (operator, member) = (&cluster.operator, &cluster["replica-1"]);
    let has_log_line =
        async || member.read_log().contains("member: dropped a datagram").then_some(());
    wait_until("a log line reports dropped datagrams", has_log_line).await;
    let has_metric = async || {
        let mut packet = [0; 2_048];
        let length = statsd_socket.recv(&mut packet).await.ok()?;
        let text = String::from_utf8_lossy(&packet[..length]).into_owned();
        text.contains("tarragon.member.dropped:").then_some(())
    };
    wait_until("a metric counts dropped datagrams", has_metric).await;
    wait_until("the stranger responds", async || operator.status(&stranger).await).await;
    for node in cluster.running_nodes() {
        let members = operator.members(node).await.unwrap();
        assert!(members.iter().all(|record| record.node != "stranger"), "{members:?}");
    }
    let members = operator.members(&stranger).await.unwrap();
    assert!(members.iter().all(|record| record.node == "stranger"), "{members:?}");
    // A control request of the stranger is also dropped.
    assert_eq!(operator.submit(&stranger, &next_note("strange", 2)).await, None);
    operator.assert_notes(member, &["first".to_string()]).await;
    assert!(member.read_log().contains("note: dropped a control request"));
}
