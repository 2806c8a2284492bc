//! Tests of the driver on UDP sockets: joins, state changes, departures and unauthenticated
//! datagrams.

use std::net::SocketAddr;

use tarragon_membership::Membership;
use tarragon_membership::MembershipDriver;
use tarragon_membership::MembershipHandle;
use tarragon_membership::MembershipSettings;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

struct TestNode {
    address: SocketAddr,
    handle: MembershipHandle,
    task: tokio::task::JoinHandle<()>,
}

async fn start_node(id: u64, seeds: Vec<SocketAddr>, stop: &CancellationToken) -> TestNode {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = socket.local_addr().expect("the socket is bound");
    let own_record = MemberRecord {
        node: format!("node-{id}"),
        instance: InstanceId(id),
        data_centre: "hall-a".into(),
        region: "west".into(),
        gossip_address: address,
        peer_address: address,
        control_address: address,
        replica_address: None,
        service: String::new(),
        state: BackendState::Absent,
        version: 1,
        revision: id,
    };
    let settings = MembershipSettings { seeds, ..MembershipSettings::default() };
    let membership = Membership::new(settings, own_record, id, 0);
    let key = DeploymentKey::from_text("a deployment key for tests");
    let (driver, handle) = MembershipDriver::new(socket, key, membership, None);
    TestNode { address, handle, task: tokio::spawn(driver.run(stop.clone())) }
}

async fn wait_for(node: &mut TestNode, condition: impl Fn(&MembershipHandle) -> bool) {
    while !condition(&node.handle) {
        assert!(node.handle.changed().await, "the driver stopped before the condition was met");
    }
}

#[tokio::test]
async fn nodes_join_over_udp_and_receive_a_drain_and_a_departure() {
    let stop = CancellationToken::new();
    let mut nodes = vec![start_node(1, Vec::new(), &stop).await];
    let seed = nodes[0].address;
    for id in 2..=4 {
        nodes.push(start_node(id, vec![seed], &stop).await);
    }
    for node in &mut nodes {
        wait_for(node, |h| h.members().len() == 4 && h.highest_known_revision() == 4).await;
        assert!(node.handle.has_joined());
    }
    nodes[3].handle.set_local_state("counter", BackendState::Draining, 4);
    for node in &mut nodes {
        wait_for(node, |h| {
            let members = h.members();
            members.iter().any(|m| m.state == BackendState::Draining && m.service == "counter")
        })
        .await;
    }
    nodes[3].handle.leave().await;
    for node in &mut nodes[..3] {
        wait_for(node, |h| h.members().len() == 3).await;
    }
    stop.cancel();
    for node in nodes {
        node.task.await.unwrap();
    }
}

#[tokio::test]
async fn unauthenticated_datagrams_are_counted_and_change_nothing() {
    let stop = CancellationToken::new();
    let mut first = start_node(1, Vec::new(), &stop).await;
    let outsider = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for length in [0, 1, 40, 1_200, 1_400] {
        outsider.send_to(&vec![1; length], first.address).await.unwrap();
    }
    let other_key = DeploymentKey::from_text("the key of another deployment");
    let encoded = encode_authenticated(&other_key, MessageChannel::Membership, &0u8)
        .expect("a byte is short");
    outsider.send_to(&encoded, first.address).await.unwrap();
    // The invalid datagrams have been read once a member that joins after them is known.
    let second = start_node(2, vec![first.address], &stop).await;
    wait_for(&mut first, |h| h.members().len() == 2).await;
    assert_eq!(first.handle.counters().dropped(), 6);
    stop.cancel();
    first.task.await.unwrap();
    second.task.await.unwrap();
}
