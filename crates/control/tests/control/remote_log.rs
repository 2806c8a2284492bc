use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarragon_control::control::ControlFailure;
use tarragon_control::control::ControlLog;
use tarragon_control::control::ControlQuery;
use tarragon_control::control::ControlRequest;
use tarragon_control::control::ControlResponse;
use tarragon_control::control::ControlResult;
use tarragon_control::control::RemoteLog;
use tarragon_control::replica::ReplicaAddresses;
use tarragon_datapath::directory::DirectoryWatch;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::member::MemberRecord;
use tarragon_wire::encode_authenticated;
use tarragon_wire::MessageChannel;
use tokio::sync::watch;

use crate::fake_peer::deployment_key;
use crate::fake_peer::member_record;
use crate::fake_peer::FakePeer;

/// Time for which an operator waits for a response before it turns to another node, in ms.
const OPERATOR_TIMEOUT_MS: u64 = 1_000;

/// Time after which a test gives up waiting for a response, in ms.
const WAIT_LIMIT_MS: u64 = 20_000;

const REVISION: u64 = 7;

async fn start_replica(result: ControlResult) -> FakePeer {
    let body = encode_authenticated(&deployment_key(), MessageChannel::Replica, &result)
        .expect("a result can be encoded");
    FakePeer::start(Arc::new(move || body.clone())).await
}

fn remote_log(replicas: &[FakePeer]) -> RemoteLog {
    let record = |(index, replica): (usize, &FakePeer)| MemberRecord {
        replica_address: Some(replica.address),
        ..member_record(index, "a", replica.address)
    };
    let records = replicas.iter().enumerate().map(record).collect();
    let (_, members) = watch::channel(Arc::new(records));
    let (_, catalogue) = watch::channel(Arc::new(Catalogue::default()));
    let directory = Arc::new(DirectoryWatch::new(catalogue, members));
    RemoteLog::new(ReplicaAddresses::new(directory, Vec::new()), deployment_key())
}

/// Reads the revision of the log. Returns the time until the response, in ms.
async fn read_revision(log: &RemoteLog) -> u64 {
    let started = Instant::now();
    let read = ControlRequest::Read(ControlQuery::Revision);
    let limit = Duration::from_millis(WAIT_LIMIT_MS);
    let response = tokio::time::timeout(limit, log.request(&read)).await;
    assert_eq!(response, Ok(Ok(ControlResponse::Revision(REVISION))));
    u64::try_from(started.elapsed().as_millis()).expect("the wait is limited")
}

#[tokio::test]
async fn a_paused_replica_does_not_delay_requests_to_the_log() {
    let replicas = [
        start_replica(Err(ControlFailure::NotLeader { leader: None })).await,
        start_replica(Ok(ControlResponse::Revision(REVISION))).await,
    ];
    replicas[0].pause();
    let elapsed_ms = read_revision(&remote_log(&replicas)).await;
    assert!(elapsed_ms < OPERATOR_TIMEOUT_MS, "{elapsed_ms} ms");
}

#[tokio::test]
async fn a_connection_gone_silent_does_not_delay_requests_to_the_log() {
    let replicas = [start_replica(Ok(ControlResponse::Revision(REVISION))).await];
    let log = remote_log(&replicas);
    read_revision(&log).await;
    replicas[0].silence_connections();
    tokio::time::sleep(Duration::from_millis(OPERATOR_TIMEOUT_MS)).await;
    let elapsed_ms = read_revision(&log).await;
    assert!(elapsed_ms < OPERATOR_TIMEOUT_MS, "{elapsed_ms} ms");
}
