use tarragon_testkit::check_property;

use super::WeightedRoundRobin;

/// Guards against shares that drift from the weights: after any number of requests, the count of
/// each target differs from its share by at most half the number of targets.
#[test]
fn request_counts_stay_close_to_the_weights() {
    fn property(weights: Vec<u8>, requests: u16) -> bool {
        let weights: Vec<u32> = weights.into_iter().take(8).map(u32::from).collect();
        let total: u32 = weights.iter().sum();
        if total == 0 {
            return WeightedRoundRobin::default().next(weights.iter().copied()) == 0;
        }
        let mut targets = WeightedRoundRobin::default();
        let mut counts = vec![0u32; weights.len()];
        (1..=u32::from(requests % 500)).all(|sent| {
            counts[targets.next(weights.iter().copied())] += 1;
            counts.iter().zip(&weights).all(|(count, weight)| {
                let share = f64::from(sent) * f64::from(*weight) / f64::from(total);
                (f64::from(*count) - share).abs() <= weights.len() as f64 / 2.0 + 1e-9
            })
        })
    }
    check_property(51, 300, property as fn(Vec<u8>, u16) -> bool);
}

#[test]
fn zero_weight_gets_no_requests_and_new_weights_reset_the_credits() {
    let mut targets = WeightedRoundRobin::default();
    let chosen: Vec<usize> = (0..4).map(|_| targets.next([0, 1].into_iter())).collect();
    assert_eq!(chosen, [1, 1, 1, 1]);
    let chosen: Vec<usize> = (0..4).map(|_| targets.next([1, 0].into_iter())).collect();
    assert_eq!(chosen, [0, 0, 0, 0]);
}
