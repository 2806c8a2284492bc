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

/// Passes changes of the member list to the routing policy and to the peer connections.
pub struct CandidateUpdater {
    settings: Arc<DataPathSettings>,
    clock: Clock,
    instance: InstanceId,
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    peers: Arc<PeerPool>,
    known_candidates: Mutex<BTreeMap<String, Vec<Candidate>>>,
    /// Tracks the listeners; waiting for it ends after they have finished their last requests.
    listeners: TaskTracker,
}

impl CandidateUpdater {
    /// Creates the updater and passes on the current members.
    pub fn new(
        settings: Arc<DataPathSettings>,
        clock: Clock,
        instance: InstanceId,
        members: watch::Receiver<Arc<Vec<MemberRecord>>>,
        route: Arc<Mutex<Box<dyn RoutePolicy>>>,
        peers: Arc<PeerPool>,
        listeners: TaskTracker,
    ) -> Self {
        let known_candidates = Mutex::default();
        let updater =
            Self { settings, clock, instance, members, route, peers, known_candidates, listeners };
        let current_members = Arc::clone(&updater.members.borrow());
        updater.update(&current_members);
        updater
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

    /// Updates the peer connections, and the candidates of the services that changed.
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
        let mut known_candidates =
            self.known_candidates.lock().expect("no thread panics while it holds the lock");
        let mut route = self.route.lock().expect("no thread panics while it holds the lock");
        let now_us = self.clock.now_us();
        for service in known_candidates.keys().filter(|service| !services.contains_key(*service)) {
            route.set_candidates(service, &[], now_us);
        }
        for (service, candidates) in &services {
            if known_candidates.get(service) != Some(candidates) {
                route.set_candidates(service, candidates, now_us);
            }
        }
        *known_candidates = services;
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
        let follow_members = async {
            loop {
                let current_members = Arc::clone(&members.borrow_and_update());
                self.update(&current_members);
                if members.changed().await.is_err() {
                    // The membership service has stopped; the last member list stays in use.
                    std::future::pending::<()>().await;
                }
            }
        };
        let listeners_finished = async {
            stop.cancelled().await;
            // Requests in progress still use the connections to the peers.
            self.listeners.wait().await;
        };
        tokio::select! {
            () = listeners_finished => {}
            () = follow_members => {}
        }
        self.peers.close().await;
        Ok(())
    }
}
