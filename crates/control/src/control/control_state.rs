use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::api::NoteEntry;
use tarragon_model::api::NoteList;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::ConfigureAnswer;
use tarragon_model::identity::InstanceId;
use tarragon_model::note::ReleaseNote;

use crate::crashes::ArchivedCrash;
use crate::crashes::ArchivedCrashes;
use crate::departures::HeldForNode;
use crate::departures::HeldStates;
use crate::departures::HoldRequest;

/// Maximum number of release notes and configurations in one response, so that it fits into a
/// message regardless of the number that the deployment has accepted.
const MAX_LISTED_NOTES: usize = 1_000;

/// Encoding of a map without elements.
const EMPTY_MAP: u8 = 0;

/// A command that is replicated by the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Submits a release note.
    Submit(ReleaseNote),
    /// Submits a whole configuration.
    Configure(Box<Configuration>),
    /// Claims an idempotency key for a node instance.
    Claim {
        /// The key and its service.
        key: ClaimKey,
        /// Node instance that claims the key and would run the request.
        wanted: InstanceId,
        /// Wall clock time of the proposer, in s since 1970. It is used only to expire claims.
        now_s: u64,
        /// Time for which the claim is kept, in s.
        retention_s: u64,
    },
    /// Holds the departure of the backend server of a node, or an order of operators about its drain.
    Hold(HoldRequest),
    /// Stores records of requests that crash their servers.
    ArchiveCrashes(Vec<ArchivedCrash>),
}

/// An idempotency key, which is unique within its service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service to which the request with the key was sent.
    pub service: String,
    /// The key as sent by the caller.
    pub key: String,
}

/// A read-only query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlQuery {
    /// The latest accepted release notes and configurations.
    Notes,
    /// The revision of one release note or configuration, by its id.
    Note(String),
    /// The revision of the catalogue.
    Revision,
    /// The whole configuration in force.
    Configuration,
    /// The departures and the drain that are held for the node with this name.
    Held(String),
    /// The stored records of requests that crash their servers.
    ArchivedCrashes,
}

/// Response to a command, a query or a change of the replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlResponse {
    /// Result of submitting a release note.
    Submit(SubmitAnswer),
    /// Result of submitting a configuration.
    Configure(ConfigureAnswer),
    /// Node instance that owns the claimed key.
    Owner(InstanceId),
    /// The latest accepted release notes and configurations.
    Notes(NoteList),
    /// Revision of a release note or configuration; none if it was not accepted.
    NoteRevision(Option<u64>),
    /// The set of replicas is as requested.
    ReplicasChanged,
    /// The revision of the catalogue.
    Revision(u64),
    /// The configuration in force, as submitted; none before the first one.
    Configuration(Option<String>),
    /// What is held for a node.
    Held(HeldForNode),
    /// Stored records of requests that crash their servers.
    ArchivedCrashes(Vec<ArchivedCrash>),
}

/// The state machine that the log replicates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    catalogue: Catalogue,
    claims: BTreeMap<ClaimKey, Claim>,
    /// Claims by expiry time, in s since 1970, so that dropping expired claims visits no others.
    expiry: BTreeMap<u64, Vec<ClaimKey>>,
    /// Latest time in any command, in s since 1970. It never decreases, even if the clock of a
    /// proposer does.
    now_s: u64,
    /// Departures of backend servers and drains. Snapshots before 2026-12-07 end without it and the
    /// next field.
    held: HeldStates,
    crashes: ArchivedCrashes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    owner: InstanceId,
}

impl ControlState {
    /// Decodes a state that was encoded with postcard, also by versions without its last fields.
    ///
    /// # Errors
    /// The bytes are no state.
    pub fn from_bytes(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
            .or_else(|_| postcard::from_bytes(&[bytes, &[EMPTY_MAP; 2]].concat()))
    }

    /// The catalogue with the accepted release notes and configurations.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &ControlCommand) -> ControlResponse {
        match command {
            ControlCommand::Submit(note) => ControlResponse::Submit(self.catalogue.submit(note)),
            ControlCommand::Configure(next) => {
                ControlResponse::Configure(self.catalogue.configure(next))
            }
            ControlCommand::Claim { key, wanted, now_s, retention_s } => {
                self.now_s = self.now_s.max(*now_s);
                self.drop_expired_claims();
                ControlResponse::Owner(self.claim(key, *wanted, *retention_s))
            }
            ControlCommand::Hold(request) => ControlResponse::Held(self.held.hold(request)),
            ControlCommand::ArchiveCrashes(records) => {
                self.crashes.store(records);
                ControlResponse::ArchivedCrashes(Vec::new())
            }
        }
    }

    /// Answers a query.
    pub fn query(&self, query: &ControlQuery) -> ControlResponse {
        match query {
            ControlQuery::Notes => {
                let accepted = self.catalogue.accepted();
                let first = accepted.len().saturating_sub(MAX_LISTED_NOTES);
                let listed = accepted.iter().zip(1..).skip(first);
                let notes = listed.map(|(n, version)| NoteEntry { version, id: n.id.clone() });
                ControlResponse::Notes(NoteList {
                    revision: self.catalogue.revision(),
                    notes: notes.collect(),
                })
            }
            ControlQuery::Note(id) => ControlResponse::NoteRevision(self.catalogue.find_note(id)),
            ControlQuery::Revision => ControlResponse::Revision(self.catalogue.revision()),
            ControlQuery::Configuration => {
                let current = self.catalogue.configuration();
                ControlResponse::Configuration(current.map(|current| current.document.clone()))
            }
            ControlQuery::Held(node) => ControlResponse::Held(self.held.held_for(node)),
            ControlQuery::ArchivedCrashes => ControlResponse::ArchivedCrashes(self.crashes.all()),
        }
    }

    fn claim(&mut self, key: &ClaimKey, wanted: InstanceId, retention_s: u64) -> InstanceId {
        if let Some(claim) = self.claims.get(key) {
            return claim.owner;
        }
        self.claims.insert(key.clone(), Claim { owner: wanted });
        let expires_s = self.now_s.saturating_add(retention_s);
        self.expiry.entry(expires_s).or_default().push(key.clone());
        wanted
    }

    fn drop_expired_claims(&mut self) {
        while let Some(entry) = self.expiry.first_entry() {
            if *entry.key() > self.now_s {
                break;
            }
            for key in entry.remove() {
                self.claims.remove(&key);
            }
        }
    }
}
