use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use tarragon_model::member::MemberRecord;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tarragon_wire::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::driver::command::DriverCommand;
use crate::driver::command::MembershipView;
use crate::driver::log_rate_limiter::LogRateLimiter;
use crate::driver::DriverCounters;
use crate::driver::FetchError;
use crate::driver::FullStateSource;
use crate::driver::MembershipHandle;
use crate::message::Datagram;
use crate::protocol::Membership;
use crate::protocol::MembershipAction;
use crate::protocol::MembershipEvent;

/// Maximum time that `leave` waits for the departure to be sent.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a full exchange; the next one chooses another member.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum time between two log lines about the same kind of fault.
const LOG_PERIOD: Duration = Duration::from_secs(10);

type FetchResult = Result<Vec<MemberRecord>, Report<FetchError>>;

/// Runs a [`Membership`] on a UDP socket.
pub struct MembershipDriver {
    socket: UdpSocket,
    key: DeploymentKey,
    membership: Membership,
    source: Option<Arc<dyn FullStateSource>>,
    commands: mpsc::UnboundedReceiver<DriverCommand>,
    view: watch::Sender<MembershipView>,
    counters: Arc<DriverCounters>,
    started: Instant,
    has_member_changes: bool,
    pending_leave: Option<(oneshot::Sender<()>, Instant)>,
    fetches: JoinSet<FetchResult>,
    drop_log_limiter: LogRateLimiter,
    fetch_log_limiter: LogRateLimiter,
}

impl MembershipDriver {
    /// Creates the driver and its handle. The clock of the driver starts at zero, so `membership`
    /// must have been created with `now_ms` zero. Without a `source`, full exchanges are paged over
    /// UDP.
    pub fn new(
        socket: UdpSocket,
        key: DeploymentKey,
        mut membership: Membership,
        source: Option<Arc<dyn FullStateSource>>,
    ) -> (Self, MembershipHandle) {
        membership.use_full_state_source(source.is_some());
        let (sender, commands) = mpsc::unbounded_channel();
        let (view, receiver) = watch::channel(build_view(&membership));
        let counters = Arc::new(DriverCounters::default());
        let handle =
            MembershipHandle { commands: sender, view: receiver, counters: Arc::clone(&counters) };
        let driver = Self {
            socket,
            key,
            membership,
            source,
            commands,
            view,
            counters,
            started: Instant::now(),
            has_member_changes: false,
            pending_leave: None,
            fetches: JoinSet::new(),
            drop_log_limiter: LogRateLimiter::new(LOG_PERIOD),
            fetch_log_limiter: LogRateLimiter::new(LOG_PERIOD),
        };
        (driver, handle)
    }

    /// Runs until `stop` is cancelled, then aborts the full exchanges in progress.
    pub async fn run(mut self, stop: CancellationToken) {
        let tick = Duration::from_millis(self.membership.settings().tick_ms.max(1));
        let mut ticks = tokio::time::interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {
                    self.step(MembershipEvent::Tick).await;
                    self.publish();
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(from, &buffer[..length]).await,
                    Err(error) => tracing::warn!("member: receiving a datagram failed: {error}"),
                },
                Some(command) = self.commands.recv() => self.handle_command(command).await,
                fetched = next_fetch(&mut self.fetches) => self.handle_fetch_result(fetched).await,
            }
        }
        self.fetches.shutdown().await;
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn step(&mut self, event: MembershipEvent) {
        let actions = self.membership.step(event, self.now_ms());
        for action in actions {
            match action {
                MembershipAction::Send(to, datagram) => self.send(to, &datagram).await,
                MembershipAction::RequestFullState(peer) => self.fetch(peer),
                MembershipAction::Changed(_) => self.has_member_changes = true,
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let result = match encode_authenticated(&self.key, MessageChannel::Membership, datagram) {
            Ok(bytes) => self.socket.send_to(&bytes, to).await.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match result {
            Ok(length) => {
                DriverCounters::add(&self.counters.sent, 1);
                DriverCounters::add(&self.counters.sent_bytes, length as u64);
            }
            Err(error) => {
                DriverCounters::add(&self.counters.send_errors, 1);
                tracing::debug!("member: sending a datagram to {to} failed: {error}");
            }
        }
    }

    async fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        match decode_authenticated::<Datagram>(&self.key, MessageChannel::Membership, bytes) {
            Ok(datagram) => {
                DriverCounters::add(&self.counters.received, 1);
                DriverCounters::add(&self.counters.received_bytes, bytes.len() as u64);
                self.step(MembershipEvent::Receive(from, datagram)).await;
            }
            Err(error) => {
                DriverCounters::add(&self.counters.dropped, 1);
                if let Some(suppressed) = self.drop_log_limiter.admit(Instant::now()) {
                    tracing::warn!(
                        "member: dropped a datagram from {from}: {error} ({suppressed} suppressed)"
                    );
                }
            }
        }
    }

    fn fetch(&mut self, peer: SocketAddr) {
        let Some(source) = self.source.clone() else { return };
        self.fetches.spawn(async move {
            let timeout =
                || Report::new(FetchError { peer, step: "no answer within the time limit" });
            let fetched = tokio::time::timeout(FETCH_TIMEOUT, source.fetch(peer)).await;
            fetched.unwrap_or_else(|_| Err(timeout()))
        });
    }

    async fn handle_fetch_result(&mut self, fetched: FetchResult) {
        match fetched {
            Ok(records) => self.step(MembershipEvent::FullState(records)).await,
            Err(report) => {
                DriverCounters::add(&self.counters.fetch_errors, 1);
                if let Some(suppressed) = self.fetch_log_limiter.admit(Instant::now()) {
                    tracing::warn!("member: {report:?} ({suppressed} suppressed)");
                }
            }
        }
    }

    async fn handle_command(&mut self, command: DriverCommand) {
        match command {
            DriverCommand::SetLocalState { service, state, revision } => {
                self.step(MembershipEvent::LocalChange { service, state, revision }).await;
                self.publish();
            }
            DriverCommand::SetKnownPeers(peers) => {
                self.step(MembershipEvent::SetKnownPeers(peers)).await;
            }
            DriverCommand::Leave(done) => {
                self.pending_leave = Some((done, Instant::now()));
                self.step(MembershipEvent::Leave).await;
            }
        }
    }

    /// Publishes changes to the handles and completes a pending `leave`. This is done on ticks and
    /// local changes only, not for each datagram, because it copies the records of 2,200 members.
    fn publish(&mut self) {
        let (old_revision, had_joined) = {
            let view = self.view.borrow();
            (view.highest_revision, view.has_joined)
        };
        if std::mem::take(&mut self.has_member_changes) {
            self.view.send_replace(build_view(&self.membership));
        } else if old_revision != self.membership.highest_known_revision()
            || had_joined != self.membership.has_joined()
        {
            self.view.send_modify(|view| {
                view.highest_revision = self.membership.highest_known_revision();
                view.has_joined = self.membership.has_joined();
            });
        }
        let is_departure_sent =
            self.membership.is_update_queue_empty() || self.membership.reachable_count() == 1;
        if self
            .pending_leave
            .as_ref()
            .is_some_and(|(_, since)| is_departure_sent || since.elapsed() > LEAVE_TIMEOUT)
        {
            if let Some((done, _)) = self.pending_leave.take() {
                // Sending fails if the waiting task has been dropped.
                let _ = done.send(());
            }
        }
    }
}

/// Waits for the next finished fetch; never returns if there is none.
async fn next_fetch(fetches: &mut JoinSet<FetchResult>) -> FetchResult {
    loop {
        match fetches.join_next().await {
            Some(Ok(fetched)) => return fetched,
            Some(Err(error)) => tracing::warn!("member: a full exchange was aborted: {error}"),
            None => pending().await,
        }
    }
}

fn build_view(membership: &Membership) -> MembershipView {
    MembershipView {
        members: Arc::new(membership.reachable_members()),
        failed: Arc::new(membership.failed_members()),
        highest_revision: membership.highest_known_revision(),
        has_joined: membership.has_joined(),
    }
}
