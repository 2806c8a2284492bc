use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tarragon_consensus::protocol::MessageBody;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_consensus::raft::StopReason;

use crate::machine::Recorded;

/// Sees everything that happens and checks the invariants after every step.
#[derive(Default)]
pub struct Checker {
    /// Whether to pass over votes and acknowledgements that were not given by exact identities, to
    /// see what comes of it.
    pub is_identity_ignored: bool,
    /// Parts of snapshots that were sent.
    pub chunks: u64,
    /// Size of the largest part, in bytes.
    pub max_chunk_bytes: usize,
    leaders: BTreeMap<u64, ReplicaId>,
    votes: BTreeSet<(u64, ReplicaId, ReplicaId)>,
    /// Last entry acknowledged, by term, leader and follower.
    matches: BTreeMap<(u64, ReplicaId, ReplicaId), u64>,
    /// Terms of committed entries.
    committed: BTreeMap<u64, u64>,
    /// Applied commands with their answers.
    pub applied: BTreeMap<u64, (Vec<u8>, Vec<u8>)>,
    /// Indices of commands whose result a client has, with the term of the leader that answered.
    acknowledged: BTreeMap<u64, u64>,
    /// First answer that a client got for a command.
    answers: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl Checker {
    pub fn on_send(&mut self, message: &RaftMessage) {
        let RaftMessage { from, to, term, body, .. } = message;
        match body {
            MessageBody::VoteReply { is_granted: true } => {
                self.votes.insert((*term, to.clone(), from.clone()));
            }
            MessageBody::AppendReply { is_accepted: true, match_index: index, .. }
            | MessageBody::SnapshotReply { is_installed: true, index, .. } => {
                let known = self.matches.entry((*term, to.clone(), from.clone())).or_default();
                *known = (*known).max(*index);
            }
            MessageBody::SnapshotChunk { data, .. } => {
                self.chunks += 1;
                self.max_chunk_bytes = self.max_chunk_bytes.max(data.len());
            }
            _ => {}
        }
    }

    /// A committed command was applied: the same one everywhere, in order, with the same answer.
    pub fn on_apply(
        &mut self,
        id: &ReplicaId,
        index: u64,
        answer: &[u8],
        machine: &Recorded,
    ) -> Result<(), String> {
        let command = &machine.applied[&index];
        let known = self.applied.entry(index).or_insert((command.clone(), answer.to_vec()));
        if (&known.0, known.1.as_slice()) != (command, answer) {
            return Err(format!("{id} applies another command or answer at {index}"));
        }
        self.check_prefix(id, index, machine)
    }

    /// What a replica holds up to an index is what all replicas hold up to there.
    pub fn check_prefix(
        &self,
        id: &ReplicaId,
        index: u64,
        machine: &Recorded,
    ) -> Result<(), String> {
        let expected = self.applied.range(..=index).map(|(at, (command, _))| (at, command));
        if !machine.applied.iter().eq(expected) {
            return Err(format!("{id} holds other commands up to {index} than the others"));
        }
        Ok(())
    }

    pub fn on_result(
        &mut self,
        leader_term: u64,
        index: u64,
        command: &[u8],
        answer: &[u8],
        is_repeatable: bool,
    ) -> Result<(), String> {
        self.acknowledged.entry(index).or_insert(leader_term);
        let first = self.answers.entry(command.to_vec()).or_insert(answer.to_vec());
        if is_repeatable && first != answer {
            return Err(format!("a resent command got another answer at {index}"));
        }
        Ok(())
    }

    pub fn last_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Checks a replica after a step; `before` is its status before the step.
    pub fn on_step(&mut self, before: &ReplicaStatus, replica: &Replica) -> Result<(), String> {
        let status = replica.status();
        if status.role == ReplicaRole::Stopped(StopReason::CommittedConflict) {
            return Err(format!("{} was sent entries against committed ones", status.id));
        }
        self.check_commit(before, &status, replica)?;
        if status.role == ReplicaRole::Leader {
            self.check_leader(before, &status, replica)?;
        }
        Ok(())
    }

    fn check_commit(
        &mut self,
        before: &ReplicaStatus,
        status: &ReplicaStatus,
        replica: &Replica,
    ) -> Result<(), String> {
        if status.commit_index < before.commit_index {
            return Err(format!("the commit index of {} goes back", status.id));
        }
        for index in before.commit_index + 1..=status.commit_index {
            let Some(term) = replica.entry_term(index) else { continue };
            let known = *self.committed.entry(index).or_insert(term);
            if known != term {
                return Err(format!(
                    "entry {index} was committed in term {known}, {} has one of term {term}",
                    status.id
                ));
            }
        }
        Ok(())
    }

    fn check_leader(
        &mut self,
        before: &ReplicaStatus,
        status: &ReplicaStatus,
        replica: &Replica,
    ) -> Result<(), String> {
        let (id, term) = (&status.id, status.term);
        let leader = self.leaders.entry(term).or_insert(id.clone());
        if leader != id {
            return Err(format!("{leader} and {id} both lead term {term}"));
        }
        let is_new = before.role != ReplicaRole::Leader;
        if is_new {
            self.check_log_of_leader(status, replica)?;
        }
        if self.is_identity_ignored {
            return Ok(());
        }
        let has_vote =
            |v: &ReplicaId| v == id || self.votes.contains(&(term, id.clone(), v.clone()));
        if is_new && !status.configuration.is_majority(has_vote) {
            return Err(format!("{id} leads term {term} without the votes of a majority"));
        }
        let has_entry = |v: &ReplicaId| {
            let key = (term, id.clone(), v.clone());
            v == id || self.matches.get(&key).is_some_and(|m| *m >= status.commit_index)
        };
        let is_advanced = !is_new && status.commit_index > before.commit_index;
        if is_advanced && !status.configuration.is_majority(has_entry) {
            return Err(format!("{id} commits {} without a majority", status.commit_index));
        }
        Ok(())
    }

    /// A new leader has every entry whose result a client has from a leader of an earlier term.
    /// A replica that learns late that it won an old term may lack what later terms committed.
    fn check_log_of_leader(&self, status: &ReplicaStatus, replica: &Replica) -> Result<(), String> {
        for (index, _) in self.acknowledged.iter().filter(|(_, term)| **term < status.term) {
            let term = replica.entry_term(*index);
            let is_lost = *index > status.last_index
                || term.is_some_and(|t| self.committed.get(index).is_some_and(|c| *c != t));
            if is_lost {
                return Err(format!("{} leads without acknowledged entry {index}", status.id));
            }
        }
        Ok(())
    }
}
