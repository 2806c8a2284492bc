use tarragon_testkit::check;

use super::WeightedRoundRobin;

/// Guards against shares that drift from the weights: after any number of requests each target is
/// within one request of its share.
#[test]
fn each_target_gets_its_share_at_any_time() {
    fn property(weights: Vec<u8>, requests: u16) -> bool {
        let weights: Vec<u32> = weights.into_iter().take(8).map(u32::from).collect();
        let total: u32 = weights.iter().sum();
        if total == 0 {
            return WeightedRoundRobin::default().next(weights.iter().copied()) == 0;
        }
        let mut split = WeightedRoundRobin::default();
        let mut counts = vec![0u32; weights.len()];
        (1..=u32::from(requests % 500)).all(|sent| {
            counts[split.next(weights.iter().copied())] += 1;
            counts.iter().zip(&weights).all(|(count, weight)| {
                let share = f64::from(sent) * f64::from(*weight) / f64::from(total);
                (f64::from(*count) - share).abs() <= weights.len() as f64 / 2.0 + 1e-9
            })
        })
    }
    check(51, 300, property as fn(Vec<u8>, u16) -> bool);
}

#[test]
fn a_target_without_weight_gets_nothing_and_new_weights_start_anew() {
    let mut split = WeightedRoundRobin::default();
    let chosen: Vec<usize> = (0..4).map(|_| split.next([0, 1].into_iter())).collect();
    assert_eq!(chosen, [1, 1, 1, 1]);
    let chosen: Vec<usize> = (0..4).map(|_| split.next([1, 0].into_iter())).collect();
    assert_eq!(chosen, [0, 0, 0, 0]);
}
