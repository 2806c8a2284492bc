use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarragon_control::catalogue::CatalogueFollower;
use tarragon_control::catalogue::CatalogueFollowerDependencies;
use tarragon_control::catalogue::CatalogueSources;
use tarragon_datapath::directory::DirectoryWatch;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::CatalogueChanges;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;
use tarragon_wire::encode_authenticated;
use tarragon_wire::MessageChannel;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::fake_peer::deployment_key;
use crate::fake_peer::member_record;
use crate::fake_peer::FakePeer;

/// Time in which an accepted configuration is in force everywhere, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 2_000;

/// Time limit of the follower for the start of a response, in ms.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Time after which a test gives up waiting for a revision, in ms.
const WAIT_LIMIT_MS: u64 = 20_000;

/// Pause between the bytes of a slow response, in ms; the whole takes longer than the time limit
/// for the start of a response.
const SLOW_BYTE_MS: u64 = 100;

const DATA_CENTRE: &str = "a";

/// Encodes changes without content up to the current revision.
fn encoded_changes(revision: &watch::Receiver<u64>) -> Vec<u8> {
    let changes = CatalogueChanges {
        from_revision: 0,
        to_revision: *revision.borrow(),
        services: Vec::new(),
        withdrawn: Vec::new(),
        importance: None,
        configuration: None,
    };
    encode_authenticated(&deployment_key(), MessageChannel::Replica, &changes)
        .expect("changes can be encoded")
}

/// A follower, the members that it fetches from, and the revision that they have.
struct Harness {
    members: Vec<FakePeer>,
    records: watch::Sender<Arc<Vec<MemberRecord>>>,
    revision: watch::Sender<u64>,
    highest_known_revision: watch::Sender<u64>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    _running: JoinSet<()>,
}

impl Harness {
    /// Starts a follower in [`DATA_CENTRE`] and a member in each of `data_centres`.
    async fn start(data_centres: &[&str]) -> Self {
        let (revision, revision_receiver) = watch::channel(0);
        let (mut members, mut records) = (Vec::new(), Vec::new());
        for (index, data_centre) in data_centres.iter().enumerate() {
            let current = revision_receiver.clone();
            let member = FakePeer::start(Arc::new(move || encoded_changes(&current))).await;
            records.push(member_record(index, data_centre, member.address));
            members.push(member);
        }
        let (records, records_receiver) = watch::channel(Arc::new(records));
        let (highest_known_revision, highest_receiver) = watch::channel(0);
        let (copy, catalogue) = watch::channel(Arc::new(Catalogue::default()));
        let directory = Arc::new(DirectoryWatch::new(catalogue.clone(), records_receiver));
        let follower = Arc::new(CatalogueFollower::new(CatalogueFollowerDependencies {
            catalogue: copy,
            local_log: None,
            sources: CatalogueSources {
                data_centre: DATA_CENTRE.into(),
                region: "region".into(),
                directory,
                replicas: Vec::new(),
            },
            highest_known_revision: highest_receiver,
            deployment_key: deployment_key(),
            instance: InstanceId(100),
            poll_interval_ms: 10_000,
        }));
        let mut running = JoinSet::new();
        running.spawn(async move {
            let run = follower.run(Arc::new(Kernel::new()), CancellationToken::new());
            run.await.expect("the follower runs until the test ends");
        });
        Self { members, records, revision, highest_known_revision, catalogue, _running: running }
    }

    /// Announces that the members at these indices have reached the next revision. Returns the time
    /// until the follower has it, in ms.
    async fn announce_next_revision(&mut self, at: &[usize]) -> u64 {
        let next = *self.revision.borrow() + 1;
        self.revision.send_replace(next);
        self.records.send_modify(|records| {
            let records = Arc::make_mut(records);
            at.iter().for_each(|index| records[*index].revision = next);
        });
        let started = Instant::now();
        self.highest_known_revision.send_replace(next);
        let in_force = self.catalogue.wait_for(|catalogue| catalogue.revision() >= next);
        let limit = Duration::from_millis(WAIT_LIMIT_MS);
        let in_force = tokio::time::timeout(limit, in_force).await;
        assert!(in_force.is_ok(), "revision {next} is not in force after {WAIT_LIMIT_MS} ms");
        u64::try_from(started.elapsed().as_millis()).expect("the wait is limited")
    }
}

#[tokio::test]
async fn connections_gone_silent_do_not_delay_a_revision() {
    let mut harness = Harness::start(&[DATA_CENTRE; 4]).await;
    for index in 0..harness.members.len() {
        harness.announce_next_revision(&[index]).await;
    }
    harness.members.iter().for_each(FakePeer::silence_connections);
    let elapsed_ms = harness.announce_next_revision(&[0, 1, 2, 3]).await;
    assert!(elapsed_ms < CONVERGENCE_TIMEOUT_MS, "{elapsed_ms} ms");
}

#[tokio::test]
async fn paused_members_do_not_delay_a_revision() {
    let mut harness = Harness::start(&[DATA_CENTRE, DATA_CENTRE, DATA_CENTRE, "b"]).await;
    harness.members[..3].iter().for_each(FakePeer::pause);
    let elapsed_ms = harness.announce_next_revision(&[0, 1, 2, 3]).await;
    assert!(elapsed_ms < CONVERGENCE_TIMEOUT_MS, "{elapsed_ms} ms");
}

/// Guards against a node that never gets a large revision over a narrow link.
#[tokio::test]
async fn a_revision_that_takes_long_to_transfer_arrives() {
    let mut harness = Harness::start(&[DATA_CENTRE]).await;
    harness.members[0].pause_between_bytes(SLOW_BYTE_MS);
    let elapsed_ms = harness.announce_next_revision(&[0]).await;
    assert!(elapsed_ms > FETCH_TIMEOUT_MS, "{elapsed_ms} ms");
}
