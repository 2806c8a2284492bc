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

/// Most operation kinds that an importance order may have, because a rank is one byte.
const MAX_KINDS: usize = 200;

/// Identity of an accepted note or configuration, kept for ever so that a note sent again gets its first answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Id of the note.
    pub id: String,
    /// Digest of its content.
    pub digest: [u8; 16],
}

/// The services, the order of importance and the configuration that are in force.
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

/// An operation found for a request, with its rank resolved.
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
    /// Number of notes and configurations accepted so far; it never goes down.
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

    /// The whole configuration in force, if operators submitted any.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Accepted notes and configurations; the one at index `i` has revision `i + 1`. Empty on a
    /// node's copy.
    pub fn accepted(&self) -> &[AcceptedNote] {
        &self.accepted
    }

    /// A copy for nodes, which need no accepted notes. Those grow with every note for ever, and
    /// copying them with each change would cost more the older the deployment is.
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

    /// Revision of an accepted note.
    pub fn find_note(&self, id: &str) -> Option<u64> {
        let at = self.accepted.iter().position(|accepted| accepted.id == id)?;
        u64::try_from(at + 1).ok()
    }

    /// Applies a submitted note. The answer depends on nothing but the earlier notes.
    pub fn submit(&mut self, note: &ReleaseNote) -> SubmitAnswer {
        let digest = note.digest();
        let next_version = self.revision + 1;
        if note.version != next_version {
            return self.answer_repeat(note, &digest);
        }
        let (services, mut mistakes) = self.services_after(note);
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

    /// Applies a submitted configuration if it builds on the current one.
    ///
    /// One that was accepted before gets the same answer again, whatever came after it: the sender
    /// may have lost the first answer.
    pub fn configure(&mut self, next: &Configuration) -> ConfigureAnswer {
        let (id, digest) = (configuration_id(next.version), next.digest());
        let is_repeat = |known: &AcceptedNote| known.id == id && known.digest == digest;
        if self.accepted.iter().rev().any(is_repeat) {
            return ConfigureAnswer::Accepted;
        }
        let current_version = self.configuration.as_ref().map_or(0, |known| known.version);
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

    /// Answers a note whose version is not the next one: its first answer, or a conflict.
    fn answer_repeat(&self, note: &ReleaseNote, digest: &[u8; 16]) -> SubmitAnswer {
        let at = note.version.checked_sub(1).and_then(|at| usize::try_from(at).ok());
        let holder = at.and_then(|at| self.accepted.get(at));
        match holder {
            Some(holder) if holder.id == note.id && holder.digest == *digest => {
                SubmitAnswer::Accepted { revision: note.version }
            }
            _ => SubmitAnswer::Conflict {
                next_version: self.revision + 1,
                winner_id: holder.map(|holder| holder.id.clone()),
            },
        }
    }

    /// Services that would be in force after the note, and the mistakes on the way.
    fn services_after(&self, note: &ReleaseNote) -> (BTreeMap<String, ServiceSpec>, Vec<Mistake>) {
        let mut services = self.services.clone();
        let mut mistakes = Vec::new();
        for (at, name) in note.withdraw.iter().enumerate() {
            if services.remove(name).is_none() {
                let path = format!("$.withdraw[{at}]");
                mistakes.push(Mistake::new(path, format!("unknown service '{name}'")));
            }
        }
        for (at, spec) in note.change.iter().enumerate() {
            if services.insert(spec.name.clone(), spec.clone()).is_none() {
                let path = format!("$.change[{at}].name");
                mistakes.push(Mistake::new(path, format!("unknown service '{}'", spec.name)));
            }
        }
        for (at, spec) in note.add.iter().enumerate() {
            let path = format!("$.add[{at}].name");
            if !is_label(&spec.name) {
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
        for (at, spec) in note.change.iter().enumerate() {
            if !changed.insert(&spec.name) {
                let path = format!("$.change[{at}].name");
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

    /// Changes since a revision, for a node that has reached it.
    pub fn changes_since(&self, revision: u64) -> CatalogueChanges {
        let is_newer = |at: &u64| *at > revision;
        let changed = self.service_revisions.iter().filter(|(_, at)| is_newer(at));
        let withdrawn = self.withdrawn_revisions.iter().filter(|(_, at)| is_newer(at));
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

    /// Brings a node's copy forward. Returns false, changing nothing, if the changes are not newer
    /// or start after the copy's revision.
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
            .filter(|o| o.method == method && path.starts_with(&o.path_prefix))
            .max_by_key(|o| o.path_prefix.len())?;
        Some(MatchedOperation { service, operation, rank: self.rank(&operation.kind) })
    }

    /// Rank of an operation kind; an unknown kind is the least important.
    pub fn rank(&self, kind: &str) -> u8 {
        let at = self.importance.iter().position(|k| k == kind).unwrap_or(self.importance.len());
        u8::try_from(at).unwrap_or(u8::MAX)
    }
}

/// Identity of a configuration among the accepted notes. The blank keeps it apart from the ids of
/// notes that operators choose.
fn configuration_id(version: u64) -> String {
    format!("configuration {version}")
}

fn check_importance(importance: &[String]) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    if importance.len() > MAX_KINDS {
        mistakes.push(Mistake::new("$.importance", format!("at most {MAX_KINDS} kinds")));
    }
    let mut seen = BTreeSet::new();
    for (at, kind) in importance.iter().enumerate() {
        if !seen.insert(kind) {
            let path = format!("$.importance[{at}]");
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
        for (at, operation) in spec.operations.iter().enumerate() {
            let path = format!("{base}.operations[{at}]");
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

/// Whether a name can be the first label of a host name.
fn is_label(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=63).contains(&name.len())
        && name.bytes().all(is_allowed)
        && name.starts_with(|c: char| c.is_ascii_lowercase())
}
