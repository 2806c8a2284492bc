use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::MessageBody;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_consensus::raft::StopReason;

use crate::machine::RecordingMachine;

/// Observes all messages, applied commands and results, and checks the invariants after every step.
#[derive(Default)]
pub struct Checker {
    /// Whether to skip the checks that a majority voted and acknowledged, so that a run with
    /// ignored disk ids continues until a command is lost.
    pub is_majority_check_skipped: bool,
    /// Ids of the lost disks.
    pub lost_disks: BTreeSet<DiskId>,
    /// Number of snapshot chunks sent.
    pub chunk_count: u64,
    /// Size of the largest chunk, in bytes.
    pub max_chunk_bytes: usize,
    leaders: BTreeMap<u64, ReplicaId>,
    /// Lost members that a voter was told of when it voted, by term, candidate and voter.
    votes: BTreeMap<(u64, ReplicaId, ReplicaId), BTreeSet<ReplicaId>>,
    /// Last acknowledged entry, by term, leader and follower.
    match_indices: BTreeMap<(u64, ReplicaId, ReplicaId), u64>,
    /// Terms of committed entries, by index.
    committed_terms: BTreeMap<u64, u64>,
    /// Applied commands with their results, by index.
    pub applied: BTreeMap<u64, (Vec<u8>, Vec<u8>)>,
    /// Indices of commands whose result a client received, with the term of the responding leader.
    acknowledged_terms: BTreeMap<u64, u64>,
    /// First result that a client received, by command.
    first_results: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl Checker {
    pub fn on_send(&mut self, message: &RaftMessage) {
        let RaftMessage { from, to, term, body, .. } = message;
        match body {
            MessageBody::VoteReply { is_granted: true, lost_members } => {
                let key = (*term, to.clone(), from.clone());
                self.votes.entry(key).or_default().extend(lost_members.iter().cloned());
            }
            MessageBody::AppendReply { is_accepted: true, match_index: index, .. }
            | MessageBody::SnapshotReply { is_installed: true, index, .. } => {
                let last_match =
                    self.match_indices.entry((*term, to.clone(), from.clone())).or_default();
                *last_match = (*last_match).max(*index);
            }
            MessageBody::SnapshotChunk { data, .. } => {
                self.chunk_count += 1;
                self.max_chunk_bytes = self.max_chunk_bytes.max(data.len());
            }
            _ => {}
        }
    }

    /// Checks that all replicas apply the same commands in the same order with the same results.
    pub fn on_apply(
        &mut self,
        id: &ReplicaId,
        index: u64,
        result: &[u8],
        machine: &RecordingMachine,
    ) -> Result<(), String> {
        let command = &machine.applied[&index];
        let expected = self.applied.entry(index).or_insert((command.clone(), result.to_vec()));
        if (&expected.0, expected.1.as_slice()) != (command, result) {
            return Err(format!("{id} applies another command or result at {index}"));
        }
        self.check_prefix(id, index, machine)
    }

    /// Checks that a replica has applied the same commands up to an index as all others.
    pub fn check_prefix(
        &self,
        id: &ReplicaId,
        index: u64,
        machine: &RecordingMachine,
    ) -> Result<(), String> {
        let expected = self.applied.range(..=index).map(|(at, (command, _))| (at, command));
        if !machine.applied.iter().eq(expected) {
            return Err(format!("{id} has applied other commands up to {index} than the others"));
        }
        Ok(())
    }

    pub fn on_result(
        &mut self,
        leader_term: u64,
        index: u64,
        command: &[u8],
        result: &[u8],
        is_resend_idempotent: bool,
    ) -> Result<(), String> {
        self.acknowledged_terms.entry(index).or_insert(leader_term);
        let first = self.first_results.entry(command.to_vec()).or_insert(result.to_vec());
        if is_resend_idempotent && first != result {
            return Err(format!("a resent command got another result at {index}"));
        }
        Ok(())
    }

    pub fn last_acknowledged_index(&self) -> u64 {
        self.acknowledged_terms.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Checks a replica after a step; `before` is its status before the step.
    pub fn on_step(&mut self, before: &ReplicaStatus, replica: &Replica) -> Result<(), String> {
        let status = replica.status();
        if status.role == ReplicaRole::Stopped(StopReason::CommittedConflict) {
            return Err(format!(
                "{} was sent entries that conflict with committed ones",
                status.id
            ));
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
            return Err(format!("the commit index of {} decreases", status.id));
        }
        for index in before.commit_index + 1..=status.commit_index {
            let Some(term) = replica.entry_term(index) else { continue };
            let expected = *self.committed_terms.entry(index).or_insert(term);
            if expected != term {
                return Err(format!(
                    "entry {index} was committed in term {expected}, {} has one of term {term}",
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
        if self.is_majority_check_skipped {
            return Ok(());
        }
        let has_vote = |v: &ReplicaId, lost: Option<&ReplicaId>| {
            let known = self.votes.get(&(term, id.clone(), v.clone()));
            let knows_loss = |known: &BTreeSet<ReplicaId>| lost.is_none_or(|l| known.contains(l));
            v == id || known.is_some_and(knows_loss)
        };
        if is_new && !self.is_quorum(&status.configuration, has_vote) {
            return Err(format!("{id} leads term {term} without the votes of a quorum"));
        }
        let has_entry = |v: &ReplicaId, _: Option<&ReplicaId>| {
            let key = (term, id.clone(), v.clone());
            v == id || self.match_indices.get(&key).is_some_and(|m| *m >= status.commit_index)
        };
        let is_advanced = !is_new && status.commit_index > before.commit_index;
        if is_advanced && !self.is_quorum(&status.configuration, has_entry) {
            return Err(format!("{id} commits {} without a quorum", status.commit_index));
        }
        Ok(())
    }

    /// Whether voters decide by a majority, or by half of an even number of which one has lost its
    /// disk. `is_counted` gets that lost voter, if there is one.
    fn is_quorum(
        &self,
        members: &ClusterConfiguration,
        is_counted: impl Fn(&ReplicaId, Option<&ReplicaId>) -> bool,
    ) -> bool {
        let voters = &members.voters;
        let decides_without = |lost: &ReplicaId| {
            let others = voters.iter().filter(|id| *id != lost);
            others.filter(|id| is_counted(id, Some(lost))).count() * 2 >= voters.len()
        };
        let mut lost = voters.iter().filter(|id| self.lost_disks.contains(&id.disk));
        members.is_majority(|id| is_counted(id, None))
            || (members.may_decide_by_half() && lost.any(decides_without))
    }

    /// Checks that a new leader has every entry whose result a client received from a leader of an
    /// earlier term. Entries of later terms are not checked: a replica that receives the deciding
    /// vote late becomes leader of an old term, and may lack entries that later terms committed.
    fn check_log_of_leader(&self, status: &ReplicaStatus, replica: &Replica) -> Result<(), String> {
        for (index, _) in self.acknowledged_terms.iter().filter(|(_, term)| **term < status.term) {
            let term = replica.entry_term(*index);
            let is_lost = *index > status.last_index
                || term.is_some_and(|t| self.committed_terms.get(index).is_some_and(|c| *c != t));
            if is_lost {
                return Err(format!("{} leads without acknowledged entry {index}", status.id));
            }
        }
        Ok(())
    }
}
