use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tarragon_datapath::datapath::DataPathSettings;
use tokio::sync::Notify;

use crate::exchanges::client::exchange;
use crate::exchanges::client::Answer;
use crate::exchanges::host::Host;
use crate::exchanges::row::At;
use crate::exchanges::row::Client;
use crate::exchanges::row::Framing;
use crate::exchanges::row::Meanwhile;
use crate::exchanges::row::Path;
use crate::exchanges::row::Row;
use crate::exchanges::row::HOLD_TIME;
use crate::exchanges::row::TWO_PAUSES;
use crate::exchanges::sent_request::SentRequest;
use crate::exchanges::server::Arrival;
use crate::exchanges::server::Server;
use crate::exchanges::verdict::check_answer;
use crate::exchanges::verdict::check_arrival;
use crate::support::request;
use crate::support::Cluster;
use crate::support::Relay;

/// Time that a server has for the rest of a request after the client has its answer.
const SETTLE_TIME: Duration = Duration::from_secs(4);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Release note with an operation for each method and kind.
fn release_note() -> String {
    let methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"];
    let kinds = [("i", true, 5), ("o", false, 5), ("u", false, 5_000)];
    let mut operations = Vec::new();
    for method in methods {
        for (prefix, is_idempotent, expected_ms) in kinds {
            operations.push(format!(
                r#"{{"name": "{prefix}-{}", "method": "{method}", "path_prefix": "/{prefix}/",
                    "kind": "view", "idempotent": {is_idempotent}, "expected_ms": {expected_ms}}}"#,
                method.to_lowercase()
            ));
        }
    }
    format!(
        r#"{{"id": "first", "version": 1, "importance": ["view"],
            "add": [{{"name": "counter", "calls": [], "default_deadline_ms": 20000,
                      "operations": [{}]}}]}}"#,
        operations.join(",")
    )
}

/// The nodes of an exchange.
struct Hosts {
    gate: Host,
    /// `None` if the client sends to the gate's own node.
    entry: Option<Host>,
    relay: Relay,
}

impl Hosts {
    async fn start(row: &Row, backend: SocketAddr) -> Self {
        let mut cluster = Cluster::with_note(&release_note());
        // The times of a deployment, unlike those of the other tests.
        let loopback = "127.0.0.1:0".parse().unwrap();
        cluster.settings = DataPathSettings::new("node", "hall-a", "south", [loopback; 3]);
        let cluster = Arc::new(cluster);
        let (relay, forward) = Relay::bind();
        let (address, forward) = (relay.address, Mutex::new(Some(forward)));
        let through = move |target| {
            forward.lock().unwrap().take().expect("the node starts once")(target);
            address
        };
        let gate = Host::start(&cluster, "gate", Some(backend), Some(Box::new(through)));
        let entry = (row.path == Path::OneHop).then(|| Host::start(&cluster, "entry", None, None));
        let hosts = Self { gate, entry, relay };
        hosts.wait_until_connected().await;
        hosts
    }

    fn entry(&self) -> &Host {
        self.entry.as_ref().unwrap_or(&self.gate)
    }

    async fn wait_until_connected(&self) {
        for path in ["/i/check", "/u/check"] {
            for _ in 0..500 {
                let reply = request(self.entry().caller, "POST", path, &[], "").await;
                if reply.outcome() == "answered" {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn at(&self, at: At) -> Vec<&Host> {
        match at {
            At::Gate => vec![&self.gate],
            At::Entry => vec![self.entry()],
            At::Both => std::iter::once(&self.gate).chain(&self.entry).collect(),
        }
    }

    async fn disturb(&self, meanwhile: Meanwhile) {
        match meanwhile {
            Meanwhile::Nothing => {}
            Meanwhile::Pause(at, duration) => {
                self.at(at).iter().for_each(|host| host.pause(duration));
            }
            Meanwhile::TwoPauses(at) => {
                let (duration, between) = TWO_PAUSES;
                self.at(at).iter().for_each(|host| host.pause(duration));
                tokio::time::sleep(duration + between).await;
                self.at(at).iter().for_each(|host| host.pause(duration));
            }
            Meanwhile::Sigterm(at) => self.at(at).iter().for_each(|host| host.terminate()),
            Meanwhile::NewPathFirst => {
                self.relay.hold_open_connections();
                tokio::time::sleep(HOLD_TIME).await;
                self.relay.release();
            }
            Meanwhile::OldPathCut => self.relay.freeze_connections(),
        }
    }
}

/// Plays an exchange and returns what is wrong with it.
pub async fn play(row: Row) -> Result<(), String> {
    let id = format!("{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let server = Server::start(row).await;
    let hosts = Hosts::start(&row, server.address).await;
    let sent = SentRequest::new(&row, &id);
    let next_row = Row { method: "GET", framing: Framing::Absent, ..Row::plain() };
    let next = SentRequest::new(&next_row, &format!("next-{id}"));
    let has_next = row.client == Client::SendsNextBehind;
    let is_over = Notify::new();
    let exchanging = async {
        let next = has_next.then_some(&next);
        let answers = exchange(hosts.entry().caller, row.client, &sent, next).await;
        is_over.notify_one();
        answers
    };
    let disturbing = async {
        tokio::select! {
            () = server.arrived.notified() => hosts.disturb(row.meanwhile).await,
            () = is_over.notified() => {}
        }
    };
    let ((answer, next_answer), ()) = tokio::join!(exchanging, disturbing);
    check_answer(&row, &sent, &answer)?;
    // The server may read on after its answer.
    let settled = async {
        while check_arrivals(&row, &sent, &next, &server).is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = tokio::time::timeout(SETTLE_TIME, settled).await;
    check_arrivals(&row, &sent, &next, &server)?;
    let next_runs = server.arrivals().iter().any(|arrival| is_of(arrival, &next));
    match next_answer {
        Some(Answer::Nothing(_)) if !next_runs => Ok(()),
        Some(answer) => {
            check_answer(&row, &next, &answer).map_err(|e| format!("the request behind: {e}"))
        }
        None => Ok(()),
    }
}

fn is_of(arrival: &Arrival, sent: &SentRequest) -> bool {
    arrival.head.second_word() == sent.target
}

fn check_arrivals(
    row: &Row,
    sent: &SentRequest,
    next: &SentRequest,
    server: &Server,
) -> Result<(), String> {
    let arrivals = server.arrivals();
    let last = arrivals.iter().rposition(|arrival| !is_of(arrival, next));
    for (number, arrival) in arrivals.iter().enumerate() {
        if is_of(arrival, next) {
            check_arrival(next, arrival, true)?;
        } else {
            // An attempt that was given up may break off.
            let is_whole_due = last == Some(number) && row.arrives_whole();
            check_arrival(sent, arrival, is_whole_due)?;
        }
    }
    Ok(())
}
