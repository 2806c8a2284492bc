use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::backend::ReportedNotice;
use crate::backend::ServerNotice;

/// Notices of the backend servers of other nodes that name a limit or are leaving, by the name of the
/// node.
///
/// A node keeps its name when it is restarted, so that its gate learns the notice from its callers
/// instead of sending its server requests until the first response. There is at most one notice for
/// each host.
#[derive(Default)]
pub(crate) struct KnownNotices {
    notices: Mutex<HashMap<String, ReportedNotice>>,
}

impl KnownNotices {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, ReportedNotice>> {
        self.notices.lock().expect("no thread panics while it holds the lock")
    }

    pub(crate) fn find(&self, node: &str) -> Option<ReportedNotice> {
        self.lock().get(node).copied()
    }

    /// Records the notice in a response of the gate of a node.
    pub(crate) fn record(&self, node: &str, reported: &ReportedNotice) {
        let mut notices = self.lock();
        // A response of an earlier instance of the node may be late.
        let is_outdated =
            notices.get(node).is_some_and(|known| known.started_at_ms > reported.started_at_ms);
        if is_outdated {
            return;
        }
        if reported.notice == ServerNotice::default() {
            notices.remove(node);
        } else {
            notices.insert(node.to_string(), *reported);
        }
    }
}
