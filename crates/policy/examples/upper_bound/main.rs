//! Computes the most that any system could earn on a day, from the figures of its services, kinds of
//! requests and faults. Every request runs on the fastest server, nothing waits and no time is lost
//! on the way, so no system reaches the bound. Run with
//! `cargo run --release -p tarragon-policy --example upper_bound FILE`; `sample.json` beside this
//! file shows the format. See `docs/overload.md`.

mod bound;
mod day;

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Parser;

use crate::day::Day;

/// Prints the upper bound of a day by second and by kind.
#[derive(Debug, Parser)]
struct Arguments {
    /// JSON file with the figures of the day.
    file: PathBuf,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Arguments { file } = Arguments::parse();
    let day: Day = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let mut totals: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    println!("second  bound");
    for second in 0..day.length_s {
        let bound = day.bound(f64::from(second));
        let (asked, earned): (f64, f64) = (bound.asked.values().sum(), bound.earned.values().sum());
        println!("{second:6}  {:.3}", earned / asked);
        for (kind, asked) in &bound.asked {
            let total = totals.entry(kind.clone()).or_default();
            total.0 += asked;
            total.1 += bound.earned[kind];
        }
    }
    for (kind, (asked, earned)) in &totals {
        println!("{kind}: {:.3}", earned / asked);
    }
    let (asked, earned) =
        totals.values().fold((0.0, 0.0), |sum, total| (sum.0 + total.0, sum.1 + total.1));
    println!("whole day: {:.3}", earned / asked);
    Ok(())
}
