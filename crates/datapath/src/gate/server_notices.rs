use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use http::response::Parts;
use tracing::info;

use crate::backend::BackendStatus;
use crate::backend::ReportedNotice;
use crate::backend::ServerNotice;
use crate::datapath::Clock;
use crate::gate::Gate;
use crate::transport::LogRateLimiter;

/// Maximum average rate of log lines about changed notices, in lines per second.
const MAX_NOTICE_LOG_LINES_PER_S: u32 = 5;

/// Latest notice of the backend server behind a gate.
pub(crate) struct ServerNotices {
    state: Mutex<NoticeState>,
    log: LogRateLimiter,
}

#[derive(Default)]
struct NoticeState {
    /// Start of the backend server that sent the notice.
    started_at_ms: Option<u64>,
    /// `None` until a response of this start arrives or another node tells of one.
    notice: Option<ServerNotice>,
    /// Arrival of the latest response with a limit.
    limited_at: Option<Instant>,
}

impl ServerNotices {
    pub(crate) fn new(clock: Clock) -> Self {
        let log = LogRateLimiter::new(clock, MAX_NOTICE_LOG_LINES_PER_S);
        Self { state: Mutex::default(), log }
    }

    fn lock(&self) -> MutexGuard<'_, NoticeState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Records the notice in the response to a request that was sent at `sent_at` to the backend
    /// server that started at `started_at_ms`. Returns the notice in force if it has changed.
    pub(crate) fn record(
        &self,
        started_at_ms: Option<u64>,
        mut notice: ServerNotice,
        sent_at: Instant,
    ) -> Option<ServerNotice> {
        let mut state = self.lock();
        if started_at_ms < state.started_at_ms {
            return None;
        }
        let is_other_start = state.forget_other_start(started_at_ms);
        let previous = state.notice.unwrap_or_default();
        // A response without a limit may have been overtaken by one that names it.
        let is_overtaken = state.limited_at.is_some_and(|limited_at| sent_at < limited_at);
        if notice.max_requests_per_s.is_some() {
            state.limited_at = Some(Instant::now());
        } else if is_overtaken {
            notice.max_requests_per_s = previous.max_requests_per_s;
        }
        notice.is_leaving |= previous.is_leaving;
        state.notice = Some(notice);
        drop(state);
        (notice != previous || is_other_start).then(|| {
            self.log_change(started_at_ms, notice, "gate: the backend server changed its notice");
            notice
        })
    }

    /// Takes over the notice that another node knows of the backend server that started at
    /// `started_at_ms`. A limit counts only until the first response; that a server is leaving is
    /// final. Returns the notice in force if it has changed.
    pub(crate) fn adopt(
        &self,
        started_at_ms: Option<u64>,
        known: &ReportedNotice,
    ) -> Option<ServerNotice> {
        if started_at_ms != Some(known.started_at_ms) {
            return None;
        }
        let mut state = self.lock();
        let is_other_start = state.forget_other_start(started_at_ms);
        let previous = state.notice.unwrap_or_default();
        let mut notice = state.notice.unwrap_or(known.notice);
        notice.is_leaving |= known.notice.is_leaving;
        state.notice = Some(notice);
        drop(state);
        (notice != previous || is_other_start).then(|| {
            self.log_change(started_at_ms, notice, "gate: another node knows the notice");
            notice
        })
    }

    /// Whether the backend server that started at `started_at_ms` is leaving.
    pub(crate) fn is_leaving(&self, started_at_ms: Option<u64>) -> bool {
        let state = self.lock();
        let is_same_start = state.started_at_ms == started_at_ms;
        is_same_start && state.notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Notice to report to other nodes. That of a healthy server is reported only if `is_correction`
    /// is set, because the other node knows another one. A server may also have announced that it is
    /// leaving; after a restart, this gate may hear of an earlier announcement only.
    pub(crate) fn report(
        &self,
        status: &BackendStatus,
        is_correction: bool,
    ) -> Option<ReportedNotice> {
        let state = self.lock();
        if let (true, Some(started_at_ms)) = (status.is_leaving, status.started_at_ms) {
            let known = state.notice.filter(|_| state.started_at_ms == Some(started_at_ms));
            let notice = ServerNotice { is_leaving: true, ..known.unwrap_or_default() };
            return Some(ReportedNotice { started_at_ms, notice });
        }
        let notice = state.notice.filter(|n| is_correction || *n != ServerNotice::default())?;
        Some(ReportedNotice { started_at_ms: state.started_at_ms?, notice })
    }

    /// Forgets the notice if the status is that of a later start of the backend server. An expired
    /// announcement is no later start, unless starts cannot be told apart.
    ///
    /// Returns whether the notice was forgotten.
    pub(crate) fn follow_status(&self, status: &BackendStatus) -> bool {
        let mut state = self.lock();
        match status.address {
            Some(_) => state.forget_other_start(status.started_at_ms),
            None if state.started_at_ms.is_none() => std::mem::take(&mut *state).notice.is_some(),
            None => false,
        }
    }

    fn log_change(&self, started_at_ms: Option<u64>, notice: ServerNotice, message: &str) {
        let Some(unlogged) = self.log.admit() else { return };
        info!(
            started_at_ms,
            max_requests_per_s = notice.max_requests_per_s,
            is_leaving = notice.is_leaving,
            unlogged,
            "{message}"
        );
    }
}

impl NoticeState {
    /// Forgets the notice of another start. Returns whether there was one.
    fn forget_other_start(&mut self, started_at_ms: Option<u64>) -> bool {
        if self.started_at_ms == started_at_ms {
            return false;
        }
        let forgotten = std::mem::replace(self, Self { started_at_ms, ..Self::default() });
        forgotten.notice.is_some()
    }
}

impl Gate {
    /// Records what the backend server says about itself in the head of a response.
    pub(super) fn record_notice(&self, head: &Parts, started_at_ms: Option<u64>, sent_at: Instant) {
        let Some(notice) = self.interface.read_notice(head) else { return };
        if let Some(notice) = self.server_notices.record(started_at_ms, notice, sent_at) {
            self.apply_notice(notice, started_at_ms);
        }
    }

    /// Takes over what another node knows of the backend server, if this gate has had no response
    /// from it yet.
    pub(crate) fn adopt_notice(&self, known: &ReportedNotice) {
        let started_at_ms = self.status.borrow().started_at_ms;
        if let Some(notice) = self.server_notices.adopt(started_at_ms, known) {
            self.apply_notice(notice, started_at_ms);
        }
    }

    /// Notice to report to another node, which may know one already.
    pub(crate) fn report_notice(&self, known: Option<&ReportedNotice>) -> Option<ReportedNotice> {
        self.server_notices.report(&self.status.borrow(), known.is_some())
    }

    fn apply_notice(&self, notice: ServerNotice, started_at_ms: Option<u64>) {
        self.metrics.count("gate.notice_changed", 1);
        self.admission_queue.set_rate_limit(notice.max_requests_per_s);
        let server_id = self.status.borrow().server_id.clone();
        if let (true, Some(id), Some(started_at_ms)) = (notice.is_leaving, server_id, started_at_ms)
        {
            self.backend.record_leaving(&id, started_at_ms);
        }
    }
}

#[cfg(test)]
mod tests;
