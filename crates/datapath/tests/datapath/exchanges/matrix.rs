use std::sync::Arc;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::sync::Semaphore;

use crate::exchanges::play::play;
use crate::exchanges::row::Choice;
use crate::exchanges::row::Row;
use crate::exchanges::row::SIDES;
use crate::exchanges::rows::draw_rows;

/// Seed of the rows that are played in CI.
const SEED: u64 = 46;

/// Number of exchanges at the same time. Each has up to two nodes with threads of their own.
const PARALLEL_EXCHANGES: usize = 64;

/// Number of failed rows that are shortened to the values that matter.
const SHORTENED_ROWS: usize = 3;

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Replaces the values that do not matter for the failure by the plainest ones.
async fn shorten(choice: Choice) -> (Choice, String) {
    let mut shortest = choice;
    let mut failure = String::new();
    for side in 0..SIDES {
        let mut shorter = shortest;
        shorter[side] = 0;
        if shorter == shortest {
            continue;
        }
        if let Err(e) = play(Row::new(&shorter)).await {
            (shortest, failure) = (shorter, e);
        }
    }
    (shortest, failure)
}

/// Guards against requests and answers that are changed or cut off on their way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_exchange_is_whole_and_unchanged() {
    let seed = number_from_environment("TARRAGON_SEED", SEED);
    let count = number_from_environment("TARRAGON_EXCHANGES", 0);
    let rows = draw_rows(seed, usize::try_from(count).unwrap());
    println!("seed {seed}: {} rows", rows.len());
    let started = Instant::now();
    let permits = Arc::new(Semaphore::new(PARALLEL_EXCHANGES));
    let plays = rows.into_iter().map(|choice| {
        let permits = Arc::clone(&permits);
        tokio::spawn(async move {
            let _permit = permits.acquire().await.unwrap();
            play(Row::new(&choice)).await.err().map(|failure| (choice, failure))
        })
    });
    let failed = join_all(plays).await.into_iter().filter_map(|played| played.unwrap());
    let failed: Vec<_> = failed.collect();
    println!("played in {:?}", started.elapsed());
    for (choice, failure) in &failed {
        println!("FAILED {failure}: {}", Row::new(choice));
    }
    for (choice, _) in failed.iter().take(SHORTENED_ROWS) {
        let (shortest, failure) = shorten(*choice).await;
        println!("SHORTENED {failure}: {}", Row::new(&shortest));
    }
    assert!(failed.is_empty(), "{} rows failed", failed.len());
}
