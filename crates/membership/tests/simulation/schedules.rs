//! Property tests under generated schedules of faults: no member is missing or added again after it
//! left.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
use tarragon_membership::MembershipSettings;
use tarragon_model::member::BackendState;

use crate::cluster::Cluster;

/// A fault, a change of one node, or the end of a partition (`Heal`).
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Leave(usize),
    Drain(usize, u64),
    Revision(usize, u64),
    Cut(usize),
    Heal,
    Loss(f64),
    Delay(u64),
    Slow(usize, u64),
    Block(usize, usize),
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    sizes: &'static [usize],
    is_paged: bool,
    duplication: f64,
    /// Faults, each with the wait in milliseconds before it.
    faults: Vec<(u64, Fault)>,
}

/// Numbers of members per data centre, for each cluster layout.
const SIZES: [&[usize]; 4] = [&[4, 4, 4], &[1, 1, 1], &[7, 1], &[5]];

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        let sizes = SIZES[[0, 0, 0, 1, 2, 3][below(6)]];
        let nodes = sizes.iter().sum::<usize>();
        let mut faults = Vec::new();
        for _ in 0..2 + below(10) {
            let wait_ms = below(12_000) as u64;
            let node = below(nodes);
            let fault = match below(13) {
                0 | 1 => Fault::Kill(node),
                2 => Fault::Restart(node),
                3 => Fault::Pause(node, 500 + below(25_000) as u64),
                4 => Fault::Leave(node),
                5 => Fault::Drain(node, below(100) as u64),
                6 => Fault::Revision(node, below(100) as u64),
                7 => Fault::Cut(below(sizes.len())),
                8 => Fault::Heal,
                9 => Fault::Loss((1 + below(20)) as f64 / 100.0),
                10 => Fault::Delay(below(400) as u64),
                11 => Fault::Slow(node, below(1_500) as u64),
                _ => Fault::Block(node, below(nodes)),
            };
            faults.push((wait_ms, fault));
        }
        let duplication = below(20) as f64 / 100.0;
        let (seed, is_paged) = (below(1 << 30) as u64, below(2) == 0);
        Self { seed, sizes, is_paged, duplication, faults }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let shorter = (0..self.faults.len()).map(move |index| {
            let mut shorter = schedule.clone();
            shorter.faults.remove(index);
            shorter
        });
        Box::new(shorter)
    }
}

fn apply_fault(cluster: &mut Cluster, fault: &Fault) {
    match *fault {
        Fault::Kill(node) => cluster.kill(node),
        Fault::Restart(node) => cluster.restart(node),
        Fault::Pause(node, for_ms) => cluster.pause(node, for_ms),
        Fault::Leave(node) => {
            cluster.leave(node);
            cluster.run(2_000);
            cluster.kill(node);
        }
        Fault::Drain(node, revision) => cluster.set_state(node, BackendState::Draining, revision),
        Fault::Revision(node, revision) => cluster.set_state(node, BackendState::Ready, revision),
        Fault::Cut(data_centre) => cluster.network.isolated_data_centres = vec![data_centre],
        Fault::Heal => cluster.network.isolated_data_centres.clear(),
        Fault::Loss(loss) => cluster.network.loss = loss,
        Fault::Delay(max_ms) => cluster.network.delay_ms = (1, 6 + max_ms),
        Fault::Slow(node, by_ms) => cluster.nodes[node].processing_delay_ms = by_ms,
        Fault::Block(node, other) => cluster.network.blocked_pairs.push((node, other)),
    }
}

fn run_schedule(schedule: &Schedule) -> Result<(), String> {
    let settings = MembershipSettings {
        has_full_state_source: !schedule.is_paged,
        ..MembershipSettings::default()
    };
    let mut cluster = Cluster::new(schedule.sizes, settings, schedule.seed);
    cluster.network.duplication = schedule.duplication;
    // When all members join at once, a few miss a record; the repair after differing digests takes
    // up to 25 s.
    cluster.run(60_000);
    let join_disagreements = cluster.disagreements();
    if !join_disagreements.is_empty() {
        return Err(format!("disagreements after the join: {join_disagreements:?}"));
    }
    for (wait_ms, fault) in &schedule.faults {
        cluster.run(*wait_ms);
        apply_fault(&mut cluster, fault);
    }
    cluster.network.isolated_data_centres.clear();
    cluster.network.blocked_pairs.clear();
    cluster.nodes.iter_mut().for_each(|node| node.processing_delay_ms = 0);
    cluster.network.loss = 0.0;
    cluster.network.delay_ms = (1, 6);
    // Pauses end after at most 25.5 s; periodic full exchanges repair what lost datagrams left
    // missing.
    cluster.run(25_000 + 2 * cluster.settings.full_exchange_interval_ms);
    let disagreements = cluster.disagreements();
    if cluster.violations.is_empty() && disagreements.is_empty() {
        return Ok(());
    }
    Err(format!("violations {:?}, disagreements {:?}", cluster.violations, disagreements))
}

#[test]
fn members_agree_after_any_schedule_of_faults() {
    fn agree(schedule: Schedule) -> TestResult {
        match run_schedule(&schedule) {
            Ok(()) => TestResult::passed(),
            Err(message) => TestResult::error(message),
        }
    }
    tarragon_testkit::check_property(41, 60, agree as fn(Schedule) -> TestResult);
}

/// Both sides of a partition must reconnect after they have declared each other dead or
/// unreachable.
#[test]
fn regression_two_partitions() {
    let faults = vec![(4_481, Fault::Cut(1)), (20_000, Fault::Cut(0)), (15_000, Fault::Heal)];
    let schedule =
        Schedule { seed: 446_341_104, sizes: SIZES[0], is_paged: false, duplication: 0.06, faults };
    assert_eq!(run_schedule(&schedule), Ok(()));
}

/// Two members that missed the same record have equal digests and must still be repaired.
#[test]
fn regression_join_missed_by_two_members() {
    let (seed, faults) = (1_071_075_585, Vec::new());
    let schedule = Schedule { seed, sizes: SIZES[0], is_paged: true, duplication: 0.1, faults };
    assert_eq!(run_schedule(&schedule), Ok(()));
}
