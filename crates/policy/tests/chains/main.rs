//! Simulates chains of calls through two services and checks the goodput for clients.
//!
//! Clients send requests to a middle service with three gates. Each run there makes five sequential
//! calls to a last service with three gates, which also gets long, less important requests
//! directly.

mod simulation;

use std::collections::BTreeMap;

use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::KindLimitSettings;
use tarragon_policy::admission::SlotAdmissionSettings;

use crate::simulation::ChainSimulation;
use crate::simulation::RequestKind;
use crate::simulation::Scenario;
use crate::simulation::CALL_US;
use crate::simulation::CHAIN_CALLS;
use crate::simulation::GATES_PER_SERVICE;
use crate::simulation::LAST_SLOTS;
use crate::simulation::SECOND;

/// Number of chains per second that the last service can complete.
fn capacity_per_s() -> f64 {
    let slots = f64::from(LAST_SLOTS)
        * SlotAdmissionSettings::default().used_share
        * GATES_PER_SERVICE as f64;
    slots * SECOND as f64 / (CALL_US as f64 * f64::from(CHAIN_CALLS))
}

fn scenario() -> Scenario {
    Scenario {
        gate_settings: SlotAdmissionSettings::default(),
        middle_slots: 99,
        random_rejection_share: 0.0,
    }
}

#[derive(Debug)]
struct ServedShares {
    /// Chains served during the burst, as a share of the possible number.
    chains: f64,
    /// Searches served during the burst, as a share of the expected number.
    searches: f64,
    /// Chains served after the burst, as a share of the expected number.
    after: f64,
}

/// Simulates a burst of chains at a multiple of the capacity, followed by 60% of the capacity.
fn simulate_burst(scenario: Scenario, load: f64, seed: u64) -> ServedShares {
    let mut simulation = ChainSimulation::new(scenario, seed);
    let capacity = capacity_per_s();
    let searches_per_s = 20.0;
    let calm_per_s = capacity * 0.6;
    simulation.schedule_arrivals(RequestKind::Chain, 0, 12 * SECOND, capacity * load);
    simulation.schedule_arrivals(RequestKind::Chain, 12 * SECOND, 26 * SECOND, calm_per_s);
    simulation.schedule_arrivals(RequestKind::Search, 0, 26 * SECOND, searches_per_s);
    simulation.run_until(2 * SECOND);
    let burst = simulation.run_until(12 * SECOND);
    simulation.run_until(14 * SECOND);
    let after = simulation.run_until(26 * SECOND);
    let served =
        |of: &BTreeMap<RequestKind, u32>, kind| f64::from(of.get(&kind).copied().unwrap_or(0));
    ServedShares {
        chains: served(&burst, RequestKind::Chain) / (capacity * load.min(1.0) * 10.0),
        searches: served(&burst, RequestKind::Search) / (searches_per_s * 10.0),
        after: served(&after, RequestKind::Chain) / (calm_per_s * 12.0),
    }
}

/// Mean results of three simulations of a burst.
fn mean_of_simulations(scenario: Scenario, load: f64) -> ServedShares {
    let simulations = [1, 2, 3].map(|seed| simulate_burst(scenario, load, seed));
    let mean = |share: fn(&ServedShares) -> f64| simulations.iter().map(share).sum::<f64>() / 3.0;
    ServedShares {
        chains: mean(|shares| shares.chains),
        searches: mean(|shares| shares.searches),
        after: mean(|shares| shares.after),
    }
}

/// Chains served around a loss of capacity.
struct CapacityLossShares {
    /// Chains served during the loss, as a share of the remaining capacity.
    during_loss: f64,
    /// Chains served from 2 s after the recovery, as a share of the load.
    after: f64,
}

/// Simulates chains at 90% of the capacity, of which two thirds are lost for 3 s.
fn simulate_capacity_loss(scenario: Scenario, seed: u64) -> CapacityLossShares {
    let mut simulation = ChainSimulation::new(scenario, seed);
    let capacity = capacity_per_s();
    simulation.schedule_arrivals(RequestKind::Chain, 0, 20 * SECOND, capacity * 0.9);
    simulation.run_until(6 * SECOND);
    for gate in GATES_PER_SERVICE..2 * GATES_PER_SERVICE {
        simulation.gates[gate].set_slots(LAST_SLOTS / 3, 6 * SECOND);
    }
    let during_loss = simulation.run_until(9 * SECOND);
    for gate in GATES_PER_SERVICE..2 * GATES_PER_SERVICE {
        simulation.gates[gate].set_slots(LAST_SLOTS, 9 * SECOND);
        simulation.poll(gate, 9 * SECOND);
    }
    simulation.run_until(11 * SECOND);
    let after = simulation.run_until(15 * SECOND);
    let served = |of: &BTreeMap<RequestKind, u32>| {
        f64::from(of.get(&RequestKind::Chain).copied().unwrap_or(0))
    };
    CapacityLossShares {
        during_loss: served(&during_loss) / (capacity / 3.0 * 3.0),
        after: served(&after) / (capacity * 0.9 * 4.0),
    }
}

/// Removes the bounds on waits and on kinds whose calls are refused.
fn without_bounds(scenario: Scenario) -> Scenario {
    let kind_limits =
        KindLimitSettings { max_refused_share: f64::INFINITY, ..KindLimitSettings::default() };
    let gate_settings =
        SlotAdmissionSettings { max_wait_share: 1.0, kind_limits, ..scenario.gate_settings };
    Scenario { gate_settings, ..scenario }
}

/// Guards the goodput of chains up to twice the capacity, and the recovery (docs/design.md, section
/// 1.2: 95% at twice the capacity, 99% of the normal goodput within 2 s). The middle service has
/// two to six times the slots of the last one, so that its slots alone do not limit the chains.
#[test]
fn chains_are_completed_at_capacity_and_above() {
    for middle_slots in [99, 200, 300] {
        let scenario = Scenario { middle_slots, ..scenario() };
        let at_capacity = mean_of_simulations(scenario, 1.0);
        assert!(at_capacity.chains >= 0.95, "{middle_slots} slots: {at_capacity:?}");
        for load in [1.5, 2.0] {
            let shares = mean_of_simulations(scenario, load);
            let case = format!("{middle_slots} slots, load {load}: {shares:?}");
            assert!(shares.chains >= 0.95 * at_capacity.chains, "{case}");
            assert!(shares.after >= 0.99, "{case}");
        }
    }
}

/// Guards the goodput of chains at ten times the capacity (docs/design.md, section 1.2: 90%).
#[test]
fn chains_are_completed_at_ten_times_the_capacity() {
    for middle_slots in [99, 200, 300] {
        let scenario = Scenario { middle_slots, ..scenario() };
        let at_capacity = mean_of_simulations(scenario, 1.0);
        let shares = mean_of_simulations(scenario, 10.0);
        assert!(shares.chains >= 0.9 * at_capacity.chains, "{middle_slots} slots: {shares:?}");
    }
}

/// Shows the collapse that the bounds prevent: less than a quarter of the capacity is served.
#[test]
fn chains_collapse_without_the_bounds() {
    for load in [1.5, 2.0] {
        let shares =
            mean_of_simulations(without_bounds(Scenario { middle_slots: 300, ..scenario() }), load);
        assert!(shares.chains < 0.25, "load {load}: {shares:?}");
    }
}

/// Guards against a limit on chains that remains long after the last service has recovered
/// (docs/design.md, section 1.2: 99% of the normal goodput within 2 s).
#[test]
fn chains_are_soon_served_again_after_a_service_has_recovered() {
    for seed in [1, 2, 3] {
        let CapacityLossShares { during_loss, after } = simulate_capacity_loss(scenario(), seed);
        assert!(
            during_loss > 0.8 && after >= 0.99,
            "seed {seed}: {during_loss} during the capacity loss, {after} after it"
        );
    }
}

/// Guards the goodput of long requests to the same service below its capacity. Guards also against
/// a limit on chains whose calls fail for another reason: here the last service itself rejects 30%
/// of them.
#[test]
fn bounds_cost_nothing_below_capacity_nor_while_a_service_rejects_at_random() {
    let below_capacity = mean_of_simulations(scenario(), 0.8);
    assert!(
        below_capacity.chains > 0.98
            && below_capacity.searches > 0.98
            && below_capacity.after > 0.98,
        "{below_capacity:?}"
    );
    let rejecting = Scenario { random_rejection_share: 0.3, ..scenario() };
    let bounded = mean_of_simulations(rejecting, 0.8);
    let unbounded = mean_of_simulations(without_bounds(rejecting), 0.8);
    assert!(
        bounded.chains > 0.95 * unbounded.chains,
        "{bounded:?}, without the bounds {unbounded:?}"
    );
}
