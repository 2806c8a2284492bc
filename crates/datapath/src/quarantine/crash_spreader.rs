use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::peer::PeerPool;
use crate::quarantine::SharedLedger;
use crate::quarantine::SpreadState;

/// Interval between two rounds while there are changes. With two peers a round, and each of them telling
/// others in turn, a change reaches 2,200 nodes in seven rounds on average.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two rounds while some request is suspected. A data centre that was cut off hears of it
/// from the first of its nodes that is chosen by another one.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(1);

/// Tells other nodes about requests that crash servers, whether there are calls between the nodes or not.
///
/// Calls and heartbeats carry the same records, but calls stay in a data centre as long as it has room, so
/// data centres would each count on their own. The exchange is that of epidemic algorithms (Demers
/// et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987): rumours for changes, and
/// anti-entropy for what a cut kept apart. See `docs/overload.md`.
pub(crate) struct CrashSpreader {
    instance: InstanceId,
    data_centre: String,
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    ledger: Arc<SharedLedger>,
    peers: Arc<PeerPool>,
}

impl CrashSpreader {
    /// Creates the service.
    pub(crate) fn new(
        instance: InstanceId,
        data_centre: String,
        members: watch::Receiver<Arc<Vec<MemberRecord>>>,
        ledger: Arc<SharedLedger>,
        peers: Arc<PeerPool>,
    ) -> Self {
        Self { instance, data_centre, members, ledger, peers }
    }

    /// Chooses a random node of another data centre and any other node.
    fn choose_peers(&self) -> Vec<InstanceId> {
        let members = Arc::clone(&self.members.borrow());
        let others: Vec<&MemberRecord> =
            members.iter().filter(|member| member.instance != self.instance).collect();
        let is_remote = |member: &&&MemberRecord| member.data_centre != self.data_centre;
        let remote: Vec<&MemberRecord> = others.iter().filter(is_remote).copied().collect();
        let mut rng = rand::rng();
        let chosen = [remote.choose(&mut rng), others.choose(&mut rng)];
        let mut chosen: Vec<InstanceId> =
            chosen.into_iter().flatten().map(|member| member.instance).collect();
        chosen.dedup();
        chosen
    }

    async fn spread(&self) {
        loop {
            let state = self.ledger.spread_state();
            let interval = match state {
                SpreadState::Nothing => {
                    self.ledger.wait_for_changes().await;
                    continue;
                }
                SpreadState::Suspects => SUSPECT_INTERVAL,
                SpreadState::Changes => CHANGE_INTERVAL,
            };
            let tells_suspects = state == SpreadState::Suspects;
            let mut peers = self.choose_peers();
            if tells_suspects {
                peers.truncate(1);
            }
            let exchanges =
                peers.into_iter().map(|peer| self.peers.exchange_crashes(peer, tells_suspects));
            join_all(exchanges).await;
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.ledger.wait_for_changes(), if tells_suspects => {}
            }
        }
    }
}

#[async_trait]
impl Service for CrashSpreader {
    fn name(&self) -> &'static str {
        "crash-spreader"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.spread() => {}
        }
        Ok(())
    }
}
