"""Decisions of a control replica.

Joins the replicated log, the state machine and the leases.  Requests of
entries are gathered while a write is under way and appended as one command,
so that one sync serves all that waited.
"""

import collections
import dataclasses
from typing import Any
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import moments
from eelgrassworks import zones
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.replication import replica
from eelgrassworks.replication import roles
from eelgrassworks.zones import grants

ENTRY_TTL_S: Final = 5.0
SNAPSHOT_INTERVAL: Final = 4096
MAX_BATCH_CLAIMS: Final = 4096
# After this silence an entry has asked another replica.
RENEWAL_KEPT_S: Final = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class ControlOptions:
    """Fixed facts about a control replica.

    ``group_commit`` is off only to measure what it saves.
    """

    replica: roles.ReplicaOptions
    group_commit: bool = True
    snapshot_interval: int = SNAPSHOT_INTERVAL
    lease_ttl_s: float = zones.LEASE_TTL_S
    # Where the replicas are that the settings name.
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from another process."""

    peer: str
    incarnation: int
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """Writes up to ``sequence`` are durable."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """A planned stop begins."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOrdered:
    """An operator asks this process for a change."""

    request: int
    change: contracts.ChangeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """An operator asks this process for the newest configuration."""

    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class LedElsewhere:
    """Only the leader can answer; its name is empty when unknown."""

    leader: str


ControlEvent = (
    Received
    | Synced
    | Ticked
    | StopAsked
    | ChangeOrdered
    | ConfigurationWanted
)


@dataclasses.dataclass(frozen=True, slots=True)
class AskedClaims:
    """Claims of an entry that wait to be appended or committed."""

    peer: str
    request: int
    claims: tuple[contracts.Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskedChange:
    """A change that waits to be committed."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskedOrder:
    """A change of this process's own front end that waits likewise."""

    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskedReading:
    """A read of the configuration that waits for a quorum's confirmation."""

    request: int
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskedLookups:
    """Lookups that wait until a quorum confirms the leader."""

    peer: str
    request: int
    submissions: tuple[str, ...]
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRenewal:
    """A renewal that could not be answered when it came."""

    peer: str
    renewal: messages.EntryRenewal
    heard_s: float


class Control:
    """The decision class of a control replica."""

    def __init__(
        self,
        options: ControlOptions,
        stored: roles.Stored,
        snapshot: bytes,
        moment: moments.Moment,
    ) -> None:
        self.options = options
        self.ledger = ledger.Ledger()
        self.replica = replica.Replica(options.replica, stored, moment)
        if snapshot:
            self.ledger.load(snapshot)
            self.replica.snapshot = snapshot
        self.grants = grants.Grants(options.lease_ttl_s)
        self.counters: collections.Counter[str] = collections.Counter()
        self.stopping = False
        self._left = False
        self._led = False
        self._stop_s = 0.0
        self._now_s = moment.now_s
        self._batch: list[AskedClaims] = []
        # Requests that wait here already; an entry sends them again.
        self._asked: set[tuple[str, int]] = set()
        self._committing: dict[
            int, list[AskedClaims] | AskedChange | AskedOrder
        ] = {}
        self._readings: collections.deque[AskedReading] = collections.deque()
        self._told_rosters: dict[str, messages.RosterTold] = {}
        self._connected: dict[str, str] = {}
        self._lookups: collections.deque[AskedLookups] = collections.deque()
        self._entry_heard: dict[str, float] = {}
        self._registering: dict[str, int] = {}
        # The latest renewals that could not be answered, by entry, and the
        # entries whose renewal can be answered now.
        self._kept: dict[str, KeptRenewal] = {}
        self._answerable: set[str] = set()

    def handle(
        self, event: ControlEvent, moment: moments.Moment
    ) -> effects.Effects:
        """Take one event and return the effects it has."""
        self._now_s = moment.now_s
        match event:
            case Received(peer, _, message):
                asked = self._receive(peer, message, moment)
            case ChangeOrdered(request, change):
                asked = self._order_change(request, change, moment)
            case ConfigurationWanted(request):
                asked = self._want_configuration(request, moment)
            case Synced(sequence):
                asked = self.replica.note_synced(sequence, moment)
            case Ticked():
                asked = self.replica.tick(moment)
                asked += self._end_silent_entries(moment)
                self.grants.advance(moment.now_s)
            case StopAsked():
                self.stopping = True
                self._stop_s = moment.now_s
                asked = self.replica.transfer(moment)
        asked += self._apply(moment)
        asked += self._connect_members()
        asked += self._note_leadership(moment)
        asked += self._answer_renewals(moment)
        asked += self._append_batch(moment)
        asked += self._answer_lookups(moment)
        asked += self._answer_readings(moment)
        return asked + self._finish_stop(moment)

    # Messages.

    def _receive(
        self, peer: str, message: object, moment: moments.Moment
    ) -> effects.Effects:
        match message:
            case messages.RosterAsked():
                return [effects.Send(peer, self._list_roster())]
            case messages.EntryRenewal():
                return self._take_renewal(peer, message, moment)
            case messages.ClaimsAsked(request, claims):
                if not self.replica.is_leader:
                    return [self._tell_not_leader(peer)]
                if (peer, request) in self._asked:
                    self.counters['claims_resent'] += 1
                    return []
                self._asked.add((peer, request))
                self._batch.append(AskedClaims(peer, request, claims))
                return []
            case messages.LookupsAsked(request, submissions):
                if not self.replica.is_leader:
                    return [self._tell_not_leader(peer)]
                self._lookups.append(
                    AskedLookups(peer, request, submissions, moment.now_s)
                )
                return self.replica.beat(moment)
            case messages.ChangeAsked():
                return self._take_change(peer, message, moment)
            case _:
                return self.replica.receive(peer, message, moment)

    def _tell_not_leader(self, peer: str) -> effects.Send:
        leader = self.replica.find_leader(self._now_s)
        return effects.Send(peer, messages.NotLeader(leader))

    def _take_renewal(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        moment: moments.Moment,
    ) -> effects.Effects:
        if not self.replica.is_settled():
            self._keep_renewal(peer, renewal, moment)
            return [self._tell_not_leader(peer)]
        self._entry_heard[renewal.name] = moment.now_s
        record = self.ledger.entries.get(renewal.name)
        if record is not None and renewal.nonce in record.retired:
            # The terms name another incarnation, which ends the old run.
            return self._tell_terms(peer, renewal, record.incarnation, moment)
        if (
            record is None
            or record.nonce != renewal.nonce
            or not record.alive
            or record.address != renewal.address
        ):
            self._keep_renewal(peer, renewal, moment)
            return self._register(renewal, moment)
        return self._tell_terms(peer, renewal, record.incarnation, moment)

    def _keep_renewal(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        moment: moments.Moment,
    ) -> None:
        """Keep a renewal until its entry is registered or this one leads."""
        self._kept[renewal.name] = KeptRenewal(peer, renewal, moment.now_s)

    def _answer_renewals(self, moment: moments.Moment) -> effects.Effects:
        """Answer kept renewals, so that no entry has to ask again.

        A lease counts from when the entry asked, so a late answer is safe.
        """
        if not self._answerable or not self.replica.is_settled():
            return []
        names, self._answerable = self._answerable, set()
        asked: effects.Effects = []
        for name in sorted(names):
            kept = self._kept.pop(name, None)
            if kept and moment.now_s - kept.heard_s <= RENEWAL_KEPT_S:
                asked += self._take_renewal(kept.peer, kept.renewal, moment)
        return asked

    def _register(
        self, renewal: messages.EntryRenewal, moment: moments.Moment
    ) -> effects.Effects:
        if self._registering.get(renewal.name) == renewal.nonce:
            return []
        command = commands.RegisterEntry(
            renewal.name, renewal.address, renewal.nonce
        )
        index, sent = self.replica.propose([codec.pack(command)], moment)
        if index:
            self._registering[renewal.name] = renewal.nonce
        return sent

    def _tell_terms(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        incarnation: int,
        moment: moments.Moment,
    ) -> effects.Effects:
        contact_s = self.replica.measure_contact(moment.now_s)
        remaining_s = self.grants.measure_term(contact_s, moment.now_s)
        configuration = self.ledger.configuration
        asked: effects.Effects = []
        if renewal.revision != configuration.revision:
            told = self._tell_configuration()
            asked.append(effects.Send(peer, told))
        terms = messages.EntryTerms(
            renewal.sent_ms,
            int(remaining_s * 1000),
            configuration.revision,
            self.grants.advance(moment.now_s),
            incarnation,
        )
        asked.append(effects.Send(peer, terms))
        return asked + self._tell_roster(peer)

    def _list_roster(self) -> messages.RosterTold:
        """Return the members with known addresses and the live entries."""
        members = self.replica.members
        known = {**self.options.addresses, **members.addresses}
        return messages.RosterTold(
            {
                name: known[name]
                for name in (*members.voters, *members.learners)
                if name in known
            },
            {
                name: record.address
                for name, record in self.ledger.entries.items()
                if record.alive
            },
        )

    def _tell_roster(self, peer: str) -> effects.Effects:
        """Tell an entry the roster when it differs from what it was told."""
        if not self.options.replica.is_open:
            return []
        roster = self._list_roster()
        if self._told_rosters.get(peer) == roster:
            return []
        self._told_rosters[peer] = roster
        return [effects.Send(peer, roster)]

    def _connect_members(self) -> effects.Effects:
        """Connect to members that the settings do not name."""
        addresses = self.replica.members.addresses
        if addresses == self._connected:
            return []
        self._connected = dict(addresses)
        return [
            effects.Connect(name, address)
            for name, address in addresses.items()
            if name != self.options.replica.name
        ]

    def _tell_configuration(self) -> messages.ConfigurationTold:
        """Return the configuration without the text that made it."""
        return messages.ConfigurationTold(
            dataclasses.replace(self.ledger.configuration, document=b'')
        )

    def _push_configuration(self) -> effects.Effects:
        """Send a new revision to every live entry without being asked."""
        if not self.replica.is_leader:
            return []
        told = self._tell_configuration()
        return [
            effects.Send(name, told)
            for name, record in self.ledger.entries.items()
            if record.alive
        ]

    # Operators.

    def _order_change(
        self,
        request: int,
        change: contracts.ChangeRequest,
        moment: moments.Moment,
    ) -> effects.Effects:
        if not self.replica.is_settled():
            return [self._send_elsewhere(request)]
        command = commands.CommitChange(
            change.id,
            change.operator,
            change.expected_revision,
            codec.pack(change.change),
        )
        index, sent = self.replica.propose([codec.pack(command)], moment)
        if not index:
            return [self._send_elsewhere(request)]
        self._committing[index] = AskedOrder(request)
        return sent

    def _want_configuration(
        self, request: int, moment: moments.Moment
    ) -> effects.Effects:
        if not self.replica.is_settled():
            return [self._send_elsewhere(request)]
        self._readings.append(AskedReading(request, moment.now_s))
        return self.replica.beat(moment)

    def _send_elsewhere(self, request: int) -> effects.Reply:
        leader = self.replica.find_leader(self._now_s)
        if leader == self.options.replica.name:
            leader = ''
        return effects.Reply(request, LedElsewhere(leader))

    def _answer_readings(self, moment: moments.Moment) -> effects.Effects:
        """Answer reads that came before a quorum's last confirmation."""
        if not self._readings or not self.replica.is_settled():
            return []
        contact_s = self.replica.measure_contact(moment.now_s)
        asked: effects.Effects = []
        while self._readings and self._readings[0].arrived_s <= contact_s:
            waiting = self._readings.popleft()
            asked.append(
                effects.Reply(waiting.request, self.ledger.configuration)
            )
        return asked

    def _take_change(
        self,
        peer: str,
        asked: messages.ChangeAsked,
        moment: moments.Moment,
    ) -> effects.Effects:
        known = self.ledger.changes.get(asked.id)
        if known is not None and self.replica.is_settled():
            told = messages.ChangeTold(codec.pack(known))
            return [effects.Send(peer, told)]
        command = commands.CommitChange(
            asked.id, asked.operator, asked.expected_revision, asked.change
        )
        index, sent = self.replica.propose([codec.pack(command)], moment)
        if not index:
            return [self._tell_not_leader(peer)]
        self._committing[index] = AskedChange(peer)
        return sent

    # Commits.

    def _append_batch(self, moment: moments.Moment) -> effects.Effects:
        """Append the gathered claims unless a write is under way."""
        if not self._batch:
            return []
        if self._has_commit_under_way():
            return []
        count = len(self._batch) if self.options.group_commit else 1
        taken, self._batch = self._batch[:count], self._batch[count:]
        claims = tuple(claim for asked in taken for claim in asked.claims)
        command = commands.CommitClaims(claims, moment.wall_ms)
        index, sent = self.replica.propose([codec.pack(command)], moment)
        if not index:
            self._asked -= {(each.peer, each.request) for each in taken}
            return [self._tell_not_leader(asked.peer) for asked in taken]
        self._committing[index] = taken
        self.counters['claim_batches'] += 1
        self.counters['claims'] += len(claims)
        return sent

    def _has_commit_under_way(self) -> bool:
        return any(
            isinstance(waiting, list) for waiting in self._committing.values()
        )

    def _apply(self, moment: moments.Moment) -> effects.Effects:
        installed = self.replica.take_installed()
        if installed is not None:
            self.ledger.load(installed)
        asked: effects.Effects = []
        revision = self.ledger.configuration.revision
        for entry in self.replica.take_committed():
            command = codec.unpack(entry.command)
            if isinstance(command, commands.RegisterEntry):
                self._registering.pop(command.name, None)
                self._answerable |= self._kept.keys() & {command.name}
            verdicts = self.ledger.apply(entry.index, command)
            waiting = self._committing.pop(entry.index, None)
            if isinstance(waiting, list):
                self._asked -= {(each.peer, each.request) for each in waiting}
            asked += _tell_verdicts(waiting, verdicts)
        if self.ledger.configuration.revision != revision:
            self.grants.note_commit(
                self.ledger.configuration.revision, moment.now_s
            )
            asked += self._push_configuration()
            asked.append(self._log_commit())
        return asked + self._compact()

    def _log_commit(self) -> effects.Log:
        configuration = self.ledger.configuration
        return effects.Log(
            'configuration_committed',
            {
                'revision': configuration.revision,
                'version': configuration.version,
                'closed': ','.join(sorted(configuration.closed)),
                'leads': self.replica.is_leader,
            },
        )

    def _compact(self) -> effects.Effects:
        held = len(self.replica.log.entries)
        if held < self.options.snapshot_interval:
            return []
        members = self.replica.find_taken_members()
        return self.replica.compact(self.ledger.dump(members))

    def _note_leadership(self, moment: moments.Moment) -> effects.Effects:
        settled = self.replica.is_settled()
        if settled and not self._led:
            self._led = True
            self._registering = {}
            self._answerable |= self._kept.keys()
            self._told_rosters = {}
            self._entry_heard = dict.fromkeys(
                self.ledger.entries, moment.now_s
            )
            self.grants.begin(self.ledger.configuration.revision, moment.now_s)
            return [
                effects.Log('leadership_began', {'term': self.replica.term})
            ]
        if self.replica.is_leader:
            return []
        lost: effects.Effects = []
        if self._led:
            fields: dict[str, object] = {
                'term': self.replica.term,
                'leader': self.replica.leader,
            }
            lost.append(effects.Log('leadership_lost', fields))
        if not (
            self._led or self._committing or self._lookups or self._readings
        ):
            return []
        self._led = False
        return lost + self._abandon()

    def _abandon(self) -> effects.Effects:
        """Send waiting entries on after leadership was lost."""
        peers = {asked.peer for asked in self._batch}
        peers |= {asked.peer for asked in self._lookups}
        elsewhere: effects.Effects = [
            self._send_elsewhere(reading.request) for reading in self._readings
        ]
        for waiting in self._committing.values():
            match waiting:
                case AskedOrder(request):
                    # It may still be committed by the next leader.
                    elsewhere.append(effects.Reply(request, LedElsewhere('')))
                case AskedChange(peer):
                    peers.add(peer)
                case list():
                    peers |= {asked.peer for asked in waiting}
        self._batch = []
        self._asked = set()
        self._committing = {}
        self._lookups.clear()
        self._readings.clear()
        told = [self._tell_not_leader(peer) for peer in sorted(peers)]
        return elsewhere + told

    # Lookups.

    def _answer_lookups(self, moment: moments.Moment) -> effects.Effects:
        """Answer lookups that came before a quorum's last confirmation."""
        if not self._lookups or not self.replica.is_settled():
            return []
        contact_s = self.replica.measure_contact(moment.now_s)
        asked: effects.Effects = []
        while self._lookups and self._lookups[0].arrived_s <= contact_s:
            waiting = self._lookups.popleft()
            verdicts = [
                self.ledger.look_up(each) for each in waiting.submissions
            ]
            asked.append(_tell_claims(waiting.peer, waiting.request, verdicts))
        return asked

    # Time.

    def _end_silent_entries(self, moment: moments.Moment) -> effects.Effects:
        if not self.replica.is_settled() or not self._led:
            return []
        proposed = []
        for name, record in self.ledger.entries.items():
            heard_s = self._entry_heard.setdefault(name, moment.now_s)
            if record.alive and moment.now_s - heard_s > ENTRY_TTL_S:
                # Repeats the proposal only after another such silence.
                self._entry_heard[name] = moment.now_s
                command = commands.EndEntry(name, record.incarnation)
                proposed.append(codec.pack(command))
        if not proposed:
            return []
        return self.replica.propose(proposed, moment)[1]

    def _finish_stop(self, moment: moments.Moment) -> effects.Effects:
        if not self.stopping or self._left:
            return []
        waited_s = moment.now_s - self._stop_s
        if self.replica.is_leader and waited_s < (replica.TRANSFER_PATIENCE_S):
            return []
        self._left = True
        return [effects.Leave()]

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'replica': self.replica.describe(now_s),
            'revision': self.ledger.configuration.revision,
            'in_force_revision': self.grants.advance(now_s),
            'claims': len(self.ledger.claims),
            'entries': {
                name: {
                    'incarnation': record.incarnation,
                    'alive': record.alive,
                    'address': record.address,
                }
                for name, record in self.ledger.entries.items()
            },
            'stopping': self.stopping,
            'counters': dict(self.counters),
        }


def _tell_claims(peer: str, request: int, verdicts: list[Any]) -> effects.Send:
    packed = tuple(codec.pack(verdict) for verdict in verdicts)
    return effects.Send(peer, messages.ClaimsTold(request, packed))


def _tell_verdicts(
    waiting: list[AskedClaims] | AskedChange | AskedOrder | None,
    verdicts: list[Any],
) -> effects.Effects:
    """Answer the requests that a committed command came from."""
    match waiting:
        case AskedOrder(request):
            return [effects.Reply(request, verdicts[0])]
        case AskedChange(peer):
            told = messages.ChangeTold(codec.pack(verdicts[0]))
            return [effects.Send(peer, told)]
        case list():
            asked: effects.Effects = []
            position = 0
            for each in waiting:
                end = position + len(each.claims)
                asked.append(
                    _tell_claims(
                        each.peer, each.request, verdicts[position:end]
                    )
                )
                position = end
            return asked
        case None:
            return []
