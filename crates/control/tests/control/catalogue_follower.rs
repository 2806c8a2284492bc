use std::io::ErrorKind;
use std::net::SocketAddr;
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
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Time in which an accepted configuration is in force everywhere, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 2_000;

/// Time after which a test gives up waiting for a revision, in ms.
const WAIT_LIMIT_MS: u64 = 20_000;

const DATA_CENTRE: &str = "a";

/// Control API of a member that has every revision.
struct FakeMember {
    address: SocketAddr,
    /// Connections that are opened under another number than the current one never answer again.
    epoch: watch::Sender<u64>,
    _accepting: JoinSet<()>,
}

impl FakeMember {
    async fn start(revision: watch::Receiver<u64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (epoch, epoch_receiver) = watch::channel(0);
        let mut accepting = JoinSet::new();
        accepting.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(answer(stream, revision.clone(), epoch_receiver.clone()));
            }
        });
        Self { address, epoch, _accepting: accepting }
    }

    /// Silences all open connections without closing them; new ones work.
    fn silence_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Silences all connections, also new ones, like a host that is paused.
    fn pause(&self) {
        self.epoch.send_replace(u64::MAX);
    }
}

/// Answers the requests of one connection with the changes up to the current revision.
async fn answer(
    mut stream: TcpStream,
    revision: watch::Receiver<u64>,
    epoch: watch::Receiver<u64>,
) {
    let opened_in = *epoch.borrow();
    let mut request = Vec::new();
    loop {
        match stream.read_buf(&mut request).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return,
            Err(e) => panic!("reading a request failed: {e}"),
        }
        let is_silent = *epoch.borrow() != opened_in || opened_in == u64::MAX;
        if is_silent || !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        request.clear();
        let changes = CatalogueChanges {
            from_revision: 0,
            to_revision: *revision.borrow(),
            services: Vec::new(),
            withdrawn: Vec::new(),
            importance: None,
            configuration: None,
        };
        let body = encode_authenticated(&key(), MessageChannel::Replica, &changes)
            .expect("changes can be encoded");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let response = [head.as_bytes(), &body].concat();
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

fn key() -> DeploymentKey {
    DeploymentKey::from_text("a key of the tests")
}

fn member_record(index: usize, data_centre: &str, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        node: format!("host-{index}"),
        instance: InstanceId(index as u64 + 1),
        data_centre: data_centre.into(),
        region: "region".into(),
        gossip_address: address,
        peer_address: address,
        control_address: address,
        replica_address: None,
        service: String::new(),
        state: BackendState::Ready,
        version: 1,
        revision: 0,
    }
}

/// A follower, the members that it fetches from, and the revision that they have.
struct Harness {
    members: Vec<FakeMember>,
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
            let member = FakeMember::start(revision_receiver.clone()).await;
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
            deployment_key: key(),
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
    harness.members.iter().for_each(FakeMember::silence_connections);
    let elapsed_ms = harness.announce_next_revision(&[0, 1, 2, 3]).await;
    assert!(elapsed_ms < CONVERGENCE_TIMEOUT_MS, "{elapsed_ms} ms");
}

#[tokio::test]
async fn paused_members_do_not_delay_a_revision() {
    let mut harness = Harness::start(&[DATA_CENTRE, DATA_CENTRE, DATA_CENTRE, "b"]).await;
    harness.members[..3].iter().for_each(FakeMember::pause);
    let elapsed_ms = harness.announce_next_revision(&[0, 1, 2, 3]).await;
    assert!(elapsed_ms < CONVERGENCE_TIMEOUT_MS, "{elapsed_ms} ms");
}
