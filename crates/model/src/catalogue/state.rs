use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::CatalogueChanges;
use crate::catalogue::SubmitAnswer;
use crate::check::Mistake;
use crate::configuration::Configuration;
use crate::configuration::ConfigureAnswer;
use crate::note::check_call_graph;
use crate::note::OperationSpec;
use crate::note::ReleaseNote;
use crate::note::ServiceSpec;

/// Maximum number of operation kinds in an importance order. Their ranks, and the next one for
/// unknown kinds, must fit into one byte.
const MAX_OPERATION_KINDS: usize = 200;

/// Identity of an accepted note or configuration. It is kept permanently, so that a repeated
/// submission gets the same answer as the first one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Id of the note, or an id derived from the version of the configuration.
    pub id: String,
    /// Digest of its content.
    pub digest: [u8; 16],
}

/// The services, the importance order and the configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    revision: u64,
    services: BTreeMap<String, ServiceSpec>,
    service_revisions: BTreeMap<String, u64>,
    withdrawn_revisions: BTreeMap<String, u64>,
    importance: Vec<String>,
    importance_revision: u64,
    configuration: Option<Configuration>,
    configuration_revision: u64,
    accepted: Vec<AcceptedNote>,
}

/// Operation that matches a request, with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MatchedOperation<'a> {
    /// Service that the operation belongs to.
    pub service: &'a ServiceSpec,
    /// The operation.
    pub operation: &'a OperationSpec,
    /// Importance rank, 0 is the most important.
    pub rank: u8,
}

impl Catalogue {
    /// Number of notes and configurations accepted so far, which never decreases.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Services in force, by name.
    pub fn services(&self) -> &BTreeMap<String, ServiceSpec> {
        &self.services
    }

    /// Operation kinds, the most important first.
    pub fn importance(&self) -> &[String] {
        &self.importance
    }

    /// The whole configuration in force, if operators submitted one.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Accepted notes and configurations; the one at index `i` has revision `i + 1`. Empty on a
    /// node's copy.
    pub fn accepted(&self) -> &[AcceptedNote] {
        &self.accepted
    }

    /// Returns a copy for nodes, which do not need the accepted notes. Their number grows with
    /// every note, so that copying them with each change would cost more the older the deployment
    /// is.
    pub fn without_history(&self) -> Self {
        Self {
            revision: self.revision,
            services: self.services.clone(),
            service_revisions: self.service_revisions.clone(),
            withdrawn_revisions: self.withdrawn_revisions.clone(),
            importance: self.importance.clone(),
            importance_revision: self.importance_revision,
            configuration: self.configuration.as_ref().map(Configuration::without_document),
            configuration_revision: self.configuration_revision,
            accepted: Vec::new(),
        }
    }

    /// Returns the revision of an accepted note.
    pub fn find_note(&self, id: &str) -> Option<u64> {
        let index = self.accepted.iter().position(|accepted| accepted.id == id)?;
        u64::try_from(index + 1).ok()
    }

    /// Applies a submitted note. The answer depends only on the earlier submissions.
    pub fn submit(&mut self, note: &ReleaseNote) -> SubmitAnswer {
        let digest = note.digest();
        let next_version = self.revision + 1;
        if note.version != next_version {
            return self.answer_other_version(note, &digest);
        }
        let (services, mut mistakes) = self.apply_to_services(note);
        let importance = note.importance.as_ref().unwrap_or(&self.importance);
        mistakes.extend(check_importance(importance));
        mistakes.extend(check_operations(&services, importance));
        mistakes.extend(check_call_graph(&services));
        if note.id.is_empty() {
            mistakes.push(Mistake::new("$.id", "must not be empty"));
        }
        if self.find_note(&note.id).is_some() {
            mistakes.push(Mistake::new("$.id", "an accepted note of another version has this id"));
        }
        if !mistakes.is_empty() {
            return SubmitAnswer::Invalid { mistakes };
        }
        let importance = importance.clone();
        self.accept(note, services, importance, digest);
        SubmitAnswer::Accepted { revision: self.revision }
    }

    /// Applies a submitted configuration if its base version is the current one.
    ///
    /// A configuration that was accepted before is acknowledged again, even after later ones,
    /// because the sender may have lost the first answer.
    pub fn configure(&mut self, next: &Configuration) -> ConfigureAnswer {
        let (id, digest) = (configuration_id(next.version), next.digest());
        let is_same_submission =
            |accepted: &AcceptedNote| accepted.id == id && accepted.digest == digest;
        if self.accepted.iter().rev().any(is_same_submission) {
            return ConfigureAnswer::Accepted;
        }
        let current_version =
            self.configuration.as_ref().map_or(0, |configuration| configuration.version);
        if next.base_version != current_version {
            return ConfigureAnswer::Conflict { current_version };
        }
        let mut mistakes = next.mistakes();
        if next.version <= current_version {
            let message = format!("must be above the current version {current_version}");
            mistakes.push(Mistake::new("$.version", message));
        }
        if !mistakes.is_empty() {
            return ConfigureAnswer::Invalid { mistakes };
        }
        self.revision += 1;
        self.configuration = Some(next.clone());
        self.configuration_revision = self.revision;
        self.accepted.push(AcceptedNote { id, digest });
        ConfigureAnswer::Accepted
    }

    /// Answers a note whose version is not the next one: with acceptance if it is a repeated
    /// submission of the accepted note, else with a conflict.
    fn answer_other_version(&self, note: &ReleaseNote, digest: &[u8; 16]) -> SubmitAnswer {
        let index = note.version.checked_sub(1).and_then(|index| usize::try_from(index).ok());
        let accepted_note = index.and_then(|index| self.accepted.get(index));
        match accepted_note {
            Some(accepted_note)
                if accepted_note.id == note.id && accepted_note.digest == *digest =>
            {
                SubmitAnswer::Accepted { revision: note.version }
            }
            _ => SubmitAnswer::Conflict {
                next_version: self.revision + 1,
                winner_id: accepted_note.map(|accepted_note| accepted_note.id.clone()),
            },
        }
    }

    /// Returns the services that would be in force after the note, and the mistakes in its changes.
    fn apply_to_services(
        &self,
        note: &ReleaseNote,
    ) -> (BTreeMap<String, ServiceSpec>, Vec<Mistake>) {
        let mut services = self.services.clone();
        let mut mistakes = Vec::new();
        for (index, name) in note.withdraw.iter().enumerate() {
            if services.remove(name).is_none() {
                let path = format!("$.withdraw[{index}]");
                mistakes.push(Mistake::new(path, format!("unknown service '{name}'")));
            }
        }
        for (index, spec) in note.change.iter().enumerate() {
            if services.insert(spec.name.clone(), spec.clone()).is_none() {
                let path = format!("$.change[{index}].name");
                mistakes.push(Mistake::new(path, format!("unknown service '{}'", spec.name)));
            }
        }
        for (index, spec) in note.add.iter().enumerate() {
            let path = format!("$.add[{index}].name");
            if !is_valid_service_name(&spec.name) {
                mistakes.push(Mistake::new(
                    path.clone(),
                    "must be 1 to 63 of a-z, 0-9 and '-', starting with a letter",
                ));
            }
            if services.insert(spec.name.clone(), spec.clone()).is_some() {
                mistakes.push(Mistake::new(path, format!("'{}' exists already", spec.name)));
            }
        }
        let mut changed = BTreeSet::new();
        for (index, spec) in note.change.iter().enumerate() {
            if !changed.insert(&spec.name) {
                let path = format!("$.change[{index}].name");
                mistakes.push(Mistake::new(path, format!("'{}' is changed twice", spec.name)));
            }
        }
        (services, mistakes)
    }

    fn accept(
        &mut self,
        note: &ReleaseNote,
        services: BTreeMap<String, ServiceSpec>,
        importance: Vec<String>,
        digest: [u8; 16],
    ) {
        self.revision += 1;
        for name in &note.withdraw {
            self.service_revisions.remove(name);
            self.withdrawn_revisions.insert(name.clone(), self.revision);
        }
        for spec in note.change.iter().chain(&note.add) {
            self.service_revisions.insert(spec.name.clone(), self.revision);
            self.withdrawn_revisions.remove(&spec.name);
        }
        if note.importance.is_some() {
            self.importance_revision = self.revision;
        }
        self.services = services;
        self.importance = importance;
        self.accepted.push(AcceptedNote { id: note.id.clone(), digest });
    }

    /// Returns the changes since a revision, for a node whose copy is at that revision.
    pub fn changes_since(&self, revision: u64) -> CatalogueChanges {
        let is_newer = |changed_at: &u64| *changed_at > revision;
        let changed = self.service_revisions.iter().filter(|(_, changed_at)| is_newer(changed_at));
        let withdrawn =
            self.withdrawn_revisions.iter().filter(|(_, changed_at)| is_newer(changed_at));
        CatalogueChanges {
            from_revision: revision,
            to_revision: self.revision,
            services: changed.map(|(name, _)| self.services[name].clone()).collect(),
            withdrawn: withdrawn.map(|(name, _)| name.clone()).collect(),
            importance: is_newer(&self.importance_revision).then(|| self.importance.clone()),
            configuration: self
                .configuration
                .as_ref()
                .filter(|_| is_newer(&self.configuration_revision))
                .map(Configuration::without_document),
        }
    }

    /// Applies changes to a node's copy. Returns `false` and changes nothing if they are not newer
    /// than the copy or start after its revision.
    pub fn apply_changes(&mut self, changes: &CatalogueChanges) -> bool {
        if changes.to_revision <= self.revision || changes.from_revision > self.revision {
            return false;
        }
        for name in &changes.withdrawn {
            self.services.remove(name);
            self.service_revisions.remove(name);
            self.withdrawn_revisions.insert(name.clone(), changes.to_revision);
        }
        for spec in &changes.services {
            self.services.insert(spec.name.clone(), spec.clone());
            self.service_revisions.insert(spec.name.clone(), changes.to_revision);
            self.withdrawn_revisions.remove(&spec.name);
        }
        if let Some(importance) = &changes.importance {
            self.importance = importance.clone();
            self.importance_revision = changes.to_revision;
        }
        if let Some(configuration) = &changes.configuration {
            self.configuration = Some(configuration.clone());
            self.configuration_revision = changes.to_revision;
        }
        self.revision = changes.to_revision;
        true
    }

    /// Finds the operation of a service by method and longest path prefix.
    pub fn find_operation(
        &self,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<MatchedOperation<'_>> {
        let service = self.services.get(service)?;
        let operation = service
            .operations
            .iter()
            .filter(|operation| {
                operation.method == method && path.starts_with(&operation.path_prefix)
            })
            .max_by_key(|operation| operation.path_prefix.len())?;
        Some(MatchedOperation { service, operation, rank: self.rank(&operation.kind) })
    }

    /// Returns the rank of an operation kind; an unknown kind is the least important.
    pub fn rank(&self, kind: &str) -> u8 {
        let index =
            self.importance.iter().position(|known| known == kind).unwrap_or(self.importance.len());
        u8::try_from(index).unwrap_or(u8::MAX)
    }
}

/// Id of a configuration among the accepted notes. The space distinguishes it from the usual ids of
/// notes, which operators choose; a note whose id contains a space is not refused.
fn configuration_id(version: u64) -> String {
    format!("configuration {version}")
}

fn check_importance(importance: &[String]) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    if importance.len() > MAX_OPERATION_KINDS {
        mistakes.push(Mistake::new("$.importance", format!("at most {MAX_OPERATION_KINDS} kinds")));
    }
    let mut seen = BTreeSet::new();
    for (index, kind) in importance.iter().enumerate() {
        if !seen.insert(kind) {
            let path = format!("$.importance[{index}]");
            mistakes.push(Mistake::new(path, format!("'{kind}' is listed twice")));
        }
    }
    mistakes
}

fn check_operations(
    services: &BTreeMap<String, ServiceSpec>,
    importance: &[String],
) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for spec in services.values() {
        let base = format!("$.services.{}", spec.name);
        if spec.default_deadline_ms == 0 {
            let path = format!("{base}.default_deadline_ms");
            mistakes.push(Mistake::new(path, "must be at least 1"));
        }
        let mut seen = BTreeSet::new();
        for (index, operation) in spec.operations.iter().enumerate() {
            let path = format!("{base}.operations[{index}]");
            if !importance.contains(&operation.kind) {
                let message = format!("kind '{}' is not in the importance order", operation.kind);
                mistakes.push(Mistake::new(format!("{path}.kind"), message));
            }
            if !operation.path_prefix.starts_with('/') {
                mistakes.push(Mistake::new(format!("{path}.path_prefix"), "must start with '/'"));
            }
            if !seen.insert((&operation.method, &operation.path_prefix)) {
                mistakes.push(Mistake::new(path, "method and path prefix are listed twice"));
            }
        }
    }
    mistakes
}

/// Whether a name consists of 1 to 63 of `a-z`, `0-9` and `-`, and starts with a letter. Unlike in
/// a host name, the last character may be `-`.
fn is_valid_service_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=63).contains(&name.len())
        && name.bytes().all(is_allowed)
        && name.starts_with(|c: char| c.is_ascii_lowercase())
}
