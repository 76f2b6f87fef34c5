"""One replica of the replicated log.

The protocol is Raft with pre-vote, single-server membership changes,
learners, snapshots and leadership transfer; a leader commits by counting
replicas only for entries of its own term.  Two rules are added because disks
can be lost.  A member is identified by its name and its data folder: a
replica whose folder was emptied has lost its log and its vote, so it cannot
vote in place of the old member.  A restarted replica neither votes nor
campaigns until a majority has confirmed that it never saw a later state
acknowledged from this folder.

The class takes messages and decision inputs and returns effects.  Effects
that depend on a write are deferred until the process reports it as synced.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import decisioninputs
from eelgrassworks import effects
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import durability
from eelgrassworks.replication import folderverification
from eelgrassworks.replication import ledger
from eelgrassworks.replication import membership
from eelgrassworks.replication import replicatedlog
from eelgrassworks.replication import reports
from eelgrassworks.replication import roles
from eelgrassworks.replication import voterchoice

# Tolerates three lost heartbeats.  Timers are drawn between one and two
# timeouts, so that closing a failure domain takes effect within 3 s even if
# the leader is lost meanwhile.
ELECTION_TIMEOUT_S: Final = 0.5
# Shorter after a restart: a running leader sends a heartbeat within this time,
# and if all replicas restarted there is no leader to wait for.
FIRST_ELECTION_TIMEOUT_S: Final = 0.25
HEARTBEAT_INTERVAL_S: Final = 0.15
QUORUM_CONTACT_TIMEOUT_S: Final = 1.5
RETRY_INTERVAL_S: Final = 0.3
TRANSFER_TIMEOUT_S: Final = 1.0
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024
PROMOTION_LAG_ENTRIES: Final = 16
# Longer than a machine takes to restart, so that a restart replaces no voter.
VOTER_REPLACEMENT_TIMEOUT_S: Final = 3.0
# Longer than an election takes.  A member that no leader contacts for this
# long may have been removed meanwhile.
LEADER_SILENCE_S: Final = 3.0
# A replica that the group does not need asks again after this time.
DEFERRAL_S: Final = 1.0
# The next deferral has come by then, unless there is another leader.
DEFERRAL_MAX_AGE_S: Final = 2.0
# A member that has not answered for this long makes room for another one, long
# before a voter is replaced: the successor has to catch up meanwhile.
ABSENCE_TIMEOUT_S: Final = 1.0
ENOUGH_MEMBERS: Final = 'enough-members'


class Replica:
    """Decides on elections, replication and membership of the log."""

    def __init__(
        self,
        options: roles.ReplicaOptions,
        stored: roles.StoredState,
        inputs: decisioninputs.DecisionInputs,
    ) -> None:
        self.options = options
        self.term = stored.term
        self.vote = stored.vote
        self.log = replicatedlog.ReplicatedLog(
            stored.base_index, stored.base_term
        )
        self.commit_index = stored.base_index
        self.role: roles.Role = roles.Follower('')
        self.snapshot = b''
        self.counters: collections.Counter[str] = collections.Counter()
        self.membership = membership.Membership(
            stored.base_index, stored.members
        )
        self._append_to_log(stored.entries)
        self._applied_index = stored.base_index
        self._durability = durability.Durability(self.log.last_index)
        self._incoming_snapshot: roles.IncomingSnapshot | None = None
        self._started_s = inputs.now_s
        self._last_contact_s = float('-inf')
        self._last_request_s = float('-inf')
        self._verification = folderverification.FolderVerification(
            options.name, options.disk
        )
        self._election_due_s = inputs.now_s + FIRST_ELECTION_TIMEOUT_S * (
            1 + inputs.random_fraction
        )
        self._reports = reports.Reports()
        self._request_count = 0
        # Another replica or a relay named it; it may not lead any more.
        self._named_leader = ''
        # The leader that needs no further member, when it said so, and the
        # members at that time.
        self._deferring_leader = ''
        self._deferred_s = float('-inf')
        self._deferring_members: tuple[str, ...] = ()

    # Membership.

    @property
    def members(self) -> commands.SetMembers:
        """Return the latest members in the log, committed or not."""
        return self.membership.current

    def find_applied_members(self) -> commands.SetMembers:
        """Return the members as of the last applied entry."""
        return self.membership.find(self._applied_index)

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return isinstance(self.role, roles.Leader)

    @property
    def leader(self) -> str:
        """Return the leader's name; empty when it is unknown."""
        match self.role:
            case roles.Follower(leader):
                return leader
            case roles.Leader():
                return self.options.name
            case roles.Candidate():
                return ''

    def find_leader(self, now_s: float) -> str:
        """Return the leader's name; empty without recent contact."""
        if self._is_deferred(now_s, DEFERRAL_MAX_AGE_S):
            return self._deferring_leader
        if (
            not self.is_leader
            and now_s - self._last_contact_s >= ELECTION_TIMEOUT_S
        ):
            return ''
        return self.leader

    def _is_deferred(self, now_s: float, max_age_s: float) -> bool:
        """Return whether a leader lately said that it needs no member."""
        return not self.is_member and now_s - self._deferred_s < max_age_s

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter with this disk."""
        voters = self.members.voters
        return voters.get(self.options.name) == self.options.disk

    @property
    def is_member(self) -> bool:
        """Return whether this replica is a member with this disk."""
        learners = self.members.learners
        return (
            self.is_voter
            or learners.get(self.options.name) == self.options.disk
        )

    @property
    def is_verified(self) -> bool:
        """Return whether a majority has confirmed this data folder."""
        return self._verification.is_verified(
            self.members.voters, self.membership.majority
        )

    def add_peers(self, names: tuple[str, ...]) -> None:
        """Add replicas from which to request admission."""
        all_names = dict.fromkeys((*self.options.names, *names))
        self.options = dataclasses.replace(
            self.options, names=tuple(all_names)
        )

    def name_leader(self, leader: str) -> None:
        """Record the leader, from which to request admission as well."""
        self._named_leader = leader

    def record_addresses(
        self, known: dict[str, str], inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Propose the known addresses of members that the log lacks.

        A folder of an earlier release has no addresses of the members that
        formed the group.
        """
        if not self.has_committed_in_term() or not self._members_committed():
            return []
        members = self.members
        known = {**known, self.options.name: self.options.address}
        missing = {
            name: known[name]
            for name in (*members.voters, *members.learners)
            if name in known and name not in members.addresses
        }
        if not missing or not self.options.is_open:
            return []
        return self._propose_addresses(missing, inputs)

    def _propose_addresses(
        self,
        changed: dict[str, str],
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        members = self.members
        change = dataclasses.replace(
            members, addresses={**members.addresses, **changed}
        )
        return self.propose([codec.pack(change)], inputs)[1]

    def _list_peers(self) -> list[str]:
        members = self.members
        names = dict.fromkeys(
            (
                *self.options.names,
                *members.voters,
                *members.learners,
                *self._deferring_members,
            )
        )
        return [name for name in names if name != self.options.name]

    # Events.

    def tick(self, inputs: decisioninputs.DecisionInputs) -> effects.Effects:
        """Send what is due and campaign after an election timeout."""
        match self.role:
            case roles.Leader() as leader:
                return self._tick_leader(leader, inputs)
            case _:
                result = self._request_admission_or_verification(inputs)
                # An expired timer is not reset while the replica may not
                # campaign.  After all replicas were lost, it can then
                # campaign as soon as a second one confirms its folder.
                if inputs.now_s < self._election_due_s:
                    return result
                result += self._report_no_leader(inputs.now_s)
                if self._can_campaign():
                    result += self._campaign(
                        inputs, pre_vote=True, transfer=False
                    )
                return result

    def handle_message(
        self, peer: str, message: object, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Handle a message from another replica."""
        match message:
            case messages.AppendRequest():
                return self._handle_append(peer, message, inputs)
            case messages.AppendResponse():
                return self._handle_append_response(peer, message, inputs)
            case messages.VoteRequest():
                return self._handle_vote_request(peer, message, inputs)
            case messages.VoteResponse():
                return self._handle_vote_response(peer, message, inputs)
            case messages.SnapshotChunk():
                return self._handle_snapshot_chunk(peer, message, inputs)
            case messages.SnapshotChunkResponse():
                return self._handle_chunk_response(peer, message, inputs)
            case messages.LeadershipTransferRequest(term):
                if term != self.term or not self._can_campaign():
                    return []
                return self._campaign(inputs, pre_vote=False, transfer=True)
            case messages.VerificationRequest(disk):
                response = self._verification.make_response(disk)
                return [
                    effects.Send(peer, response),
                    *self._request_verification_from(peer),
                ]
            case messages.VerificationResponse():
                return self._handle_verification(peer, message)
            case messages.AdmissionRequest():
                return self._handle_admission(peer, message, inputs)
            case messages.AdmissionDeferred(members):
                self._deferring_leader = peer
                self._deferring_members = tuple(members)
                self._deferred_s = inputs.now_s
                return []
            case _:
                return []

    def handle_synced(
        self, sequence: int, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Handle the report that writes up to ``sequence`` are durable."""
        result = self._durability.record_synced(sequence, self.term)
        match self.role:
            case roles.Leader() as leader:
                self._advance_commit(leader)
            case roles.Candidate(False) if self._durability.is_complete:
                result += self._count_votes(inputs)
            case _:
                pass
        return result

    def propose(
        self,
        proposed: list[codec.Variant],
        inputs: decisioninputs.DecisionInputs,
    ) -> tuple[int, effects.Effects]:
        """Append commands as the leader.

        Return the index of the first one, or 0 when this replica is not the
        leader or is transferring leadership.
        """
        role = self.role
        if (
            not isinstance(role, roles.Leader)
            or role.transfer_started_s is not None
        ):
            return 0, []
        first = self.log.last_index + 1
        entries = tuple(
            messages.LogEntry(first + offset, self.term, command)
            for offset, command in enumerate(proposed)
        )
        keep = self.log.last_index
        self._append_to_log(entries)
        result = self._broadcast(role, inputs)
        return first, result + [self._write(keep, entries)]

    def poll_committed(self) -> list[messages.LogEntry]:
        """Return the entries committed since the last call, in order."""
        first = max(self._applied_index, self.log.base_index)
        entries = self.log.list_range(first, self.commit_index)
        self._applied_index = self.commit_index
        return list(entries)

    def find_quorum_contact(self, now_s: float) -> float:
        """Return the time of this leader's last contact with a quorum.

        This is the latest time such that a majority of voters has answered
        an append sent then or later; minus infinity on other replicas.
        """
        role = self.role
        if not isinstance(role, roles.Leader):
            return float('-inf')
        times = [
            now_s
            if name == self.options.name
            else role.progress[name].last_contact_s
            for name in self.members.voters
        ]
        times.sort(reverse=True)
        if len(times) < self.membership.majority:
            return float('-inf')
        return times[self.membership.majority - 1]

    def has_committed_in_term(self) -> bool:
        """Return whether this leader has committed an entry of its term."""
        role = self.role
        return (
            isinstance(role, roles.Leader)
            and self.commit_index >= role.first_index
        )

    def compact(self, data: bytes) -> effects.Effects:
        """Compact the log; ``data`` is the state after the applied entries."""
        index = self._applied_index
        term = self.log.find_term(index)
        if term is None or index == self.log.base_index:
            return []
        self.membership.trim(index)
        self.log.compact(index, term)
        self.snapshot = data
        return [self._save_snapshot(data)]

    def transfer_leadership(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Transfer leadership to the voter with the highest match index."""
        role = self.role
        if not isinstance(role, roles.Leader):
            return []
        candidates = [
            (progress.match_index, name)
            for name, progress in role.progress.items()
            if name in self.members.voters
            and inputs.now_s - progress.last_contact_s < ELECTION_TIMEOUT_S
        ]
        if not candidates:
            return []
        match, name = max(candidates)
        role.transfer_started_s = inputs.now_s
        if match < self.log.last_index:
            return self._send_append(role, name, inputs)
        return [
            effects.Send(name, messages.LeadershipTransferRequest(self.term))
        ]

    # Elections.

    def _reset_election_timer(
        self, inputs: decisioninputs.DecisionInputs
    ) -> None:
        self._election_due_s = inputs.now_s + ELECTION_TIMEOUT_S * (
            1 + inputs.random_fraction
        )

    def _can_campaign(self) -> bool:
        return self.is_voter and self.is_verified

    def _report_no_leader(self, now_s: float) -> effects.Effects:
        """Report why the time until the next election has passed."""
        voters = self.members.voters
        match self.role:
            case roles.Candidate(pre_vote, votes, _, refused_by):
                fields: dict[str, object] = {
                    'term': self.term,
                    'pre_vote': pre_vote,
                    'votes': reports.join_names(votes),
                    'refused_by': reports.join_names(refused_by),
                    'silent': reports.join_names(
                        voters.keys() - votes - refused_by
                    ),
                }
                return self._reports.report('election_failed', fields, now_s)
            case _ if self.is_voter and not self.is_verified:
                confirmed_by = self._verification.confirmed_by
                fields = {
                    'confirmed_by': reports.join_names(confirmed_by),
                    'voters': reports.join_names(voters),
                }
                return self._reports.report('folder_unverified', fields, now_s)
            case _:
                return []

    def _campaign(
        self,
        inputs: decisioninputs.DecisionInputs,
        pre_vote: bool,
        transfer: bool,
    ) -> effects.Effects:
        self._reset_election_timer(inputs)
        if not self._can_campaign():
            return []
        name = self.options.name
        self.role = roles.Candidate(pre_vote, {name}, transfer)
        if pre_vote:
            result = self._request_votes(self.term + 1, True, transfer)
            return result + self._count_votes(inputs)
        self.counters['elections'] += 1
        self.term += 1
        self.vote = name
        write = self._write(self.log.last_index, ())
        self._defer(self._request_votes(self.term, False, transfer))
        return [write]

    def _request_votes(
        self, term: int, pre_vote: bool, transfer: bool
    ) -> effects.Effects:
        request = messages.VoteRequest(
            term,
            pre_vote,
            self.log.last_index,
            self.log.last_term,
            transfer,
            self.options.disk,
        )
        return [
            effects.Send(name, request)
            for name in self.members.voters
            if name != self.options.name
        ]

    def _handle_vote_request(
        self,
        peer: str,
        request: messages.VoteRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        reason = self._find_vote_refusal(peer, request, inputs)
        if not reason and not request.trial:
            return self._grant_vote(peer, request, inputs)
        response = messages.VoteResponse(
            self.term if reason else request.term,
            request.trial,
            not reason,
            self.options.disk,
        )
        result: effects.Effects = [effects.Send(peer, response)]
        if not reason:
            return result
        fields: dict[str, object] = {'candidate': peer, 'reason': reason}
        return result + self._reports.report(
            'vote_refused', fields, inputs.now_s, peer
        )

    def _find_vote_refusal(
        self,
        peer: str,
        request: messages.VoteRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> str:
        """Return why this replica would not vote; empty if it would.

        A candidate counts the voters of its own log, which may have a later
        change than this one: a learner votes as well, and for any candidate
        but one whose disk was replaced.
        """
        if not self.is_member:
            return 'not-a-member'
        if not self.is_verified:
            return 'unverified'
        if not self.membership.may_hold_disk(peer, request.disk):
            return 'candidate-has-another-disk'
        if request.term < self.term:
            return 'earlier-term'
        if self._has_leader(inputs) and not request.transfer:
            return 'has-leader'
        own_last = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_last:
            return 'shorter-log'
        if request.term > self.term:
            return ''
        if request.trial or self.vote not in ('', peer):
            return 'has-voted'
        return ''

    def _has_leader(self, inputs: decisioninputs.DecisionInputs) -> bool:
        """Return whether a leader had contact within a timeout."""
        if isinstance(self.role, roles.Leader):
            contact_s = self.find_quorum_contact(inputs.now_s)
            return inputs.now_s - contact_s < ELECTION_TIMEOUT_S
        return inputs.now_s - self._last_contact_s < ELECTION_TIMEOUT_S

    def _grant_vote(
        self,
        peer: str,
        request: messages.VoteRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        self._adopt_term(request.term)
        self.vote = peer
        self._reset_election_timer(inputs)
        write = self._write(self.log.last_index, ())
        response = messages.VoteResponse(
            self.term, False, True, self.options.disk
        )
        self._defer([effects.Send(peer, response)])
        return [write]

    def _handle_vote_response(
        self,
        peer: str,
        response: messages.VoteResponse,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if response.granted and not response.trial:
            # Only this response waits until the term is durable.
            self._verification.record_term(response.disk, response.term)
        role = self.role
        if (
            not isinstance(role, roles.Candidate)
            or response.trial != role.pre_vote
        ):
            return []
        if self.members.voters.get(peer) != response.disk:
            return []
        if not response.granted:
            role.refused_by.add(peer)
            if response.term > self.term:
                return self._adopt_term_durably(response.term, inputs)
            return []
        expected = self.term + 1 if role.pre_vote else self.term
        if response.term != expected:
            return []
        role.votes.add(peer)
        return self._count_votes(inputs)

    def _count_votes(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        role = self.role
        if not isinstance(role, roles.Candidate):
            return []
        if (
            len(role.votes & set(self.members.voters))
            < self.membership.majority
        ):
            return []
        if role.pre_vote:
            return self._campaign(
                inputs, pre_vote=False, transfer=role.transfer
            )
        return self._become_leader(inputs)

    def _become_leader(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        self.counters['leaderships'] += 1
        next_index = self.log.last_index + 1
        progress = {
            name: roles.Progress(next_index) for name in self._list_peers()
        }
        role = roles.Leader(progress, next_index, inputs.now_s)
        self.role = role
        return self.propose([codec.pack(commands.NoOp())], inputs)[1]

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self.term = term
            self.vote = ''
        self.role = roles.Follower('')

    def _adopt_term_durably(
        self, term: int, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        if self.is_leader:
            self._reset_election_timer(inputs)
        self._adopt_term(term)
        return [self._write(self.log.last_index, ())]

    # Leader.

    def _tick_leader(
        self, role: roles.Leader, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        contact_s = max(self.find_quorum_contact(inputs.now_s), role.since_s)
        if inputs.now_s - contact_s > QUORUM_CONTACT_TIMEOUT_S:
            self.role = roles.Follower('')
            self._reset_election_timer(inputs)
            self.counters['stepped_down'] += 1
            return []
        transfer_started_s = role.transfer_started_s
        if (
            transfer_started_s is not None
            and inputs.now_s - transfer_started_s > TRANSFER_TIMEOUT_S
        ):
            role.transfer_started_s = None
        if inputs.now_s - role.last_heartbeat_s >= HEARTBEAT_INTERVAL_S:
            return self.send_heartbeats(inputs) + self._change_voters(
                role, inputs
            )
        return []

    def send_heartbeats(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Send an append request, possibly empty, to every other member."""
        role = self.role
        if not isinstance(role, roles.Leader):
            return []
        role.last_heartbeat_s = inputs.now_s
        return self._broadcast(role, inputs)

    def _list_followers(self) -> list[str]:
        members = self.members
        return [
            name
            for name in (*members.voters, *members.learners)
            if name != self.options.name
        ]

    def _broadcast(
        self, role: roles.Leader, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        result: effects.Effects = []
        for name in self._list_followers():
            result += self._send_append(role, name, inputs)
        return result

    def _send_append(
        self,
        role: roles.Leader,
        name: str,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        progress = role.progress.setdefault(
            name, roles.Progress(self.log.last_index + 1)
        )
        previous = progress.next_index - 1
        previous_term = self.log.find_term(previous)
        if previous_term is None:
            return self._send_snapshot_chunk(progress, name, inputs)
        entries = self.log.list_after(previous, progress.in_flight.size_bytes)
        progress.in_flight.record(entries)
        progress.next_index = previous + len(entries) + 1
        request = messages.AppendRequest(
            self.term,
            previous,
            previous_term,
            entries,
            self.commit_index,
            inputs.now_s,
            self._list_durable_indexes(role),
        )
        return [effects.Send(name, request)]

    def _list_durable_indexes(self, role: roles.Leader) -> dict[str, int]:
        """Return the last index that each voting disk has acknowledged."""
        own = self.options.name
        return {
            disk: self._durability.index
            if name == own
            else role.progress[name].match_index
            for name, disk in self.members.voters.items()
        }

    def _handle_append_response(
        self,
        peer: str,
        response: messages.AppendResponse,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if response.term > self.term:
            return self._adopt_term_durably(response.term, inputs)
        role = self.role
        if not isinstance(role, roles.Leader) or response.term < self.term:
            return []
        progress = role.progress.get(peer)
        if progress is None or not self.membership.holds_disk(
            peer, response.disk
        ):
            return []
        progress.last_contact_s = max(progress.last_contact_s, response.sent_s)
        progress.failure_domain = response.failure_domain
        if not response.accepted:
            if response.sent_s < progress.resent_s:
                # The entries that it lacks were sent after this request.
                return []
            if response.match < progress.match_index:
                self.counters['regressions'] += 1
            progress.resent_s = inputs.now_s
            progress.in_flight.clear()
            progress.next_index = min(
                max(response.match, 0) + 1, self.log.last_index + 1
            )
            return self._send_append(role, peer, inputs)
        self._verification.record_term(response.disk, response.term)
        self._verification.record_position(
            response.disk, response.match, response.term
        )
        progress.match_index = max(progress.match_index, response.match)
        progress.in_flight.acknowledge(response.match)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        progress.snapshot_offset = 0
        self._advance_commit(role)
        result: effects.Effects = []
        has_more = progress.next_index <= self.log.last_index
        if has_more and not progress.in_flight.size_bytes:
            result += self._send_append(role, peer, inputs)
        if role.transfer_started_s is not None:
            result += self._finish_transfer(role, peer, progress)
        return result

    def _finish_transfer(
        self, role: roles.Leader, peer: str, progress: roles.Progress
    ) -> effects.Effects:
        if progress.match_index < self.log.last_index:
            return []
        if peer not in self.members.voters:
            return []
        return [
            effects.Send(peer, messages.LeadershipTransferRequest(self.term))
        ]

    def _advance_commit(self, role: roles.Leader) -> None:
        """Advance the commit index to what a majority holds durably."""
        matches = [
            self._durability.index
            if name == self.options.name
            else role.progress[name].match_index
            for name in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[self.membership.majority - 1]
        if (
            index <= self.commit_index
            or self.log.find_term(index) != self.term
        ):
            return
        self.commit_index = index

    # Membership changes.

    def _handle_admission(
        self,
        peer: str,
        request: messages.AdmissionRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        """Add a replica as a learner, replacing a member of its name."""
        role = self.role
        if not isinstance(role, roles.Leader):
            return []
        disk, address = request.disk, request.address
        is_member = self.membership.holds_disk(peer, disk)
        if is_member and self.members.addresses.get(peer, '') == address:
            return []
        refusal = self._find_admission_refusal(peer, is_member, inputs.now_s)
        if not refusal and self._has_enough_members(
            role, peer, request.failure_domain, inputs.now_s
        ):
            refusal = ENOUGH_MEMBERS
        if refusal:
            fields: dict[str, object] = {'replica': peer, 'reason': refusal}
            result = self._reports.report(
                'admission_refused', fields, inputs.now_s, peer
            )
            if refusal == ENOUGH_MEMBERS:
                deferral = messages.AdmissionDeferred(self.members.addresses)
                result.append(effects.Send(peer, deferral))
            return result
        if is_member:
            return self._propose_addresses({peer: address}, inputs)
        members = self.members
        voters = {n: d for n, d in members.voters.items() if n != peer}
        learners = {**members.learners, peer: disk}
        addresses = dict(members.addresses)
        if address:
            addresses[peer] = address
        role.progress[peer] = roles.Progress(self.log.last_index + 1)
        self.counters['admissions'] += 1
        change = commands.SetMembers(voters, learners, addresses)
        admitted = effects.Log(
            'member_admitted',
            {
                'replica': peer,
                'disk': disk,
                'address': address,
                'was_voter': peer in members.voters,
                'voters': len(voters),
            },
        )
        return [admitted, *self.propose([codec.pack(change)], inputs)[1]]

    def _find_admission_refusal(
        self, peer: str, is_member: bool, now_s: float
    ) -> str:
        """Return why the leader cannot admit a replica now; empty if it can.

        A replica that is refused asks again.
        """
        if not self.options.is_open and peer not in self.options.names:
            return 'not-in-settings'
        if not self.has_committed_in_term():
            return 'nothing-committed'
        if not self._members_committed():
            return 'membership-change-pending'
        if is_member:
            return ''
        if self._answers(peer, now_s):
            # The request may have been sent before its disk was lost.
            return 'another-disk-answers'
        if not self.members.voters.keys() - {peer}:
            return 'only-voter'
        return ''

    def _has_enough_members(
        self, role: roles.Leader, peer: str, domain: str, now_s: float
    ) -> bool:
        """Return whether a replica that is no member is not needed.

        One that has the name of a member takes its place.
        """
        if peer in self.members.voters or peer in self.members.learners:
            return False
        return voterchoice.has_enough_members(
            self._describe_members(role, now_s, ABSENCE_TIMEOUT_S),
            domain,
            self.options.voters,
        )

    def _answers(self, name: str, now_s: float) -> bool:
        """Return whether the registered disk of a name answers this leader."""
        match self.role:
            case roles.Leader(progress) if name in progress:
                contact_s = progress[name].last_contact_s
                return now_s - contact_s < ELECTION_TIMEOUT_S
            case _:
                return False

    def _members_committed(self) -> bool:
        return self.membership.changed_index <= self.commit_index

    def _change_voters(
        self, role: roles.Leader, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Propose the next change of the voters, if one is due."""
        if not self.has_committed_in_term() or not self._members_committed():
            return []
        members = self.members
        change = voterchoice.choose_change(
            members,
            self._describe_members(role, inputs.now_s),
            self.options.name,
            self.options.voters,
        )
        voters = dict(members.voters)
        learners = dict(members.learners)
        addresses = dict(members.addresses)
        match change:
            case None:
                return []
            case voterchoice.Promotion(name):
                voters[name] = learners.pop(name)
                self.counters['promotions'] += 1
            case voterchoice.Demotion(name):
                learners[name] = voters.pop(name)
                self.counters['demotions'] += 1
            case voterchoice.Removal(name):
                del learners[name]
                addresses.pop(name, None)
                self.counters['retirements'] += 1
        changed = commands.SetMembers(voters, learners, addresses)
        line = effects.Log(
            'voters_changed',
            {
                'change': type(change).__name__.lower(),
                'replica': change.name,
                'voters': reports.join_names(voters),
            },
        )
        return [line, *self.propose([codec.pack(changed)], inputs)[1]]

    def _describe_members(
        self,
        role: roles.Leader,
        now_s: float,
        timeout_s: float = VOTER_REPLACEMENT_TIMEOUT_S,
    ) -> dict[str, voterchoice.MemberState]:
        """Return what this leader knows of the members.

        One that has not answered for ``timeout_s`` is unresponsive.
        """
        states = {
            self.options.name: voterchoice.MemberState(
                self.options.failure_domain
            )
        }
        for name in self._list_followers():
            progress = role.progress.get(name)
            if progress is None:
                states[name] = voterchoice.MemberState()
                continue
            lag = self.log.last_index - progress.match_index
            answered_s = now_s - progress.last_contact_s
            # A new leader has not been in contact with anyone before.
            unanswered_s = now_s - max(progress.last_contact_s, role.since_s)
            # A replica votes only once its log says that it is a member.
            knows_members = (
                progress.match_index >= self.membership.changed_index
            )
            states[name] = voterchoice.MemberState(
                progress.failure_domain,
                knows_members
                and lag <= PROMOTION_LAG_ENTRIES
                and answered_s <= ELECTION_TIMEOUT_S,
                unanswered_s >= timeout_s,
            )
        return states

    def count_answering_voters(self, now_s: float) -> int:
        """Return the number of voters whose disk answers this leader.

        A voter counts until it is unresponsive; 0 on other replicas.
        """
        role = self.role
        if not isinstance(role, roles.Leader):
            return 0
        states = self._describe_members(role, now_s)
        return sum(
            not states[name].is_unresponsive for name in self.members.voters
        )

    # Followers.

    def _handle_append(
        self,
        peer: str,
        request: messages.AppendRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if request.term < self.term:
            response = self._make_append_response(False, 0, request.sent_s)
            return [effects.Send(peer, response)]
        writes = self._follow_leader(peer, request.term, inputs)
        for disk, index in request.durable.items():
            # The disk may not have seen the term of this request.
            self._verification.record_position(disk, index, request.term)
        previous = request.previous_index
        own_previous_term = self.log.find_term(previous)
        if previous > self.log.last_index or (
            own_previous_term is not None
            and own_previous_term != request.previous_term
        ):
            retry_index = min(self.log.last_index, previous - 1)
            response = self._make_append_response(
                False, retry_index, request.sent_s
            )
            return writes + self._send_durably(peer, response)
        writes += self._merge(request.entries)
        match = previous + len(request.entries)
        self.commit_index = max(
            self.commit_index, min(request.commit, match, self.log.last_index)
        )
        response = self._make_append_response(True, match, request.sent_s)
        return writes + self._send_durably(peer, response)

    def _follow_leader(
        self, leader: str, term: int, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        writes: effects.Effects = []
        if term > self.term:
            writes = self._adopt_term_durably(term, inputs)
        self.role = roles.Follower(leader)
        self._last_contact_s = inputs.now_s
        self._reset_election_timer(inputs)
        return writes

    def _merge(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Effects:
        """Append new entries, truncating the log at a conflict."""
        for position, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.find_term(entry.index) == entry.term:
                continue
            keep = entry.index - 1
            if keep < self.log.last_index:
                self._truncate(keep)
            new_entries = entries[position:]
            self._append_to_log(new_entries)
            return [self._write(keep, new_entries)]
        return []

    def _make_append_response(
        self, accepted: bool, match: int, sent_s: float
    ) -> messages.AppendResponse:
        return messages.AppendResponse(
            self.term,
            accepted,
            match,
            sent_s,
            self.options.disk,
            self.options.failure_domain,
            knows_homes=True,
        )

    # Verification of this data folder.

    def _request_admission_or_verification(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Request confirmation of the folder by the peers, or admission.

        The leader only records the address of a replica that is a member.
        """
        if inputs.now_s - self._last_request_s < RETRY_INTERVAL_S:
            return []
        if self._is_deferred(inputs.now_s, DEFERRAL_S):
            return []
        self._last_request_s = inputs.now_s
        disk = self.options.disk
        peers = self._list_peers()
        result: effects.Effects = []
        if self.is_member and not self.is_verified:
            verification = messages.VerificationRequest(disk)
            result += [effects.Send(name, verification) for name in peers]
        admission = messages.AdmissionRequest(
            disk, self.options.address, self.options.failure_domain
        )
        result += [
            effects.Send(name, admission)
            for name in self._choose_admitters(peers, inputs.now_s)
        ]
        return result

    def _choose_admitters(self, peers: list[str], now_s: float) -> list[str]:
        """Return the replicas from which to request admission now.

        A member asks one at a time, and so does a replica that the group did
        not need: without a leader all of them ask.
        """
        leaders = {self.leader, self._named_leader} - {'', *peers}
        names = [*peers, *sorted(leaders)]
        if not self.is_member and not self._deferring_members:
            return names
        if (
            self.is_member
            and not self._may_be_removed(now_s)
            and self._has_recorded_address()
        ):
            return []
        self._request_count += 1
        return names and [names[self._request_count % len(names)]]

    def _has_recorded_address(self) -> bool:
        """Return whether the log has this replica's address, if it has one."""
        recorded = self.members.addresses.get(self.options.name, '')
        return not self.options.is_open or recorded == self.options.address

    def _may_be_removed(self, now_s: float) -> bool:
        """Return whether no leader has contacted this member for long.

        Nothing tells a member that is away that it is removed.
        """
        contact_s = max(self._last_contact_s, self._started_s)
        return now_s - contact_s > LEADER_SILENCE_S

    def _request_verification_from(self, peer: str) -> effects.Effects:
        """Request a confirmation from a peer that has just restarted."""
        if not self.is_member or self.is_verified:
            return []
        if self._verification.is_confirmed_by(peer):
            return []
        return [
            effects.Send(peer, messages.VerificationRequest(self.options.disk))
        ]

    def _handle_verification(
        self, peer: str, response: messages.VerificationResponse
    ) -> effects.Effects:
        if self.is_verified:
            return []
        refusal = self._verification.handle_response(
            peer,
            response,
            self.log.last_index,
            self.log.last_term,
            self.term,
        )
        return [] if refusal is None else [effects.Halt(refusal)]

    # Snapshots.

    def _send_snapshot_chunk(
        self,
        progress: roles.Progress,
        name: str,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if inputs.now_s - progress.chunk_sent_s < RETRY_INTERVAL_S:
            return []
        progress.chunk_sent_s = inputs.now_s
        start = progress.snapshot_offset
        data = self.snapshot[start : start + SNAPSHOT_CHUNK_BYTES]
        chunk = messages.SnapshotChunk(
            self.term,
            self.log.base_index,
            self.log.base_term,
            start,
            data,
            start + len(data) >= len(self.snapshot),
            inputs.now_s,
        )
        return [effects.Send(name, chunk)]

    def _handle_snapshot_chunk(
        self,
        peer: str,
        chunk: messages.SnapshotChunk,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if chunk.term < self.term:
            return []
        result = self._follow_leader(peer, chunk.term, inputs)
        if chunk.last_index <= self.commit_index:
            response = self._make_append_response(
                True, self.commit_index, chunk.sent_s
            )
            return result + self._send_durably(peer, response)
        incoming = self._incoming_snapshot
        if incoming is None or incoming.last_index != chunk.last_index:
            incoming = roles.IncomingSnapshot(
                chunk.last_index, chunk.last_term, bytearray()
            )
            self._incoming_snapshot = incoming
        in_order = chunk.offset == len(incoming.data)
        if in_order:
            incoming.data += chunk.data
        if not chunk.final or not in_order:
            return result + [
                self._make_chunk_response(peer, chunk, len(incoming.data))
            ]
        self._incoming_snapshot = None
        return result + self._install_snapshot(peer, incoming, chunk.sent_s)

    def _make_chunk_response(
        self, peer: str, chunk: messages.SnapshotChunk, offset: int
    ) -> effects.Send:
        response = messages.SnapshotChunkResponse(
            self.term, chunk.last_index, offset, chunk.sent_s
        )
        return effects.Send(peer, response)

    def _handle_chunk_response(
        self,
        peer: str,
        response: messages.SnapshotChunkResponse,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        role = self.role
        if not isinstance(role, roles.Leader) or response.term != self.term:
            return []
        progress = role.progress.get(peer)
        if progress is None or response.last_index != self.log.base_index:
            return []
        progress.last_contact_s = max(progress.last_contact_s, response.sent_s)
        progress.snapshot_offset = response.offset
        progress.chunk_sent_s = float('-inf')
        return self._send_snapshot_chunk(progress, peer, inputs)

    def _install_snapshot(
        self, peer: str, incoming: roles.IncomingSnapshot, sent_s: float
    ) -> effects.Effects:
        data = bytes(incoming.data)
        members = ledger.read_members(data)
        self.log.compact(incoming.last_index, incoming.last_term)
        self.membership = membership.Membership(incoming.last_index, members)
        self.membership.apply_entries(self.log.entries)
        self.commit_index = max(self.commit_index, incoming.last_index)
        self.snapshot = data
        self.counters['snapshots_installed'] += 1
        save = self._save_snapshot(data)
        response = self._make_append_response(
            True, incoming.last_index, sent_s
        )
        return [save, *self._send_durably(peer, response)]

    def poll_installed_snapshot(self) -> bytes | None:
        """Return a newly installed snapshot to load, or None."""
        if self._applied_index >= self.log.base_index:
            return None
        self._applied_index = self.log.base_index
        return self.snapshot

    # Log and disk.

    def _append_to_log(self, entries: tuple[messages.LogEntry, ...]) -> None:
        self.log.append(entries)
        self.membership.apply_entries(entries)

    def _truncate(self, keep: int) -> None:
        self.log.truncate(keep)
        self._durability.record_truncation(keep)
        self.membership.truncate(keep)

    def _write(
        self, keep: int, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Write:
        sequence = self._durability.record_write(self.log.last_index)
        return effects.Write(sequence, self.term, self.vote, keep, entries)

    def _save_snapshot(self, data: bytes) -> effects.SaveSnapshot:
        sequence = self._durability.record_write(self.log.last_index)
        return effects.SaveSnapshot(
            sequence,
            self.log.base_index,
            self.log.base_term,
            data,
            self.term,
            self.vote,
            tuple(self.log.entries),
        )

    def _defer(self, deferred: effects.Effects) -> None:
        """Defer effects until the last write is durable."""
        self._durability.defer(self.term, deferred)

    def _send_durably(self, peer: str, message: object) -> effects.Effects:
        result: effects.Effects = [effects.Send(peer, message)]
        if self._durability.is_complete:
            return result
        self._defer(result)
        return []

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        contact_s = self.find_quorum_contact(now_s)
        return {
            'role': type(self.role).__name__.lower(),
            'leader': self.leader,
            'term': self.term,
            'commit': self.commit_index,
            'last_index': self.log.last_index,
            'base_index': self.log.base_index,
            'disk': self.options.disk,
            'voters': dict(self.members.voters),
            'learners': dict(self.members.learners),
            'standing': self.is_verified,
            'quorum_contact_s': (
                round(now_s - contact_s, 3) if self.is_leader else None
            ),
            'counters': dict(self.counters),
        }
