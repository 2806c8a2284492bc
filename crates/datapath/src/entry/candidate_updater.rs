use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;
use tarragon_policy::routing::Candidate;
use tarragon_policy::routing::Distance;
use tarragon_policy::routing::RoutePolicy;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::peer::PeerPool;

/// Passes the members to the routing policy and to the peer connections.
pub struct CandidateUpdater {
    settings: Arc<DataPathSettings>,
    clock: Clock,
    instance: InstanceId,
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    peers: Arc<PeerPool>,
    known: Mutex<BTreeMap<String, Vec<Candidate>>>,
    /// Closed and empty once the listeners have ended their last requests.
    listeners: TaskTracker,
}

impl CandidateUpdater {
    /// Creates the table and passes on the present members.
    pub fn new(
        settings: Arc<DataPathSettings>,
        clock: Clock,
        instance: InstanceId,
        members: watch::Receiver<Arc<Vec<MemberRecord>>>,
        route: Arc<Mutex<Box<dyn RoutePolicy>>>,
        peers: Arc<PeerPool>,
        listeners: TaskTracker,
    ) -> Self {
        let known = Mutex::default();
        let table = Self { settings, clock, instance, members, route, peers, known, listeners };
        let present = Arc::clone(&table.members.borrow());
        table.update(&present);
        table
    }

    fn distance(&self, record: &MemberRecord) -> Distance {
        if record.data_centre == self.settings.data_centre {
            Distance::Local
        } else if record.region == self.settings.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    /// Passes on the services whose candidates changed.
    fn update(&self, members: &[MemberRecord]) {
        self.peers.set_members(members, self.instance);
        let mut services: BTreeMap<String, Vec<Candidate>> = BTreeMap::new();
        for record in members.iter().filter(|record| !record.service.is_empty()) {
            let candidate = Candidate {
                instance: record.instance,
                distance: self.distance(record),
                state: record.state,
            };
            services.entry(record.service.clone()).or_default().push(candidate);
        }
        let mut known = self.known.lock().expect("no holder of the lock panics");
        let mut route = self.route.lock().expect("no holder of the lock panics");
        let now_us = self.clock.now_us();
        for service in known.keys().filter(|service| !services.contains_key(*service)) {
            route.set_candidates(service, &[], now_us);
        }
        for (service, candidates) in &services {
            if known.get(service) != Some(candidates) {
                route.set_candidates(service, candidates, now_us);
            }
        }
        *known = services;
    }
}

#[async_trait]
impl Service for CandidateUpdater {
    fn name(&self) -> &'static str {
        "route"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let mut members = self.members.clone();
        let follow = async {
            loop {
                let present = Arc::clone(&members.borrow_and_update());
                self.update(&present);
                if members.changed().await.is_err() {
                    // Membership ended; the last members stay.
                    std::future::pending::<()>().await;
                }
            }
        };
        let ended = async {
            stop.cancelled().await;
            // Requests in progress still need the connections to the peers.
            self.listeners.wait().await;
        };
        tokio::select! {
            () = ended => {}
            () = follow => {}
        }
        self.peers.close().await;
        Ok(())
    }
}
