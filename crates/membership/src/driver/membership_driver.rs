use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use tarragon_model::member::MemberRecord;
use tarragon_wire::open;
use tarragon_wire::seal;
use tarragon_wire::Channel;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::driver::command::Command;
use crate::driver::command::View;
use crate::driver::log_limit::LogLimit;
use crate::driver::DriverCounters;
use crate::driver::FetchError;
use crate::driver::FullStateSource;
use crate::driver::MembershipHandle;
use crate::message::Datagram;
use crate::protocol::Membership;
use crate::protocol::MembershipAction;
use crate::protocol::MembershipEvent;

/// Longest wait for a departure to be sent.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Longest full exchange; a later one asks another member.
const FETCH_LIMIT: Duration = Duration::from_secs(10);

/// Period of log lines about one kind of fault.
const LOG_PERIOD: Duration = Duration::from_secs(10);

type Fetched = Result<Vec<MemberRecord>, Report<FetchError>>;

/// Runs a [`Membership`] on a UDP socket.
pub struct MembershipDriver {
    socket: UdpSocket,
    key: DeploymentKey,
    membership: Membership,
    source: Option<Arc<dyn FullStateSource>>,
    commands: mpsc::UnboundedReceiver<Command>,
    view: watch::Sender<View>,
    counters: Arc<DriverCounters>,
    started: Instant,
    has_changed: bool,
    leaving: Option<(oneshot::Sender<()>, Instant)>,
    fetches: JoinSet<Fetched>,
    drop_log: LogLimit,
    fetch_log: LogLimit,
}

impl MembershipDriver {
    /// Creates the driver and its handle. Time starts at zero, so `membership` must have been
    /// created with `now_ms` zero. Without a `source`, full exchanges are paged over UDP.
    pub fn new(
        socket: UdpSocket,
        key: DeploymentKey,
        mut membership: Membership,
        source: Option<Arc<dyn FullStateSource>>,
    ) -> (Self, MembershipHandle) {
        membership.use_full_state_source(source.is_some());
        let (sender, commands) = mpsc::unbounded_channel();
        let (view, receiver) = watch::channel(view_of(&membership));
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
            has_changed: false,
            leaving: None,
            fetches: JoinSet::new(),
            drop_log: LogLimit::new(LOG_PERIOD),
            fetch_log: LogLimit::new(LOG_PERIOD),
        };
        (driver, handle)
    }

    /// Runs until `stop` is cancelled; ends full exchanges that are under way.
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
                    Err(error) => tracing::warn!("member: receiving failed: {error}"),
                },
                Some(command) = self.commands.recv() => self.obey(command).await,
                fetched = next_fetch(&mut self.fetches) => self.take_fetched(fetched).await,
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
                MembershipAction::Changed(_) => self.has_changed = true,
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let result = match seal(&self.key, Channel::Membership, datagram) {
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
                tracing::debug!("member: sending to {to} failed: {error}");
            }
        }
    }

    async fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        match open::<Datagram>(&self.key, Channel::Membership, bytes) {
            Ok(datagram) => {
                DriverCounters::add(&self.counters.received, 1);
                DriverCounters::add(&self.counters.received_bytes, bytes.len() as u64);
                self.step(MembershipEvent::Receive(from, datagram)).await;
            }
            Err(error) => {
                DriverCounters::add(&self.counters.dropped, 1);
                if let Some(more) = self.drop_log.admit(Instant::now()) {
                    tracing::warn!("member: dropped a datagram from {from}: {error} ({more} more)");
                }
            }
        }
    }

    fn fetch(&mut self, peer: SocketAddr) {
        let Some(source) = self.source.clone() else { return };
        self.fetches.spawn(async move {
            let timeout = || Report::new(FetchError { peer, step: "no answer in time" });
            let fetched = tokio::time::timeout(FETCH_LIMIT, source.fetch(peer)).await;
            fetched.unwrap_or_else(|_| Err(timeout()))
        });
    }

    async fn take_fetched(&mut self, fetched: Fetched) {
        match fetched {
            Ok(records) => self.step(MembershipEvent::FullState(records)).await,
            Err(report) => {
                DriverCounters::add(&self.counters.fetch_errors, 1);
                if let Some(more) = self.fetch_log.admit(Instant::now()) {
                    tracing::warn!("member: {report:?} ({more} more)");
                }
            }
        }
    }

    async fn obey(&mut self, command: Command) {
        match command {
            Command::SetLocalState { service, state, revision } => {
                self.step(MembershipEvent::LocalChange { service, state, revision }).await;
                self.publish();
            }
            Command::Leave(done) => {
                self.leaving = Some((done, Instant::now()));
                self.step(MembershipEvent::Leave).await;
            }
        }
    }

    /// Publishes changes, once a tick at most, because a view of 2,200 members is copied.
    fn publish(&mut self) {
        let (old_revision, had_joined) = {
            let view = self.view.borrow();
            (view.highest_revision, view.has_joined)
        };
        if std::mem::take(&mut self.has_changed) {
            self.view.send_replace(view_of(&self.membership));
        } else if old_revision != self.membership.highest_known_revision()
            || had_joined != self.membership.has_joined()
        {
            self.view.send_modify(|view| {
                view.highest_revision = self.membership.highest_known_revision();
                view.has_joined = self.membership.has_joined();
            });
        }
        let is_told =
            self.membership.is_update_queue_empty() || self.membership.reachable_count() == 1;
        if self.leaving.as_ref().is_some_and(|(_, since)| is_told || since.elapsed() > LEAVE_LIMIT)
        {
            if let Some((done, _)) = self.leaving.take() {
                // The waiting task may have given up.
                let _ = done.send(());
            }
        }
    }
}

/// The next finished fetch; waits for ever if there is none.
async fn next_fetch(fetches: &mut JoinSet<Fetched>) -> Fetched {
    loop {
        match fetches.join_next().await {
            Some(Ok(fetched)) => return fetched,
            Some(Err(error)) => tracing::warn!("member: a full exchange was aborted: {error}"),
            None => pending().await,
        }
    }
}

fn view_of(membership: &Membership) -> View {
    View {
        members: Arc::new(membership.reachable_members()),
        lost: Arc::new(membership.failed_members()),
        highest_revision: membership.highest_known_revision(),
        has_joined: membership.has_joined(),
    }
}
