use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use error_stack::Report;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tarragon_datapath::backend::AnnouncementTracker;
use tarragon_datapath::directory::Directory;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::api::unix_ms;
use tarragon_model::api::ServerDeparture;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::control::ControlLog;
use crate::departures::durable_departures::DurableDepartures;
use crate::departures::holders::choose_holders;
use crate::departures::DepartureRequest;
use crate::departures::HeldForNode;
use crate::departures::HoldRequest;
use crate::departures::HolderClient;
use crate::departures::OperatorDrain;

/// Minimum number of other nodes that hold a departure when it is acknowledged, if there are as many.
/// With two, the node and one of them may fail at the same time.
const MIN_HOLDERS: usize = 2;

/// Number of holders that must have a departure before it is acknowledged: half of them, which a data
/// centre that is cut off has. The others may be down when the next process of the node asks.
fn hold_quorum(holder_count: usize) -> usize {
    holder_count.div_ceil(2).max(MIN_HOLDERS.min(holder_count)).max(1)
}

/// Number of holders that must answer a new process, so that one of them at least has each departure.
fn find_quorum(holder_count: usize) -> usize {
    (holder_count + 1).saturating_sub(hold_quorum(holder_count))
}

/// Time after which holders that have not responded are not waited for, if enough of them have.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// The same for a process that starts, whose server gets no requests meanwhile. It is several times the
/// time that a response from another data centre takes.
const FIND_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time limit for having a departure held. The platform's backend servers wait a second for the
/// acknowledgement.
const HOLD_TIMEOUT: Duration = Duration::from_millis(850);

/// Pause between two rounds of requests to hold a departure.
const HOLD_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two rounds of requests of a process that starts, unless its holders change meanwhile.
/// It is longer than fetching the list of members takes.
const FIND_PAUSE: Duration = Duration::from_millis(50);

/// Time after the first response to a new process, after which holders that do not respond are not
/// waited for. Nodes that are down or cut off are among the members for some time.
const FIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a new process announces its backend server although nobody could be asked. It is
/// longer than announcements are late, and as long as the node waits for the catalogue.
const ASK_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which the last order about a drain is repeated to the holders, some of which may have
/// restarted.
const DRAIN_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of departures that are remembered as held.
const MAX_CONFIRMED: usize = 16;

/// Dependencies of a [`DepartureService`].
pub struct DepartureServiceDependencies {
    /// Name of this node, which stays the same when it restarts.
    pub node_name: String,
    /// Data centre of this node.
    pub data_centre: String,
    /// Whether the settings name no other node, so that nobody can hold anything for this one.
    pub is_alone: bool,
    /// The node's view of the members, among which holders are chosen.
    pub directory: Arc<dyn Directory>,
    /// Announcements of the local backend server, which are held back until the holders were asked.
    pub announcements: Arc<AnnouncementTracker>,
    /// Sends requests to the holders.
    pub client: Arc<dyn HolderClient>,
    /// Access to the replicated log, which holds the same on disks.
    pub log: Arc<dyn ControlLog>,
}

/// Has the departures of the local backend server and drains by operators held by other nodes, and learns
/// at the start which ones an earlier process of this node has acknowledged.
pub struct DepartureService {
    dependencies: DepartureServiceDependencies,
    durable: DurableDepartures,
    confirmed: Mutex<Vec<ServerDeparture>>,
    /// Last order of operators that this process knows.
    drain: Mutex<OperatorDrain>,
    /// Whether the holders were asked at the start. Until then, some of them may not be known yet.
    is_recovered: AtomicBool,
}

impl DepartureService {
    /// Creates the service. The announcements are held back until it runs and has asked the holders.
    pub fn new(dependencies: DepartureServiceDependencies) -> Self {
        if !dependencies.is_alone {
            dependencies.announcements.hold_back();
        }
        let durable = DurableDepartures::new(
            dependencies.node_name.clone(),
            Arc::clone(&dependencies.log),
            Arc::clone(&dependencies.directory),
        );
        Self {
            dependencies,
            durable,
            confirmed: Mutex::default(),
            drain: Mutex::default(),
            is_recovered: AtomicBool::new(false),
        }
    }

    /// Has a departure held by the replicated log and by other nodes. Returns whether the log and enough
    /// nodes hold it, so that it may be acknowledged; the backend server repeats it otherwise.
    pub async fn hold(&self, departure: &ServerDeparture) -> bool {
        if self.dependencies.is_alone || self.is_confirmed(departure) {
            return true;
        }
        let request = DepartureRequest::Hold {
            node: self.dependencies.node_name.clone(),
            departure: departure.clone(),
        };
        let holds = |held: &HeldForNode| held.departures.iter().any(|h| h.covers(departure));
        let durable_request = HoldRequest::Departure {
            node: self.dependencies.node_name.clone(),
            departure: departure.clone(),
        };
        let (is_held_by_others, is_durable) = tokio::join!(
            self.hold_at_others(&request, holds),
            self.durable.hold(durable_request, HOLD_TIMEOUT)
        );
        let is_held = is_held_by_others && is_durable;
        if is_held {
            self.confirm(departure);
        } else {
            warn!(
                server = departure.id,
                started_at_ms = departure.started_at_ms,
                is_held_by_others,
                is_durable,
                "drain: a departure is not acknowledged yet"
            );
        }
        is_held
    }

    /// Starts or ends a drain on the order of an operator, and has the order held by other nodes. Returns
    /// whether enough of them hold it, so that it outlives this process.
    pub async fn order_drain(&self, is_draining: bool) -> bool {
        let drain = {
            let mut drain = self.lock_drain();
            let changed_at_ms = unix_ms(SystemTime::now()).max(drain.changed_at_ms + 1);
            *drain = OperatorDrain { is_draining, changed_at_ms };
            self.dependencies.announcements.set_drain(is_draining);
            *drain
        };
        if self.dependencies.is_alone {
            return true;
        }
        let node = self.dependencies.node_name.clone();
        let (is_held_by_others, is_durable) = tokio::join!(
            self.hold_drain(drain),
            self.durable.hold(HoldRequest::Drain { node, drain }, HOLD_TIMEOUT)
        );
        if !is_held_by_others || !is_durable {
            warn!(
                is_draining,
                is_held_by_others, is_durable, "drain: an order of operators may be forgotten"
            );
        }
        is_held_by_others && is_durable
    }

    async fn hold_drain(&self, drain: OperatorDrain) -> bool {
        let node = self.dependencies.node_name.clone();
        let request = DepartureRequest::HoldDrain { node, drain };
        let holds = |held: &HeldForNode| held.drain.changed_at_ms >= drain.changed_at_ms;
        self.hold_at_others(&request, holds).await
    }

    /// Sends a request to the holders until enough of them hold what it says, or until the time limit has
    /// passed. Returns whether they do.
    async fn hold_at_others(
        &self,
        request: &DepartureRequest,
        holds: impl Fn(&HeldForNode) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < HOLD_TIMEOUT {
            let holder_count = self.holders().len();
            let needed = match self.is_recovered.load(Ordering::Relaxed) {
                true => hold_quorum(holder_count),
                false => hold_quorum(holder_count).max(MIN_HOLDERS),
            };
            let round = self.ask_holders(request, needed, SETTLE_TIME);
            let left = HOLD_TIMEOUT.saturating_sub(started.elapsed());
            let responses = tokio::time::timeout(left, round).await.unwrap_or_default();
            if responses.iter().filter(|held| holds(held)).count() >= needed {
                return true;
            }
            tokio::time::sleep(HOLD_PAUSE).await;
        }
        false
    }

    /// Asks the log and the holders which departures and drains earlier processes of this node have
    /// acknowledged, and then lets the announcements through.
    async fn recover(&self) {
        let started = Instant::now();
        let (durable, (mut found, mut drain, is_complete)) =
            tokio::join!(self.durable.find(ASK_TIMEOUT), self.find_at_others());
        let is_durable_known = durable.is_some();
        let HeldForNode { departures, drain: durable_drain } = durable.unwrap_or_default();
        found.extend(departures);
        if durable_drain.changed_at_ms > drain.changed_at_ms {
            drain = durable_drain;
        }
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if is_complete && is_durable_known {
            info!(
                departures = found.len(),
                is_draining = drain.is_draining,
                elapsed_ms,
                "drain: asked for departures before the start"
            );
        } else {
            warn!(
                is_complete,
                is_durable_known, elapsed_ms, "drain: not all could be asked for departures"
            );
        }
        self.is_recovered.store(true, Ordering::Relaxed);
        self.adopt_drain(drain);
        self.dependencies.announcements.release(&found);
    }

    /// Asks the holders. Returns the departures and the latest drain that they hold, and whether enough of
    /// them have responded.
    ///
    /// Members become known one after the other, so the holders must be the same in two rounds.
    async fn find_at_others(&self) -> (Vec<ServerDeparture>, OperatorDrain, bool) {
        let started = Instant::now();
        let mut first_response = None;
        let mut previous_holders = BTreeSet::new();
        let mut found: Vec<ServerDeparture> = Vec::new();
        let mut drain = OperatorDrain::default();
        let request = DepartureRequest::Find { node: self.dependencies.node_name.clone() };
        let is_complete = loop {
            let holders = self.holder_set();
            let enough = find_quorum(holders.len());
            let is_settled = !holders.is_empty() && holders == previous_holders;
            let settle_time = if is_settled { FIND_SETTLE_TIME } else { Duration::ZERO };
            let responses = self.ask_holders(&request, enough, settle_time).await;
            let response_count = responses.len();
            if response_count > 0 {
                first_response.get_or_insert_with(Instant::now);
            }
            for held in responses {
                found.extend(held.departures);
                if held.drain.changed_at_ms > drain.changed_at_ms {
                    drain = held.drain;
                }
            }
            if is_settled && response_count >= enough {
                break true;
            }
            if first_response.is_some_and(|at: Instant| at.elapsed() >= FIND_TIMEOUT) {
                break true;
            }
            if started.elapsed() >= ASK_TIMEOUT {
                break false;
            }
            self.wait_for_other_holders(&holders).await;
            previous_holders = holders;
        };
        (found, drain, is_complete)
    }

    /// Takes over the last order that an earlier process was given. An order to this process takes
    /// precedence, even if the clock has been set back since.
    fn adopt_drain(&self, found: OperatorDrain) {
        let mut drain = self.lock_drain();
        if drain.changed_at_ms > 0 {
            drain.changed_at_ms = drain.changed_at_ms.max(found.changed_at_ms + 1);
            return;
        }
        *drain = found;
        if found.is_draining {
            info!("drain: operators drain the backend server since before this process started");
            self.dependencies.announcements.set_drain(true);
        }
    }

    /// Repeats the last order about a drain, so that holders that have restarted know it as well.
    async fn repeat_drain(&self) {
        let mut interval = tokio::time::interval(DRAIN_REPEAT_INTERVAL);
        loop {
            interval.tick().await;
            let drain = *self.lock_drain();
            if drain.changed_at_ms > 0 && !self.hold_drain(drain).await {
                warn!("drain: too few other nodes hold the last order of an operator");
            }
        }
    }

    fn lock_drain(&self) -> MutexGuard<'_, OperatorDrain> {
        self.drain.lock().expect("no thread panics while it holds the lock")
    }

    /// Waits until the holders differ from these, for at most [`FIND_PAUSE`].
    async fn wait_for_other_holders(&self, holders: &BTreeSet<SocketAddr>) {
        let mut members = self.dependencies.directory.members();
        let change = async {
            while self.holder_set() == *holders {
                if members.changed().await.is_err() {
                    // The channel closes only when the node stops, and then this future is dropped.
                    std::future::pending::<()>().await;
                }
            }
        };
        // Without a change, the same holders are asked again.
        let _ = tokio::time::timeout(FIND_PAUSE, change).await;
    }

    fn holder_set(&self) -> BTreeSet<SocketAddr> {
        self.holders().into_iter().collect()
    }

    fn holders(&self) -> Vec<SocketAddr> {
        let DepartureServiceDependencies { node_name, data_centre, directory, .. } =
            &self.dependencies;
        let members = directory.members().borrow().clone();
        let holders = choose_holders(node_name, data_centre, &members);
        holders.into_iter().map(|holder| holder.control_address).collect()
    }

    /// Sends a request to all holders at once and returns their responses. Once `enough` have
    /// responded, the others are waited for until `settle_time` has passed.
    async fn ask_holders(
        &self,
        request: &DepartureRequest,
        enough: usize,
        settle_time: Duration,
    ) -> Vec<HeldForNode> {
        let holders = self.holders();
        let client = &self.dependencies.client;
        let queries = holders.iter().map(|holder| client.send(*holder, request));
        let mut queries: FuturesUnordered<_> = queries.collect();
        let settled_at = Instant::now() + settle_time;
        let mut responses = Vec::new();
        loop {
            let response = if responses.len() >= enough {
                match tokio::time::timeout_at(settled_at, queries.next()).await {
                    Ok(response) => response,
                    Err(_) => return responses,
                }
            } else {
                queries.next().await
            };
            match response {
                Some(response) => responses.extend(response),
                None => return responses,
            }
        }
    }

    fn is_confirmed(&self, departure: &ServerDeparture) -> bool {
        let confirmed = self.confirmed.lock().expect("no thread panics while it holds the lock");
        confirmed.iter().any(|confirmed| confirmed.covers(departure))
    }

    fn confirm(&self, departure: &ServerDeparture) {
        let mut confirmed =
            self.confirmed.lock().expect("no thread panics while it holds the lock");
        confirmed.retain(|confirmed| !departure.covers(confirmed));
        if confirmed.len() >= MAX_CONFIRMED {
            confirmed.remove(0);
        }
        confirmed.push(departure.clone());
    }
}

#[async_trait]
impl Service for DepartureService {
    fn name(&self) -> &'static str {
        "departures"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        if !self.dependencies.is_alone {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = self.recover() => {}
            }
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = self.repeat_drain() => {}
            }
        }
        stop.cancelled().await;
        Ok(())
    }
}
