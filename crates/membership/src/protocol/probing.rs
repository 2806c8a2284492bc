use std::net::SocketAddr;

use rand::Rng;
use tarragon_model::identity::InstanceId;

use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;
use crate::message::FINAL_VERSION;
use crate::protocol::MemberStatus;
use crate::protocol::Membership;

/// Maximum number of probes that a node handles at a time on behalf of other members; it bounds
/// memory.
const MAX_RELAYED_PROBES: usize = 256;

/// A probe that has not been answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingProbe {
    target: InstanceId,
    sequence: u32,
    started_ms: u64,
    resend_ms: u64,
    has_requested_indirect_probes: bool,
    /// Number of members that were sent a `PingRequest`.
    helpers: u32,
    nacks: u32,
}

/// A probe on behalf of another member, which sent a `PingRequest`.
#[derive(Debug, Clone)]
pub(super) struct RelayedProbe {
    /// Sequence number of the ping that this node sends.
    own_sequence: u32,
    requester: SocketAddr,
    /// Sequence number of the `PingRequest`.
    requester_sequence: u32,
    target: InstanceId,
    /// Time at which a nack is sent if the target has not answered, in ms.
    nack_ms: u64,
    has_sent_nack: bool,
    expires_ms: u64,
}

impl Membership {
    /// Starts the probe that is due and pings one failed member per reprobe interval.
    pub(super) fn start_probes(&mut self, now_ms: u64) {
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.health.scale_ms(self.settings.probe_interval_ms);
            if let Some(target) = self.next_probe_target() {
                self.start_probe(target, now_ms);
            }
        }
        if now_ms >= self.next_reprobe_ms {
            self.next_reprobe_ms = now_ms + self.jittered(self.settings.reprobe_interval_ms);
            if let Some(target) = self.table.failed.next(&mut self.rng) {
                let sequence = self.next_sequence();
                self.send_ping(target, sequence);
            }
        }
    }

    fn next_probe_target(&mut self) -> Option<InstanceId> {
        let prefers_remote = self.rng.random_bool(self.settings.remote_probe_share.clamp(0.0, 1.0));
        let table = &mut self.table;
        let is_target_remote = table.local.is_empty() || prefers_remote && !table.remote.is_empty();
        if is_target_remote {
            table.remote.next(&mut self.rng)
        } else {
            table.local.next(&mut self.rng)
        }
    }

    fn start_probe(&mut self, target: InstanceId, now_ms: u64) {
        if self.probes.iter().any(|probe| probe.target == target) {
            return;
        }
        let sequence = self.next_sequence();
        self.counts.probes += 1;
        self.probes.push(PendingProbe {
            target,
            sequence,
            started_ms: now_ms,
            resend_ms: now_ms + self.settings.probe_resend_ms,
            has_requested_indirect_probes: false,
            helpers: 0,
            nacks: 0,
        });
        self.send_ping(target, sequence);
    }

    /// Pings a member. If the member is suspected or failed, the ping carries this update, so that
    /// the member can refute it at once (Lifeguard, "buddy system").
    fn send_ping(&mut self, target: InstanceId, sequence: u32) {
        let Some(entry) = self.table.entry(target) else { return };
        let address = entry.record.gossip_address;
        let is_accused = entry.status != MemberStatus::Alive;
        let accusation =
            is_accused.then(|| self.current_update(target, /* is_full */ false)).flatten();
        let updates = self.piggyback(accusation.into_iter().collect());
        self.send(address, DatagramBody::Ping { sequence, target }, updates);
    }

    /// Handles the probes that have not been answered: resends the ping, requests indirect probes,
    /// or counts the probe as failed, depending on its age.
    pub(super) fn advance_probes(&mut self, now_ms: u64) {
        let indirect_after_ms = self.health.scale_ms(self.settings.indirect_after_ms);
        let timeout_ms = self.health.scale_ms(self.settings.probe_timeout_ms);
        let probes = std::mem::take(&mut self.probes);
        for mut probe in probes {
            let age_ms = now_ms.saturating_sub(probe.started_ms);
            if age_ms >= timeout_ms {
                self.fail_probe(&probe, now_ms);
                continue;
            }
            if now_ms >= probe.resend_ms {
                probe.resend_ms = now_ms + self.settings.probe_resend_ms;
                self.send_ping(probe.target, probe.sequence);
            }
            if age_ms >= indirect_after_ms && !probe.has_requested_indirect_probes {
                probe.has_requested_indirect_probes = true;
                probe.helpers = self.request_indirect_probes(&probe);
            }
            self.probes.push(probe);
        }
        self.advance_relayed_probes(now_ms);
    }

    /// Requests pings of a probe's target from other members (helpers); returns their number.
    fn request_indirect_probes(&mut self, probe: &PendingProbe) -> u32 {
        if !self.settings.mechanisms.has_indirect_probes {
            return 0;
        }
        let Some(entry) = self.table.entry(probe.target) else { return 0 };
        let body = DatagramBody::PingRequest {
            sequence: probe.sequence,
            target: probe.target,
            address: entry.record.gossip_address,
        };
        let mut helpers = Vec::new();
        // Helpers are taken alternately from this node's data centre and from others, so that a
        // network fault in this node's data centre is not mistaken for a failure of the target.
        for attempt in 0..self.settings.indirect_probes * 2 {
            let (local, remote) = (&self.table.local, &self.table.remote);
            let (first, second) = if attempt % 2 == 0 { (local, remote) } else { (remote, local) };
            let choice = first.choose(&mut self.rng).or_else(|| second.choose(&mut self.rng));
            let Some(helper) = choice else { break };
            if helper != probe.target && !helpers.contains(&helper) {
                helpers.push(helper);
            }
            if helpers.len() >= self.settings.indirect_probes {
                break;
            }
        }
        for helper in &helpers {
            if let Some(address) = self.table.entry(*helper).map(|e| e.record.gossip_address) {
                let updates = self.piggyback(Vec::new());
                self.send(address, body, updates);
            }
        }
        helpers.len() as u32
    }

    /// Worsens the local health score after a failed probe and suspects its target.
    fn fail_probe(&mut self, probe: &PendingProbe, now_ms: u64) {
        self.counts.failed_probes += 1;
        // Helpers that did not even send a nack indicate a fault of this node or its network. If
        // all of them sent one, this node is healthy and the target is not.
        let points = if probe.helpers == 0 { 1 } else { probe.helpers.saturating_sub(probe.nacks) };
        self.health.worsen(points);
        let Some(entry) = self.table.entry(probe.target) else { return };
        if entry.status.is_reachable() {
            let version = entry.status_version;
            if entry.status == MemberStatus::Alive {
                self.counts.suspicions += 1;
            }
            self.suspect(probe.target, version, self.own_accuser_id(), now_ms);
        }
    }

    pub(super) fn postpone_probes(&mut self, gap_ms: u64) {
        for probe in &mut self.probes {
            probe.started_ms += gap_ms;
            probe.resend_ms += gap_ms;
        }
        for relay in &mut self.relayed_probes {
            relay.nack_ms += gap_ms;
            relay.expires_ms += gap_ms;
        }
    }

    /// Answers a ping. If the ping is for an earlier instance at this address, the answer reports
    /// that instance as dead.
    pub(super) fn answer_ping(
        &mut self,
        from: SocketAddr,
        header: &DatagramHeader,
        sequence: u32,
        target: InstanceId,
        is_accused: bool,
    ) {
        let mut directed = Vec::new();
        if target != self.own_record.instance {
            directed.push(MemberUpdate::Dead { instance: target, version: FINAL_VERSION });
        }
        if target != self.own_record.instance || is_accused {
            directed.push(MemberUpdate::Full(Box::new(self.own_record.clone())));
        }
        directed.extend(self.update_about_sender(header.instance));
        let updates = self.piggyback(directed);
        self.send(
            from,
            DatagramBody::Ack { sequence, responder: self.own_record.instance },
            updates,
        );
    }

    /// Update about the sender of a ping if this node has no record of it or does not list it as
    /// alive, so that the sender can send its record or refute the status.
    fn update_about_sender(&self, sender: InstanceId) -> Option<MemberUpdate> {
        match self.status_of(sender) {
            None => Some(MemberUpdate::Unknown { instance: sender }),
            Some(MemberStatus::Alive | MemberStatus::Left) => None,
            Some(_) => self.current_update(sender, /* is_full */ false),
        }
    }

    /// Pings a target on behalf of the member that sent a `PingRequest`.
    pub(super) fn relay_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        target: InstanceId,
        address: SocketAddr,
        now_ms: u64,
    ) {
        if target == self.own_record.instance {
            self.send(from, DatagramBody::Ack { sequence, responder: target }, Vec::new());
            return;
        }
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let own_sequence = self.next_sequence();
        let span_ms =
            self.settings.probe_timeout_ms.saturating_sub(self.settings.indirect_after_ms);
        self.relayed_probes.push(RelayedProbe {
            own_sequence,
            requester: from,
            requester_sequence: sequence,
            target,
            nack_ms: now_ms + span_ms / 2,
            has_sent_nack: false,
            expires_ms: now_ms + span_ms * 2,
        });
        self.send(address, DatagramBody::Ping { sequence: own_sequence, target }, Vec::new());
    }

    /// Drops expired relayed probes and sends a nack for those without an answer so far.
    fn advance_relayed_probes(&mut self, now_ms: u64) {
        self.relayed_probes.retain(|relay| relay.expires_ms > now_ms);
        let mut nacks = Vec::new();
        for relay in &mut self.relayed_probes {
            if now_ms >= relay.nack_ms && !relay.has_sent_nack {
                relay.has_sent_nack = true;
                nacks.push((relay.requester, relay.requester_sequence));
            }
        }
        for (to, sequence) in nacks {
            self.send(to, DatagramBody::Nack { sequence }, Vec::new());
        }
    }

    /// Completes a probe of this node, or forwards the answer to the member that requested an
    /// indirect probe. An answer from another instance than the target counts only if its updates
    /// caused the target to be removed.
    pub(super) fn handle_ack(&mut self, sequence: u32, responder: InstanceId) {
        let is_removed = |id: InstanceId| self.table.entry(id).is_none();
        let is_answer = |target: InstanceId| responder == target || is_removed(target);
        if let Some(index) = self.probes.iter().position(|p| p.sequence == sequence) {
            if is_answer(self.probes[index].target) {
                self.probes.swap_remove(index);
                self.health.improve();
            }
        } else if let Some(index) =
            self.relayed_probes.iter().position(|r| r.own_sequence == sequence)
        {
            if is_answer(self.relayed_probes[index].target) {
                let relay = self.relayed_probes.swap_remove(index);
                let mut updates = Vec::new();
                if responder != relay.target {
                    updates.extend(self.current_update(relay.target, /* is_full */ false));
                    updates.extend(self.current_update(responder, /* is_full */ true));
                }
                let body = DatagramBody::Ack { sequence: relay.requester_sequence, responder };
                self.send(relay.requester, body, updates);
            }
        }
    }

    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }
}
