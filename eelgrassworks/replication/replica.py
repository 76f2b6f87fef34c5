"""One replica of the replicated log.

The protocol is Raft's: terms, votes, a trial vote before an election, a
commit index that only counts entries of the leader's own term, membership
that changes by one voter at a time, snapshots and leadership transfer.  Two
things differ, because disks can be lost.  A member is a name together with
the identity of its data folder, so an emptied folder never votes for what it
has forgotten; and a restarted replica neither votes nor stands until a
majority has said that it never saw more from this folder than it holds.

The class takes messages and moments and returns effects.  Whatever depends
on durability is held back until the process reports the write as synced.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import effects
from eelgrassworks import moments
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import durability
from eelgrassworks.replication import ledger
from eelgrassworks.replication import membership
from eelgrassworks.replication import replicatedlog
from eelgrassworks.replication import roles
from eelgrassworks.replication import standing

# Three lost heartbeats; with the second at random above it a close that
# meets a lost leader is in force within 3 s.
ELECTION_S: Final = 0.5
# After a restart: a replica that finds a leader hears of it within this
# time, and if all have restarted nobody is there to wait for.
FIRST_ELECTION_S: Final = 0.25
HEARTBEAT_S: Final = 0.15
QUORUM_PATIENCE_S: Final = 1.5
ASK_INTERVAL_S: Final = 0.3
TRANSFER_PATIENCE_S: Final = 1.0
SNAPSHOT_PART_BYTES: Final = 256 * 1024
PROMOTION_LAG: Final = 16
# Longer than a machine takes to restart, so that a restart replaces nobody.
REPLACE_SILENT_S: Final = 3.0


class Replica:
    """The decision class of the replicated log."""

    def __init__(
        self,
        options: roles.ReplicaOptions,
        stored: roles.Stored,
        moment: moments.Moment,
    ) -> None:
        self.options = options
        self.term = stored.term
        self.vote = stored.vote
        self.log = replicatedlog.ReplicatedLog(
            stored.base_index, stored.base_term
        )
        self.commit = stored.base_index
        self.role: roles.Role = roles.Follower('')
        self.snapshot = b''
        self.counters: collections.Counter[str] = collections.Counter()
        self.membership = membership.Membership(
            stored.base_index, stored.members
        )
        self._append_to_log(stored.entries)
        self._taken = stored.base_index
        self._durability = durability.Durability(self.log.last_index)
        self._incoming: roles.Incoming | None = None
        self._heard_s = float('-inf')
        self._asked_s = float('-inf')
        self._standing = standing.Standing(options.name, options.disk)
        self._election_s = moment.now_s + FIRST_ELECTION_S * (
            1 + moment.entropy
        )

    # Membership.

    @property
    def members(self) -> commands.SetMembers:
        """Return the latest members in the log, committed or not."""
        return self.membership.current

    def find_taken_members(self) -> commands.SetMembers:
        """Return the members as of the last taken entry."""
        return self.membership.find(self._taken)

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads."""
        return isinstance(self.role, roles.Leader)

    @property
    def leader(self) -> str:
        """Return the leader's name; empty when it is not known."""
        match self.role:
            case roles.Follower(leader):
                return leader
            case roles.Leader():
                return self.options.name
            case roles.Candidate():
                return ''

    def find_leader(self, now_s: float) -> str:
        """Return the leader's name unless it has fallen silent."""
        if not self.is_leader and now_s - self._heard_s >= ELECTION_S:
            return ''
        return self.leader

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica and this disk are a voter."""
        voters = self.members.voters
        return voters.get(self.options.name) == self.options.disk

    @property
    def is_member(self) -> bool:
        """Tell whether this replica and this disk are a member."""
        learners = self.members.learners
        return (
            self.is_voter
            or learners.get(self.options.name) == self.options.disk
        )

    @property
    def has_standing(self) -> bool:
        """Tell whether a majority vouched for this data folder."""
        return self._standing.is_given(
            self.members.voters, self.membership.majority
        )

    def learn_names(self, names: tuple[str, ...]) -> None:
        """Ask these replicas as well for admission."""
        known = dict.fromkeys((*self.options.names, *names))
        self.options = dataclasses.replace(self.options, names=tuple(known))

    def _others(self) -> list[str]:
        members = self.members
        known = dict.fromkeys(
            (*self.options.names, *members.voters, *members.learners)
        )
        return [name for name in known if name != self.options.name]

    # Events.

    def tick(self, moment: moments.Moment) -> effects.Effects:
        """Let time pass."""
        match self.role:
            case roles.Leader() as leader:
                return self._tick_leader(leader, moment)
            case _:
                asked = self._ask_standing(moment)
                # One that may not stand yet is not put off by a whole
                # election time: after a loss of all, the second to return is
                # what the first one waits for.
                if moment.now_s >= self._election_s and self._may_stand():
                    asked += self._stand(moment, trial=True, transfer=False)
                return asked

    def receive(
        self, peer: str, message: object, moment: moments.Moment
    ) -> effects.Effects:
        """Take a message of another replica."""
        match message:
            case messages.AppendAsked():
                return self._take_append(peer, message, moment)
            case messages.AppendTold():
                return self._take_appended(peer, message, moment)
            case messages.VoteAsked():
                return self._take_vote_asked(peer, message, moment)
            case messages.VoteTold():
                return self._take_vote(peer, message, moment)
            case messages.SnapshotPart():
                return self._take_part(peer, message, moment)
            case messages.SnapshotPartTold():
                return self._take_part_told(peer, message, moment)
            case messages.LeadershipOffered(term):
                if term != self.term or not self._may_stand():
                    return []
                return self._stand(moment, trial=False, transfer=True)
            case messages.StandingAsked(disk):
                told = self._standing.tell(disk)
                return [effects.Send(peer, told), *self._ask_back(peer)]
            case messages.StandingTold():
                return self._take_standing(peer, message)
            case messages.AdmissionAsked(disk, address):
                return self._take_admission(peer, disk, address, moment)
            case _:
                return []

    def note_synced(
        self, sequence: int, moment: moments.Moment
    ) -> effects.Effects:
        """Take the report that writes up to ``sequence`` are durable."""
        asked = self._durability.note_synced(sequence, self.term)
        match self.role:
            case roles.Leader() as leader:
                self._advance_commit(leader)
            case roles.Candidate(False) if self._durability.is_complete:
                asked += self._count_votes(moment)
            case _:
                pass
        return asked

    def propose(
        self, proposed: list[codec.Variant], moment: moments.Moment
    ) -> tuple[int, effects.Effects]:
        """Append commands as the leader.

        Return the index of the first one, or 0 when this replica does not
        lead or hands leadership over.
        """
        role = self.role
        if (
            not isinstance(role, roles.Leader)
            or role.transferring_s is not None
        ):
            return 0, []
        first = self.log.last_index + 1
        entries = tuple(
            messages.LogEntry(first + offset, self.term, command)
            for offset, command in enumerate(proposed)
        )
        keep = self.log.last_index
        self._append_to_log(entries)
        asked = self._broadcast(role, moment)
        return first, asked + [self._write(keep, entries)]

    def take_committed(self) -> list[messages.LogEntry]:
        """Return the newly committed entries, each once, in order."""
        first = max(self._taken, self.log.base_index)
        entries = self.log.list_after(first, self.commit - first)
        self._taken = self.commit
        return list(entries)

    def measure_contact(self, now_s: float) -> float:
        """Return when, at the latest, a quorum followed this leader.

        The result is the sending time of appends that a majority of voters
        answered; minus infinity when this replica does not lead.
        """
        role = self.role
        if not isinstance(role, roles.Leader):
            return float('-inf')
        times = [
            now_s
            if name == self.options.name
            else role.progress[name].contact_s
            for name in self.members.voters
        ]
        times.sort(reverse=True)
        if len(times) < self.membership.majority:
            return float('-inf')
        return times[self.membership.majority - 1]

    def is_settled(self) -> bool:
        """Tell whether the leader has committed an entry of its term."""
        role = self.role
        return isinstance(role, roles.Leader) and self.commit >= role.opening

    def compact(self, data: bytes) -> effects.Effects:
        """Take a snapshot of the state after every taken entry."""
        index = self._taken
        term = self.log.find_term(index)
        if term is None or index == self.log.base_index:
            return []
        self.membership.trim(index)
        self.log.compact(index, term)
        self.snapshot = data
        return [self._save_snapshot(data)]

    def transfer(self, moment: moments.Moment) -> effects.Effects:
        """Hand leadership to the voter that is furthest ahead."""
        role = self.role
        if not isinstance(role, roles.Leader):
            return []
        candidates = [
            (progress.match, name)
            for name, progress in role.progress.items()
            if name in self.members.voters
            and moment.now_s - progress.contact_s < ELECTION_S
        ]
        if not candidates:
            return []
        match, name = max(candidates)
        role.transferring_s = moment.now_s
        if match < self.log.last_index:
            return self._send_append(role, name, moment)
        return [effects.Send(name, messages.LeadershipOffered(self.term))]

    # Elections.

    def _set_election(self, moment: moments.Moment) -> None:
        self._election_s = moment.now_s + ELECTION_S * (1 + moment.entropy)

    def _may_stand(self) -> bool:
        return self.is_voter and self.has_standing

    def _stand(
        self, moment: moments.Moment, trial: bool, transfer: bool
    ) -> effects.Effects:
        self._set_election(moment)
        if not self._may_stand():
            return []
        name = self.options.name
        self.role = roles.Candidate(trial, {name}, transfer)
        if trial:
            asked = self._ask_votes(self.term + 1, True, transfer)
            return asked + self._count_votes(moment)
        self.counters['elections'] += 1
        self.term += 1
        self.vote = name
        write = self._write(self.log.last_index, ())
        self._hold(self._ask_votes(self.term, False, transfer))
        return [write]

    def _ask_votes(
        self, term: int, trial: bool, transfer: bool
    ) -> effects.Effects:
        asked = messages.VoteAsked(
            term,
            trial,
            self.log.last_index,
            self.log.last_term,
            transfer,
            self.options.disk,
        )
        return [
            effects.Send(name, asked)
            for name in self.members.voters
            if name != self.options.name
        ]

    def _take_vote_asked(
        self, peer: str, asked: messages.VoteAsked, moment: moments.Moment
    ) -> effects.Effects:
        granted = self._judge_candidate(peer, asked, moment)
        if granted and not asked.trial:
            return self._grant_vote(peer, asked, moment)
        told = messages.VoteTold(
            asked.term if granted else self.term,
            asked.trial,
            granted,
            self.options.disk,
        )
        return [effects.Send(peer, told)]

    def _judge_candidate(
        self, peer: str, asked: messages.VoteAsked, moment: moments.Moment
    ) -> bool:
        """Tell whether this replica would vote for the candidate."""
        if not self._may_stand():
            return False
        if self.members.voters.get(peer) != asked.disk:
            return False
        if asked.term < self.term:
            return False
        if self._has_leader(moment) and not asked.transfer:
            return False
        ours = (self.log.last_term, self.log.last_index)
        if (asked.last_term, asked.last_index) < ours:
            return False
        if asked.trial:
            return asked.term > self.term
        return asked.term > self.term or self.vote in ('', peer)

    def _has_leader(self, moment: moments.Moment) -> bool:
        """Tell whether a leader was heard within the election time."""
        if isinstance(self.role, roles.Leader):
            contact_s = self.measure_contact(moment.now_s)
            return moment.now_s - contact_s < ELECTION_S
        return moment.now_s - self._heard_s < ELECTION_S

    def _grant_vote(
        self, peer: str, asked: messages.VoteAsked, moment: moments.Moment
    ) -> effects.Effects:
        self._adopt_term(asked.term)
        self.vote = peer
        self._set_election(moment)
        write = self._write(self.log.last_index, ())
        told = messages.VoteTold(self.term, False, True, self.options.disk)
        self._hold([effects.Send(peer, told)])
        return [write]

    def _take_vote(
        self, peer: str, told: messages.VoteTold, moment: moments.Moment
    ) -> effects.Effects:
        self._standing.note_seen(told.disk, 0, told.term)
        role = self.role
        if not isinstance(role, roles.Candidate) or told.trial != role.trial:
            return []
        if self.members.voters.get(peer) != told.disk:
            return []
        if not told.granted:
            if told.term > self.term:
                return self._follow_term(told.term, moment)
            return []
        expected = self.term + 1 if role.trial else self.term
        if told.term != expected:
            return []
        role.votes.add(peer)
        return self._count_votes(moment)

    def _count_votes(self, moment: moments.Moment) -> effects.Effects:
        role = self.role
        if not isinstance(role, roles.Candidate):
            return []
        if (
            len(role.votes & set(self.members.voters))
            < self.membership.majority
        ):
            return []
        if role.trial:
            return self._stand(moment, trial=False, transfer=role.transfer)
        return self._lead(moment)

    def _lead(self, moment: moments.Moment) -> effects.Effects:
        self.counters['leaderships'] += 1
        following = self.log.last_index + 1
        progress = {name: roles.Progress(following) for name in self._others()}
        role = roles.Leader(progress, following, moment.now_s)
        self.role = role
        return self.propose([codec.pack(commands.NoOp())], moment)[1]

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self.term = term
            self.vote = ''
        self.role = roles.Follower('')

    def _follow_term(
        self, term: int, moment: moments.Moment
    ) -> effects.Effects:
        if self.is_leader:
            self._set_election(moment)
        self._adopt_term(term)
        return [self._write(self.log.last_index, ())]

    # The leader.

    def _tick_leader(
        self, role: roles.Leader, moment: moments.Moment
    ) -> effects.Effects:
        contact_s = max(self.measure_contact(moment.now_s), role.since_s)
        if moment.now_s - contact_s > QUORUM_PATIENCE_S:
            self.role = roles.Follower('')
            self._set_election(moment)
            self.counters['stepped_down'] += 1
            return []
        transfer_s = role.transferring_s
        if (
            transfer_s is not None
            and moment.now_s - transfer_s > TRANSFER_PATIENCE_S
        ):
            role.transferring_s = None
        if moment.now_s - role.heartbeat_s >= HEARTBEAT_S:
            return self.beat(moment) + self._promote(role, moment)
        return []

    def beat(self, moment: moments.Moment) -> effects.Effects:
        """Send an append to every member, also without entries."""
        role = self.role
        if not isinstance(role, roles.Leader):
            return []
        role.heartbeat_s = moment.now_s
        return self._broadcast(role, moment)

    def _list_followers(self) -> list[str]:
        members = self.members
        return [
            name
            for name in (*members.voters, *members.learners)
            if name != self.options.name
        ]

    def _broadcast(
        self, role: roles.Leader, moment: moments.Moment
    ) -> effects.Effects:
        asked: effects.Effects = []
        for name in self._list_followers():
            asked += self._send_append(role, name, moment)
        return asked

    def _send_append(
        self, role: roles.Leader, name: str, moment: moments.Moment
    ) -> effects.Effects:
        progress = role.progress.setdefault(
            name, roles.Progress(self.log.last_index + 1)
        )
        previous = progress.following - 1
        previous_term = self.log.find_term(previous)
        if previous_term is None:
            return self._send_part(progress, name, moment)
        entries = self.log.list_after(previous)
        progress.following = previous + len(entries) + 1
        asked = messages.AppendAsked(
            self.term,
            previous,
            previous_term,
            entries,
            self.commit,
            moment.now_s,
            self._list_durable(role),
        )
        return [effects.Send(name, asked)]

    def _list_durable(self, role: roles.Leader) -> dict[str, int]:
        """Return the last index that each voting disk has acknowledged."""
        own = self.options.name
        return {
            disk: self._durability.index
            if name == own
            else role.progress[name].match
            for name, disk in self.members.voters.items()
        }

    def _take_appended(
        self, peer: str, told: messages.AppendTold, moment: moments.Moment
    ) -> effects.Effects:
        if told.term > self.term:
            return self._follow_term(told.term, moment)
        role = self.role
        if not isinstance(role, roles.Leader) or told.term < self.term:
            return []
        progress = role.progress.get(peer)
        if progress is None or not self.membership.holds_disk(peer, told.disk):
            return []
        progress.contact_s = max(progress.contact_s, told.sent_s)
        if not told.accepted:
            if told.match < progress.match:
                self.counters['regressions'] += 1
            progress.following = min(
                max(told.match, 0) + 1, self.log.last_index + 1
            )
            return self._send_append(role, peer, moment)
        self._standing.note_seen(told.disk, told.match, told.term)
        progress.match = max(progress.match, told.match)
        progress.following = max(progress.following, progress.match + 1)
        progress.offset = 0
        self._advance_commit(role)
        asked: effects.Effects = []
        if progress.following <= self.log.last_index:
            asked += self._send_append(role, peer, moment)
        if role.transferring_s is not None:
            asked += self._finish_transfer(role, peer, progress)
        return asked

    def _finish_transfer(
        self, role: roles.Leader, peer: str, progress: roles.Progress
    ) -> effects.Effects:
        if progress.match < self.log.last_index:
            return []
        if peer not in self.members.voters:
            return []
        return [effects.Send(peer, messages.LeadershipOffered(self.term))]

    def _advance_commit(self, role: roles.Leader) -> None:
        """Commit what a majority of voters holds durably."""
        matches = [
            self._durability.index
            if name == self.options.name
            else role.progress[name].match
            for name in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[self.membership.majority - 1]
        if index <= self.commit or self.log.find_term(index) != self.term:
            return
        self.commit = index

    # Membership changes.

    def _take_admission(
        self, peer: str, disk: str, address: str, moment: moments.Moment
    ) -> effects.Effects:
        """Take a replica in as a learner, in place of its lost disk."""
        if not self.is_settled() or not self._members_committed():
            return []
        may_join = self.options.is_open or peer in self.options.names
        if not may_join or self.membership.holds_disk(peer, disk):
            return []
        members = self.members
        voters = {n: d for n, d in members.voters.items() if n != peer}
        learners = {**members.learners, peer: disk}
        addresses = dict(members.addresses)
        if address:
            addresses[peer] = address
        if not voters:
            return []
        role = self.role
        if isinstance(role, roles.Leader):
            role.progress[peer] = roles.Progress(self.log.last_index + 1)
        self.counters['admissions'] += 1
        change = commands.SetMembers(voters, learners, addresses)
        return self.propose([codec.pack(change)], moment)[1]

    def _members_committed(self) -> bool:
        return self.membership.changed_at <= self.commit

    def _promote(
        self, role: roles.Leader, moment: moments.Moment
    ) -> effects.Effects:
        """Make one caught-up learner a voter."""
        if not self.is_settled() or not self._members_committed():
            return []
        members = self.members
        for name, disk in members.learners.items():
            progress = role.progress.get(name)
            if progress is None:
                continue
            if progress.match + PROMOTION_LAG < self.log.last_index:
                continue
            if moment.now_s - progress.contact_s > ELECTION_S:
                continue
            if self._is_full(members):
                return self._retire(role, moment)
            learners = {n: d for n, d in members.learners.items() if n != name}
            voters = {**members.voters, name: disk}
            self.counters['promotions'] += 1
            change = commands.SetMembers(voters, learners, members.addresses)
            return self.propose([codec.pack(change)], moment)[1]
        return []

    def _is_full(self, members: commands.SetMembers) -> bool:
        wanted = self.options.voters
        return bool(wanted) and len(members.voters) >= wanted

    def _retire(
        self, role: roles.Leader, moment: moments.Moment
    ) -> effects.Effects:
        """Remove a silent voter, so that a learner can take its place."""
        members = self.members
        for name in members.voters:
            if name == self.options.name:
                continue
            heard_s = max(role.progress[name].contact_s, role.since_s)
            if moment.now_s - heard_s < REPLACE_SILENT_S:
                continue
            voters = {n: d for n, d in members.voters.items() if n != name}
            addresses = {
                n: a for n, a in members.addresses.items() if n != name
            }
            self.counters['retirements'] += 1
            change = commands.SetMembers(voters, members.learners, addresses)
            return self.propose([codec.pack(change)], moment)[1]
        return []

    # Followers.

    def _take_append(
        self, peer: str, asked: messages.AppendAsked, moment: moments.Moment
    ) -> effects.Effects:
        if asked.term < self.term:
            told = self._tell_append(False, 0, asked.sent_s)
            return [effects.Send(peer, told)]
        writes = self._follow(peer, asked.term, moment)
        for disk, index in asked.durable.items():
            # A disk that is away has not seen the term of this append.
            self._standing.note_seen(disk, index, 0)
        previous = asked.previous_index
        held = self.log.find_term(previous)
        if previous > self.log.last_index or (
            held is not None and held != asked.previous_term
        ):
            retry = min(self.log.last_index, previous - 1)
            told = self._tell_append(False, retry, asked.sent_s)
            return writes + self._send_durably(peer, told)
        writes += self._merge(asked.entries)
        match = previous + len(asked.entries)
        self.commit = max(
            self.commit, min(asked.commit, match, self.log.last_index)
        )
        told = self._tell_append(True, match, asked.sent_s)
        return writes + self._send_durably(peer, told)

    def _follow(
        self, leader: str, term: int, moment: moments.Moment
    ) -> effects.Effects:
        writes: effects.Effects = []
        if term > self.term:
            writes = self._follow_term(term, moment)
        self.role = roles.Follower(leader)
        self._heard_s = moment.now_s
        self._set_election(moment)
        return writes

    def _merge(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Effects:
        """Add what is new and replace what conflicts."""
        for position, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.find_term(entry.index) == entry.term:
                continue
            keep = entry.index - 1
            if keep < self.log.last_index:
                self._truncate(keep)
            fresh = entries[position:]
            self._append_to_log(fresh)
            return [self._write(keep, fresh)]
        return []

    def _tell_append(
        self, accepted: bool, match: int, sent_s: float
    ) -> messages.AppendTold:
        return messages.AppendTold(
            self.term, accepted, match, sent_s, self.options.disk
        )

    # Standing of this data folder.

    def _ask_standing(self, moment: moments.Moment) -> effects.Effects:
        """Ask for admission, or for a majority to vouch for the folder."""
        if moment.now_s - self._asked_s < ASK_INTERVAL_S:
            return []
        self._asked_s = moment.now_s
        disk = self.options.disk
        if not self.is_member:
            asked: object = messages.AdmissionAsked(disk, self.options.address)
        elif not self.has_standing:
            asked = messages.StandingAsked(disk)
        else:
            return []
        return [effects.Send(name, asked) for name in self._others()]

    def _ask_back(self, peer: str) -> effects.Effects:
        """Ask a replica that has just returned for its word as well."""
        if not self.is_member or self.has_standing:
            return []
        if self._standing.has_word_of(peer):
            return []
        return [effects.Send(peer, messages.StandingAsked(self.options.disk))]

    def _take_standing(
        self, peer: str, told: messages.StandingTold
    ) -> effects.Effects:
        if self.has_standing:
            return []
        refusal = self._standing.take(
            peer, told, self.log.last_index, self.term
        )
        return [] if refusal is None else [effects.Halt(refusal)]

    # Snapshots.

    def _send_part(
        self, progress: roles.Progress, name: str, moment: moments.Moment
    ) -> effects.Effects:
        if moment.now_s - progress.part_sent_s < ASK_INTERVAL_S:
            return []
        progress.part_sent_s = moment.now_s
        start = progress.offset
        data = self.snapshot[start : start + SNAPSHOT_PART_BYTES]
        part = messages.SnapshotPart(
            self.term,
            self.log.base_index,
            self.log.base_term,
            start,
            data,
            start + len(data) >= len(self.snapshot),
            moment.now_s,
        )
        return [effects.Send(name, part)]

    def _take_part(
        self, peer: str, part: messages.SnapshotPart, moment: moments.Moment
    ) -> effects.Effects:
        if part.term < self.term:
            return []
        asked = self._follow(peer, part.term, moment)
        if part.last_index <= self.commit:
            told = self._tell_append(True, self.commit, part.sent_s)
            return asked + self._send_durably(peer, told)
        incoming = self._incoming
        if incoming is None or incoming.last_index != part.last_index:
            incoming = roles.Incoming(
                part.last_index, part.last_term, bytearray()
            )
            self._incoming = incoming
        in_order = part.offset == len(incoming.data)
        if in_order:
            incoming.data += part.data
        if not part.final or not in_order:
            return asked + [self._tell_part(peer, part, len(incoming.data))]
        self._incoming = None
        return asked + self._install(peer, incoming, part.sent_s)

    def _tell_part(
        self, peer: str, part: messages.SnapshotPart, offset: int
    ) -> effects.Send:
        told = messages.SnapshotPartTold(
            self.term, part.last_index, offset, part.sent_s
        )
        return effects.Send(peer, told)

    def _take_part_told(
        self,
        peer: str,
        told: messages.SnapshotPartTold,
        moment: moments.Moment,
    ) -> effects.Effects:
        role = self.role
        if not isinstance(role, roles.Leader) or told.term != self.term:
            return []
        progress = role.progress.get(peer)
        if progress is None or told.last_index != self.log.base_index:
            return []
        progress.contact_s = max(progress.contact_s, told.sent_s)
        progress.offset = told.offset
        progress.part_sent_s = float('-inf')
        return self._send_part(progress, peer, moment)

    def _install(
        self, peer: str, incoming: roles.Incoming, sent_s: float
    ) -> effects.Effects:
        data = bytes(incoming.data)
        members = ledger.read_members(data)
        self.log.compact(incoming.last_index, incoming.last_term)
        self.membership = membership.Membership(incoming.last_index, members)
        self.membership.collect(self.log.entries)
        self.commit = max(self.commit, incoming.last_index)
        self.snapshot = data
        self.counters['snapshots_installed'] += 1
        save = self._save_snapshot(data)
        told = self._tell_append(True, incoming.last_index, sent_s)
        return [save, *self._send_durably(peer, told)]

    def take_installed(self) -> bytes | None:
        """Return a snapshot that replaces the state, if one arrived."""
        if self._taken >= self.log.base_index:
            return None
        self._taken = self.log.base_index
        return self.snapshot

    # Log and disk.

    def _append_to_log(self, entries: tuple[messages.LogEntry, ...]) -> None:
        self.log.append(entries)
        self.membership.collect(entries)

    def _truncate(self, keep: int) -> None:
        self.log.truncate(keep)
        self._durability.note_truncation(keep)
        self.membership.truncate(keep)

    def _write(
        self, keep: int, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Write:
        sequence = self._durability.note_write(self.log.last_index)
        return effects.Write(sequence, self.term, self.vote, keep, entries)

    def _save_snapshot(self, data: bytes) -> effects.SaveSnapshot:
        sequence = self._durability.note_write(self.log.last_index)
        return effects.SaveSnapshot(
            sequence,
            self.log.base_index,
            self.log.base_term,
            data,
            self.term,
            self.vote,
            tuple(self.log.entries),
        )

    def _hold(self, asked: effects.Effects) -> None:
        """Keep effects back until the last write is durable."""
        self._durability.hold(self.term, asked)

    def _send_durably(self, peer: str, message: object) -> effects.Effects:
        asked: effects.Effects = [effects.Send(peer, message)]
        if self._durability.is_complete:
            return asked
        self._hold(asked)
        return []

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        contact_s = self.measure_contact(now_s)
        return {
            'role': type(self.role).__name__.lower(),
            'leader': self.leader,
            'term': self.term,
            'commit': self.commit,
            'last_index': self.log.last_index,
            'base_index': self.log.base_index,
            'disk': self.options.disk,
            'voters': dict(self.members.voters),
            'learners': dict(self.members.learners),
            'standing': self.has_standing,
            'quorum_contact_s': (
                round(now_s - contact_s, 3) if self.is_leader else None
            ),
            'counters': dict(self.counters),
        }
