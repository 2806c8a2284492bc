use std::collections::BTreeSet;
use std::collections::HashMap;

/// Fake backend server with processor sharing: with more jobs than slots, all jobs are slower.
pub struct FakeServer {
    slots: f64,
    /// Relative speed; less than 1 if the server is slowed down.
    speed: f64,
    /// Work done so far on a job that has run since the start of the server, in µs.
    progress_us: f64,
    updated_us: u64,
    /// Jobs by the progress at which they end, in steps of `STEPS_PER_US`.
    ends: BTreeSet<(u64, u64)>,
    /// Progress at which each job ends, in steps of `STEPS_PER_US`.
    jobs: HashMap<u64, u64>,
}

/// Resolution of the progress at which a job ends, in steps per µs.
const STEPS_PER_US: f64 = 16.0;

impl FakeServer {
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            speed: 1.0,
            progress_us: 0.0,
            updated_us: 0,
            ends: BTreeSet::new(),
            jobs: HashMap::new(),
        }
    }

    /// Work done on each job per unit of time.
    fn rate(&self) -> f64 {
        self.speed * (self.slots / self.jobs.len().max(1) as f64).min(1.0)
    }

    fn advance(&mut self, now_us: u64) {
        self.progress_us += (now_us - self.updated_us) as f64 * self.rate();
        self.updated_us = now_us;
    }

    pub fn set_speed(&mut self, speed: f64, now_us: u64) {
        self.advance(now_us);
        self.speed = speed;
    }

    pub fn start(&mut self, job: u64, work_us: f64, now_us: u64) {
        self.advance(now_us);
        let end = ((self.progress_us + work_us) * STEPS_PER_US).ceil() as u64;
        self.jobs.insert(job, end);
        self.ends.insert((end, job));
    }

    pub fn cancel(&mut self, job: u64, now_us: u64) {
        self.advance(now_us);
        if let Some(end) = self.jobs.remove(&job) {
            self.ends.remove(&(end, job));
        }
    }

    /// Removes and returns a job that has ended.
    pub fn take_ended(&mut self, now_us: u64) -> Option<u64> {
        self.advance(now_us);
        let (end, job) = *self.ends.first()?;
        if end as f64 / STEPS_PER_US > self.progress_us + 0.5 {
            return None;
        }
        self.ends.remove(&(end, job));
        self.jobs.remove(&job);
        Some(job)
    }

    /// Time at which the next job ends if neither the jobs nor the speed change, in µs.
    pub fn next_end_us(&self) -> Option<u64> {
        let (end, _) = self.ends.first()?;
        let left_us = (*end as f64 / STEPS_PER_US - self.progress_us).max(0.0) / self.rate();
        Some(self.updated_us + left_us.ceil() as u64)
    }
}
