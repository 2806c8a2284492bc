//! Randomized fault soak: daemon processes behind relays, faults injected from outside, and clients
//! that record the responses to their requests. See `docs/PROOFS.md`, section "Fault soak".

mod checks;
mod clients;
mod operators;
mod schedule;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::soak::schedule::FaultPlan;
use crate::soak::schedule::FaultStep;
use crate::soak::schedule::ScheduledStep;
use crate::support::next_note;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::LinkFaults;
use crate::support::RelayNetwork;

const NODES: [&str; 6] = ["replica-1", "replica-2", "replica-3", "plain-1", "plain-2", "plain-3"];

const CLIENT_COUNT: u64 = 8;

const OPERATOR_COUNT: u64 = 2;

/// Time within which the faults of a seed start, in ms.
const FAULTS_MS: u64 = 8_000;

/// Bound of the time until an accepted note is in force everywhere; guarantee G8 of the design.
const IN_FORCE_BOUND: Duration = Duration::from_secs(10);

/// Seeds that are a multiple of this number have only planned stops.
const PLANNED_STOPS_SEED_STEP: u64 = 4;

/// Seeds of the run in CI. Seeds that failed once stay in the list: with seed 13, a node that had
/// just started reported `not-run` for a key
/// (`a_node_that_is_not_ready_reports_a_keyed_request_as_unknown`); with seed 27, a stopping
/// node waited for an unresponsive peer (`a_node_stops_while_a_peer_answers_nothing`).
const CI_SEEDS: [u64; 6] = [1, 2, 3, 4, 13, 27];

/// Environment variable with the range of seeds to run in place of the CI seeds, as `FIRST..END`;
/// the end is excluded.
const SEEDS_VARIABLE: &str = "TARRAGON_SOAK_SEEDS";

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else { return CI_SEEDS.to_vec() };
    let (first, end) = range.split_once("..").expect("the range of seeds has the form FIRST..END");
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

struct Soak {
    cluster: Cluster,
    network: RelayNetwork,
    link_faults: LinkFaults,
}

impl Soak {
    async fn apply_step(&mut self, name: &'static str, step: FaultStep) {
        match step {
            FaultStep::Kill => self.cluster[name].kill(),
            FaultStep::Stop => {
                self.cluster[name].signal(Signal::TERM);
                self.cluster[name].wait_for_exit().await;
            }
            FaultStep::Start => {
                self.cluster[name].start();
                self.network.update_process_ids(&self.cluster);
            }
            FaultStep::Pause => self.cluster[name].signal(Signal::STOP),
            FaultStep::Resume => self.cluster[name].signal(Signal::CONT),
            FaultStep::Isolate => drop(self.link_faults.isolated.insert(name.into())),
            FaultStep::Mute => drop(self.link_faults.muted.insert(name.into())),
            FaultStep::Delay => drop(self.link_faults.delayed.insert(name.into())),
            FaultStep::Heal => {
                self.link_faults.isolated.remove(name);
                self.link_faults.muted.remove(name);
                self.link_faults.delayed.remove(name);
            }
            FaultStep::Reset => self.network.reset_connections(name),
            FaultStep::Silence => self.network.silence_connections(name),
        }
        self.network.set_faults(self.link_faults.clone());
    }

    /// Applies the steps of a seed at their times. A stop that takes long delays the later steps.
    async fn run_schedule(&mut self, seed: u64, plan: FaultPlan) {
        let start = Instant::now();
        for ScheduledStep { at_ms, node_index, step } in
            schedule::schedule_steps(seed, plan, NODES.len(), FAULTS_MS)
        {
            tokio::time::sleep_until(start + Duration::from_millis(at_ms)).await;
            self.apply_step(NODES[node_index], step).await;
        }
    }
}

/// Runs one seed and returns the violations of the guarantees.
async fn run_seed(seed: u64) -> Vec<String> {
    let plan = if seed.is_multiple_of(PLANNED_STOPS_SEED_STEP) {
        FaultPlan::PlannedStops
    } else {
        FaultPlan::Faults
    };
    let (mut cluster, network) = Cluster::behind_relays(&NODES).await;
    cluster.start_behind_relays(&network).await;
    let mut backends = Vec::new();
    for name in ["plain-1", "plain-2", "plain-3"] {
        backends.push(FakeBackend::start(name, &cluster[name]).await);
    }
    for node in &cluster.nodes {
        wait_until(&format!("{} serves callers", node.name), async || {
            try_request(node.addresses.caller).await
        })
        .await;
    }
    let caller_addresses: Vec<_> = cluster.nodes.iter().map(|node| node.addresses.caller).collect();
    let (records, stop) = (Arc::new(Mutex::default()), CancellationToken::new());
    let mut tasks = JoinSet::new();
    for client_index in 0..CLIENT_COUNT {
        let (records, stop) = (Arc::clone(&records), stop.clone());
        tasks.spawn(clients::run_client(
            client_index,
            seed,
            caller_addresses.clone(),
            records,
            stop,
        ));
    }
    let notes: Arc<Mutex<operators::SubmittedNotes>> = Arc::default();
    let control_addresses: Vec<_> =
        cluster.nodes.iter().map(|node| node.addresses.control).collect();
    for operator_index in 0..OPERATOR_COUNT {
        let (operator, control_addresses) = (cluster.operator.clone(), control_addresses.clone());
        let (notes, stop) = (Arc::clone(&notes), stop.clone());
        tasks.spawn(operators::run_operator(
            operator_index,
            seed,
            operator,
            control_addresses,
            notes,
            stop,
        ));
    }
    let mut soak = Soak { cluster, network, link_faults: LinkFaults::default() };
    soak.run_schedule(seed, plan).await;
    stop.cancel();
    tasks.join_all().await;
    // Callers and operators must be served again without intervention, within the timeout of
    // `wait_until`.
    let cluster = &soak.cluster;
    for node in &cluster.nodes {
        wait_until(&format!("{} serves callers again", node.name), async || {
            try_request(node.addresses.caller).await
        })
        .await;
    }
    let listed_ids = wait_until("the first node lists the notes", async || {
        let list = cluster.operator.notes(&cluster.nodes[0]).await?;
        Some(list.notes.into_iter().map(|note| note.id).collect::<Vec<String>>())
    })
    .await;
    let next_version = listed_ids.len() as u64 + 1;
    if plan == FaultPlan::Faults {
        // The note spreads while every node finds its connections silent.
        NODES.iter().for_each(|name| soak.network.silence_connections(name));
    }
    cluster
        .operator
        .submit_until_accepted(&cluster.nodes[0], &next_note("after the faults", next_version))
        .await;
    let in_force = cluster.wait_until_in_force(next_version);
    let is_in_force = tokio::time::timeout(IN_FORCE_BOUND, in_force).await.is_ok();
    let mut run_counts: HashMap<String, usize> = HashMap::new();
    for path in backends.iter().flat_map(FakeBackend::run_paths) {
        *run_counts.entry(path).or_default() += 1;
    }
    let records: Vec<clients::RequestRecord> = records.lock().unwrap().clone();
    let has_response =
        |record: &&clients::RequestRecord| record.responses.iter().any(Option::is_some);
    let notes = notes.lock().unwrap().clone();
    println!(
        "seed {seed}: {plan:?}, {} of {} requests got a response, {} notes accepted, {} refused",
        records.iter().filter(has_response).count(),
        records.len(),
        notes.accepted.len(),
        notes.refused.len()
    );
    let mut violations = checks::request_violations(&records, &run_counts, plan);
    violations.extend(checks::note_violations(&notes, &listed_ids));
    if !is_in_force {
        violations.push(format!("a note was not in force everywhere after {IN_FORCE_BOUND:?}"));
    }
    violations
}

async fn try_request(caller_address: std::net::SocketAddr) -> Option<()> {
    let request = CallerRequest::view("/warm");
    let response =
        tokio::time::timeout(Duration::from_secs(2), request.send_to(caller_address)).await;
    (response.ok()?.ok()?.outcome == "answered").then_some(())
}

/// Verifies the guarantees to callers and operators under consecutive and overlapping faults.
#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    let mut all_violations = Vec::new();
    for seed in seeds() {
        let violations = run_seed(seed).await;
        let violations =
            violations.into_iter().map(|violation| format!("seed {seed}: {violation}"));
        // Violations are printed at once, because a panic in a later seed would skip the assertion.
        all_violations.extend(violations.inspect(|violation| println!("{violation}")));
    }
    assert!(
        all_violations.is_empty(),
        "{} violations:\n{}",
        all_violations.len(),
        all_violations.join("\n")
    );
}
