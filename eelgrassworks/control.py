"""Decisions of a control replica.

Connects the replicated log, the state machine and the leases.  Claims of
entries that arrive while a batch is being committed are appended together
as the next command, so that one sync to disk makes all of them durable.
"""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import decisioninputs
from eelgrassworks import effects
from eelgrassworks import zones
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homeplacement
from eelgrassworks.contracts import homesites
from eelgrassworks.links import codec
from eelgrassworks.links import homes
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.replication import pendingrequests
from eelgrassworks.replication import replica
from eelgrassworks.replication import reports
from eelgrassworks.replication import roles
from eelgrassworks.zones import grants

ENTRY_TTL_S: Final = 5.0
# A run of an entry that renewed within this time still runs: five renewals.
RUN_CONTACT_TIMEOUT_S: Final = 2.0
SNAPSHOT_INTERVAL: Final = 4096
# A frame holds such a change beside other messages.
MAX_CHANGE_BYTES: Final = codec.MAX_BATCH_BYTES
# An entry that got no answer for this long has asked another replica.
DEFERRED_RENEWAL_TTL_S: Final = 0.6
# Replicas that start together have joined and caught up by then.
VOTERS_CHECK_DELAY_S: Final = 10.0
# An entry may have lost its roster, or have got an older one after it.
ROSTER_RESEND_S: Final = 1.0
# Shorter than the time for which a relay relies on what it was told.
ANNOUNCEMENT_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlOptions:
    """Options of a control replica that stay fixed while it runs.

    ``group_commit`` puts all waiting claims into one command; it is switched
    off only to measure the benefit.
    """

    replica: roles.ReplicaOptions
    group_commit: bool = True
    snapshot_interval: int = SNAPSHOT_INTERVAL
    lease_ttl_s: float = zones.LEASE_TTL_S
    # Addresses, by name, of the replicas that the settings list.
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message was received from another process."""

    peer: str
    incarnation: int
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """All writes up to ``sequence`` are durable."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was told to stop in a planned way."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator requested a change through this replica's API."""

    request: int
    change: contracts.ChangeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """An operator requested the configuration through this replica's API."""

    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeading:
    """Response of a replica that does not lead.

    ``leader`` is the name of the leader, or empty if unknown.
    """

    leader: str


ControlEvent = (
    Received
    | Synced
    | Ticked
    | StopRequested
    | ChangeRequested
    | ConfigurationRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class SentRoster:
    """The roster that was sent to an entry last."""

    roster: messages.RosterUpdate
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredRenewal:
    """A renewal that could not be answered when it was received."""

    peer: str
    renewal: messages.EntryRenewal
    received_s: float


class Control:
    """The state and decisions of a control replica."""

    def __init__(
        self,
        options: ControlOptions,
        stored: roles.StoredState,
        snapshot: bytes,
        inputs: decisioninputs.DecisionInputs,
    ) -> None:
        self.options = options
        self.ledger = ledger.Ledger()
        self.replica = replica.Replica(options.replica, stored, inputs)
        if snapshot:
            self.ledger.load(snapshot)
            self.replica.snapshot = snapshot
        self.grants = grants.Grants(options.lease_ttl_s)
        self.counters: collections.Counter[str] = collections.Counter()
        self.stopping = False
        self._exit_sent = False
        self._leadership_started = False
        self._leadership_began_s = 0.0
        # Voters that this leader lacks to bear the losses of the settings.
        self.voters_missing = 0
        self._stop_requested_s = 0.0
        self._now_s = inputs.now_s
        self._batch: list[pendingrequests.PendingClaims] = []
        # Peer and number of each pending claims request.  Entries resend
        # requests; one that is already pending is not appended again.
        self._pending_claim_keys: set[tuple[str, int]] = set()
        # By log index: the requests whose command is not yet committed.
        self._committing: dict[int, pendingrequests.PendingCommit] = {}
        self._pending_reads: collections.deque[pendingrequests.PendingRead] = (
            collections.deque()
        )
        self._sent_rosters: dict[str, SentRoster] = {}
        self._connected_addresses: dict[str, str] = {}
        # The names that the latest settings list.
        self._listed_names = tuple(options.addresses)
        self._last_announcement_s = float('-inf')
        self._reports = reports.Reports()
        self._reported_membership: dict[str, object] = {}
        self._reported_leader = ''
        self._pending_lookups: collections.deque[
            pendingrequests.PendingLookups
        ] = collections.deque()
        self._entry_last_contact_s: dict[str, float] = {}
        # By entry name, the latest renewal of the registered run.
        self._latest_renewals: dict[str, messages.EntryRenewal] = {}
        # By entry name: the nonce of the run whose registration is proposed.
        self._registering: dict[str, int] = {}
        # By entry name: its latest renewal that could not be answered.
        self._deferred_renewals: dict[str, DeferredRenewal] = {}
        # Names of the entries whose deferred renewal can be answered now.
        self._answerable_entries: set[str] = set()
        self._home = home.Home(inputs.now_s)
        if self.ledger.homes.joining == options.replica.name:
            self._home.join(inputs.now_s)
        self._home_placement = homeplacement.HomePlacement(inputs.now_s)
        # Replicas of an earlier version, which cannot apply SetHomes.
        self._without_homes: set[str] = set()

    def handle(
        self, event: ControlEvent, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Process one event and return the resulting effects in order."""
        self._now_s = inputs.now_s
        match event:
            case Received(peer, incarnation, message):
                result = self._handle_message(
                    peer, incarnation, message, inputs
                )
            case ChangeRequested(request, change):
                result = self._handle_local_change(request, change, inputs)
            case ConfigurationRequested(request):
                result = self._handle_configuration_read(request, inputs)
            case Synced(sequence):
                result = self.replica.handle_synced(sequence, inputs)
            case Ticked():
                result = self.replica.tick(inputs)
                result += self._end_unresponsive_entries(inputs)
                result += self._check_voters(inputs.now_s)
                result += self._report_membership(inputs.now_s)
                result += self._announce_leader(inputs.now_s)
                result += self._revise_homes(inputs)
                self._home.sweep(inputs.now_s)
                result += self.replica.record_addresses(
                    self.options.addresses, inputs
                )
                self.grants.update_in_force(inputs.now_s)
            case StopRequested():
                self.stopping = True
                self._stop_requested_s = inputs.now_s
                result = self.replica.transfer_leadership(inputs)
        result += self._apply_committed(inputs)
        result += self._connect_members()
        result += self._update_leadership(inputs)
        result += self._answer_deferred_renewals(inputs)
        result += self._append_batch(inputs)
        result += self._answer_lookups(inputs)
        result += self._answer_reads(inputs)
        return result + self._finish_stop(inputs)

    @property
    def homes_exposed(self) -> int:
        """Return how many groups one declared failure takes, by the leader.

        A group counts once for each such failure.
        """
        if not self._leadership_started:
            return 0
        return sum(self._home_placement.exposures.values())

    def add_replicas(self, addresses: dict[str, str]) -> None:
        """Use the addresses, by name, that changed settings list."""
        self.options = dataclasses.replace(
            self.options, addresses={**self.options.addresses, **addresses}
        )
        self._listed_names = tuple(addresses)
        self.replica.add_peers(tuple(addresses))

    # Messages.

    def _handle_message(
        self,
        peer: str,
        incarnation: int,
        message: object,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        match message:
            case messages.OwnershipRequest():
                response = homes.answer_request(
                    self._home,
                    peer,
                    incarnation,
                    message,
                    inputs.now_s,
                    self._is_home(inputs.now_s),
                )
                return [effects.Send(peer, response)]
            case messages.AppendResponse(knows_homes=False):
                self._without_homes.add(peer)
                return self.replica.handle_message(peer, message, inputs)
            case messages.AppendResponse():
                self._without_homes.discard(peer)
                return self.replica.handle_message(peer, message, inputs)
            case messages.OwnershipProtection():
                homes.apply_protection(self._home, message, inputs.now_s)
                return []
            case messages.OwnershipRelease():
                homes.apply_release(
                    self._home, peer, incarnation, message, inputs.now_s
                )
                return []
            case messages.RosterRequest():
                return [effects.Send(peer, self._make_roster())]
            case messages.EntryRenewal():
                return self._handle_renewal(peer, message, inputs)
            case messages.ClaimsRequest(request, claims):
                if not self.replica.is_leader:
                    return [self._send_not_leader(peer)]
                if (peer, request) in self._pending_claim_keys:
                    self.counters['claims_resent'] += 1
                    return []
                self._pending_claim_keys.add((peer, request))
                self._batch.append(
                    pendingrequests.PendingClaims(peer, request, claims)
                )
                return []
            case messages.LookupsRequest(request, submissions):
                if not self.replica.is_leader:
                    return [self._send_not_leader(peer)]
                self._pending_lookups.append(
                    pendingrequests.PendingLookups(
                        peer, request, submissions, inputs.now_s
                    )
                )
                return self.replica.send_heartbeats(inputs)
            case messages.ConfigurationChangeRequest():
                return self._handle_change(peer, message, inputs)
            case messages.AdmissionRequest() if not self.replica.is_leader:
                # Only the leader admits; the roster says which one it is.
                return [effects.Send(peer, self._make_announcement())]
            case messages.RosterUpdate():
                return self._handle_roster(message)
            case messages.AdmissionDeferred(members):
                return [
                    *self._connect_replicas(members),
                    *self.replica.handle_message(peer, message, inputs),
                ]
            case _:
                return self.replica.handle_message(peer, message, inputs)

    def _send_not_leader(self, peer: str) -> effects.Send:
        leader = self.replica.find_leader(self._now_s)
        return effects.Send(peer, messages.NotLeader(leader))

    def _handle_renewal(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if not self.replica.has_committed_in_term():
            self._defer_renewal(peer, renewal, inputs)
            return [self._send_not_leader(peer)]
        record = self.ledger.entries.get(renewal.name)
        if record is not None and self._is_outdated(record, renewal, inputs):
            return []
        self._entry_last_contact_s[renewal.name] = inputs.now_s
        if record is not None and renewal.nonce == record.nonce:
            self._latest_renewals[renewal.name] = renewal
        if record is not None and renewal.nonce in record.retired:
            # This run was replaced.  The lease names the newer incarnation,
            # which makes the replaced run end itself.
            return self._send_lease(peer, renewal, record.incarnation, inputs)
        if (
            record is None
            or record.nonce != renewal.nonce
            or not record.alive
            or record.address != renewal.address
        ):
            self._defer_renewal(peer, renewal, inputs)
            return self._propose_registration(renewal, inputs)
        return self._send_lease(peer, renewal, record.incarnation, inputs)

    def _is_outdated(
        self,
        record: ledger.EntryRecord,
        renewal: messages.EntryRenewal,
        inputs: decisioninputs.DecisionInputs,
    ) -> bool:
        """Tell whether a renewal precedes those of the registered run.

        A connection may deliver it after its run has ended.  The boot clock
        of the entry's machine orders the runs, until the machine restarts.
        """
        latest = self._latest_renewals.get(renewal.name)
        if latest is None or latest.nonce != record.nonce:
            return False
        contact_s = self._entry_last_contact_s.get(renewal.name, float('-inf'))
        return (
            renewal.nonce != record.nonce
            and renewal.sent_ms < latest.sent_ms
            and inputs.now_s - contact_s < RUN_CONTACT_TIMEOUT_S
        )

    def _defer_renewal(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        inputs: decisioninputs.DecisionInputs,
    ) -> None:
        """Store a renewal until its entry is registered or this one leads."""
        self._deferred_renewals[renewal.name] = DeferredRenewal(
            peer, renewal, inputs.now_s
        )

    def _answer_deferred_renewals(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Answer deferred renewals, so that no entry has to retry.

        A lease is counted from the time at which the entry sent the renewal,
        so a late answer does not extend it.
        """
        if (
            not self._answerable_entries
            or not self.replica.has_committed_in_term()
        ):
            return []
        names, self._answerable_entries = self._answerable_entries, set()
        result: effects.Effects = []
        for name in sorted(names):
            deferred = self._deferred_renewals.pop(name, None)
            if (
                deferred
                and inputs.now_s - deferred.received_s
                <= DEFERRED_RENEWAL_TTL_S
            ):
                result += self._handle_renewal(
                    deferred.peer, deferred.renewal, inputs
                )
        return result

    def _propose_registration(
        self,
        renewal: messages.EntryRenewal,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if self._registering.get(renewal.name) == renewal.nonce:
            return []
        command = commands.RegisterEntry(
            renewal.name, renewal.address, renewal.nonce
        )
        index, result = self.replica.propose([codec.pack(command)], inputs)
        if index:
            self._registering[renewal.name] = renewal.nonce
        return result

    def _send_lease(
        self,
        peer: str,
        renewal: messages.EntryRenewal,
        incarnation: int,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        contact_s = self.replica.find_quorum_contact(inputs.now_s)
        remaining_s = self.grants.measure_lease(contact_s, inputs.now_s)
        configuration = self.ledger.configuration
        result: effects.Effects = []
        if renewal.revision != configuration.revision:
            result.append(effects.Send(peer, self._make_configuration()))
        lease = messages.EntryLease(
            renewal.sent_ms,
            int(remaining_s * 1000),
            configuration.revision,
            self.grants.update_in_force(inputs.now_s),
            incarnation,
            self.ledger.homes.version,
        )
        result.append(effects.Send(peer, lease))
        return result + self._send_roster(peer, renewal, inputs.now_s)

    def _handle_roster(self, roster: messages.RosterUpdate) -> effects.Effects:
        """Find the leader, while none has contact with this replica.

        The others are connected as well: this replica may lack the address of
        a member whose vote it needs.
        """
        if self.replica.find_leader(self._now_s):
            return []
        if roster.leader in roster.replicas:
            self.replica.name_leader(roster.leader)
        return self._connect_replicas(roster.replicas)

    def _connect_replicas(self, addresses: dict[str, str]) -> effects.Effects:
        return [
            effects.Connect(name, address, persistent=False)
            for name, address in addresses.items()
            if name != self.options.replica.name
        ]

    def _list_addresses(self) -> dict[str, str]:
        """Return the members whose address is known, with the address."""
        members = self.replica.members
        addresses = {**self.options.addresses, **members.addresses}
        return {
            name: addresses[name]
            for name in (*members.voters, *members.learners)
            if name in addresses
        }

    def _list_live_entries(self) -> dict[str, str]:
        """Return the entries that have not ended, with the address."""
        return {
            name: record.address
            for name, record in self.ledger.entries.items()
            if record.alive
        }

    def _make_announcement(self) -> messages.RosterUpdate:
        """Return a roster that names the leader, without the entries."""
        return messages.RosterUpdate(
            self._list_addresses(),
            {},
            self.replica.find_leader(self._now_s),
        )

    def _announce_leader(self, now_s: float) -> effects.Effects:
        """Tell those in the settings that are no members who leads.

        They are relays, or replicas that wait for admission.  If the settings
        name no member, none of them can find a member by itself.
        """
        elapsed_s = now_s - self._last_announcement_s
        if not self._leadership_started or elapsed_s < ANNOUNCEMENT_INTERVAL_S:
            return []
        self._last_announcement_s = now_s
        members = self.replica.members
        known = {
            self.options.replica.name,
            *members.voters,
            *members.learners,
        }
        announcement = self._make_announcement()
        return [
            effects.Send(name, announcement)
            for name in self._listed_names
            if name not in known
        ]

    def _make_roster(self) -> messages.RosterUpdate:
        """Return the addresses of the members and of the live entries."""
        return messages.RosterUpdate(
            self._list_addresses(),
            self._list_live_entries(),
            self.replica.find_leader(self._now_s),
            self.ledger.homes,
        )

    # Homes of transient jobs.

    def _is_home(self, now_s: float) -> bool:
        """Tell whether this replica is sure to be a home at present."""
        is_listed = self.options.replica.name in self.ledger.homes.list_names()
        return is_listed and bool(self.replica.find_leader(now_s))

    def _revise_homes(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Form the homes, or replace one that was lost, if this one leads."""
        if not self.options.replica.is_open or not self._leadership_started:
            return []
        members = self.replica.members
        if self._without_homes & {*members.voters, *members.learners}:
            return []
        if not self._home_placement.is_due(self.ledger.homes, inputs.now_s):
            return []
        decision = self._home_placement.decide(
            self._make_placement_inputs(), inputs.now_s
        )
        match decision:
            case homeplacement.HomesRevised(revised):
                command = commands.SetHomes(revised)
                return self.replica.propose([codec.pack(command)], inputs)[1]
            case homeplacement.ExposuresChanged(exposures):
                return [self._log_exposures(exposures)]
            case None:
                return []

    def _make_placement_inputs(self) -> homeplacement.PlacementInputs:
        """Return what the placement of homes depends on at present.

        An entry names its failure domain in its renewals, each of which this
        leader has received within ``ENTRY_TTL_S`` of its beginning.
        """
        entries = {}
        for name, record in self.ledger.entries.items():
            renewal = self._latest_renewals.get(name)
            domain = renewal.failure_domain if renewal else ''
            entries[name] = homesites.RegisteredEntry(record.address, domain)
        return homeplacement.PlacementInputs(
            self.ledger.homes,
            entries,
            tuple(self._list_live_entries()),
            tuple(self.replica.members.voters),
            self._list_addresses(),
        )

    def _log_exposures(self, exposures: Mapping[str, int]) -> effects.Log:
        failures = (f'{name}={n}' for name, n in sorted(exposures.items()))
        return effects.Log(
            'homes_exposed',
            {
                'version': self.ledger.homes.version,
                'groups': len(self.ledger.homes.groups),
                'failures': ','.join(failures),
            },
        )

    def _apply_homes(self, version: int) -> effects.Effects:
        """Log homes that differ from those of a version."""
        current = self.ledger.homes
        if current.version == version:
            return []
        self._home_placement.restart_wait(self._now_s)
        if current.joining == self.options.replica.name:
            self._home.join(self._now_s)
        fields: dict[str, object] = {
            'version': current.version,
            'homes': ','.join(current.list_names()),
            'joining': current.joining,
        }
        return [effects.Log('homes_changed', fields)]

    def _send_roster(
        self, peer: str, renewal: messages.EntryRenewal, now_s: float
    ) -> effects.Effects:
        """Send an entry the roster if its renewal shows another one.

        The same roster is sent again only after an interval, in which the
        next renewal may show that it has arrived.
        """
        if not self.options.replica.is_open:
            return []
        roster = self._make_roster()
        if renewal.roster_digest == roster.digest():
            return []
        sent = self._sent_rosters.get(peer)
        if (
            sent is not None
            and sent.roster == roster
            and now_s - sent.sent_s < ROSTER_RESEND_S
        ):
            return []
        self._sent_rosters[peer] = SentRoster(roster, now_s)
        return [effects.Send(peer, roster)]

    def _connect_members(self) -> effects.Effects:
        """Connect to the members, and keep no connection to former ones."""
        addresses = self.replica.members.addresses
        previous = self._connected_addresses
        if addresses == previous:
            return []
        self._connected_addresses = dict(addresses)
        result: effects.Effects = [
            effects.Connect(name, address)
            for name, address in addresses.items()
            if name != self.options.replica.name
        ]
        retained = {*addresses, *self._listed_names}
        result += [
            effects.Disconnect(name)
            for name in previous
            if name not in retained
        ]
        return result

    def _make_configuration(self) -> messages.ConfigurationUpdate:
        """Return the configuration without its original document."""
        return messages.ConfigurationUpdate(
            dataclasses.replace(self.ledger.configuration, document=b'')
        )

    def _push_configuration(self) -> effects.Effects:
        """Send a new revision to every live entry without a request."""
        if not self.replica.is_leader:
            return []
        message = self._make_configuration()
        return [
            effects.Send(name, message)
            for name, record in self.ledger.entries.items()
            if record.alive
        ]

    # Operators.

    def _handle_local_change(
        self,
        request: int,
        change: contracts.ChangeRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        if not self.replica.has_committed_in_term():
            return [self._reply_not_leader(request)]
        command = commands.CommitChange(
            change.id,
            change.operator,
            change.expected_revision,
            codec.pack(change.change),
        )
        packed = codec.pack(command)
        refusal = self._refuse_oversized(change.id, packed)
        if refusal is not None:
            return [effects.Reply(request, refusal)]
        index, result = self.replica.propose([packed], inputs)
        if not index:
            return [self._reply_not_leader(request)]
        self._committing[index] = pendingrequests.PendingLocalChange(request)
        return result

    def _handle_configuration_read(
        self, request: int, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        if not self.replica.has_committed_in_term():
            return [self._reply_not_leader(request)]
        self._pending_reads.append(
            pendingrequests.PendingRead(request, inputs.now_s)
        )
        return self.replica.send_heartbeats(inputs)

    def _reply_not_leader(self, request: int) -> effects.Reply:
        leader = self.replica.find_leader(self._now_s)
        if leader == self.options.replica.name:
            leader = ''
        return effects.Reply(request, NotLeading(leader))

    def _answer_reads(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Answer reads that precede a quorum's last confirmation.

        Such a read misses no change that another leader committed earlier.
        """
        if not self._pending_reads or not self.replica.has_committed_in_term():
            return []
        contact_s = self.replica.find_quorum_contact(inputs.now_s)
        result: effects.Effects = []
        while (
            self._pending_reads
            and self._pending_reads[0].arrived_s <= contact_s
        ):
            pending = self._pending_reads.popleft()
            result.append(
                effects.Reply(pending.request, self.ledger.configuration)
            )
        return result

    def _handle_change(
        self,
        peer: str,
        request: messages.ConfigurationChangeRequest,
        inputs: decisioninputs.DecisionInputs,
    ) -> effects.Effects:
        verdict = self.ledger.changes.get(request.id)
        if verdict is not None and self.replica.has_committed_in_term():
            response = messages.ConfigurationChangeResponse(
                codec.pack(verdict)
            )
            return [effects.Send(peer, response)]
        command = commands.CommitChange(
            request.id,
            request.operator,
            request.expected_revision,
            request.change,
        )
        packed = codec.pack(command)
        refusal = self._refuse_oversized(request.id, packed)
        if refusal is not None:
            response = messages.ConfigurationChangeResponse(
                codec.pack(refusal)
            )
            return [effects.Send(peer, response)]
        index, result = self.replica.propose([packed], inputs)
        if not index:
            return [self._send_not_leader(peer)]
        self._committing[index] = pendingrequests.PendingChange(peer)
        return result

    def _refuse_oversized(
        self, change_id: str, packed: codec.Variant
    ) -> contracts.ChangeInvalid | None:
        """Return a refusal of a change that fits into no frame."""
        size = len(packed[1])
        if size <= MAX_CHANGE_BYTES:
            return None
        return contracts.ChangeInvalid(
            change_id,
            self.ledger.configuration.revision,
            f'the change has {size} bytes; at most {MAX_CHANGE_BYTES} fit '
            'into a message between replicas',
        )

    # Commits.

    def _append_batch(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Append the waiting claims unless a batch is being committed."""
        if not self._batch:
            return []
        if self._has_claims_committing():
            return []
        count = 1
        if self.options.group_commit:
            count = pendingrequests.count_batch(self._batch)
        requests, self._batch = self._batch[:count], self._batch[count:]
        claims = tuple(
            claim for request in requests for claim in request.claims
        )
        command = commands.CommitClaims(claims, inputs.wall_ms)
        index, result = self.replica.propose([codec.pack(command)], inputs)
        if not index:
            self._pending_claim_keys -= {
                (each.peer, each.request) for each in requests
            }
            return [
                self._send_not_leader(request.peer) for request in requests
            ]
        self._committing[index] = requests
        self.counters['claim_batches'] += 1
        self.counters['claims'] += len(claims)
        return result

    def _has_claims_committing(self) -> bool:
        return any(
            isinstance(pending, list) for pending in self._committing.values()
        )

    def _apply_committed(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        homes_version = self.ledger.homes.version
        installed = self.replica.poll_installed_snapshot()
        if installed is not None:
            self.ledger.load(installed)
        result: effects.Effects = []
        revision = self.ledger.configuration.revision
        for entry in self.replica.poll_committed():
            command = codec.unpack(entry.command)
            if isinstance(command, commands.RegisterEntry):
                self._registering.pop(command.name, None)
                self._answerable_entries |= self._deferred_renewals.keys() & {
                    command.name
                }
            if not self.ledger.homes.version and isinstance(
                command, commands.RegisterEntry | commands.SetMembers
            ):
                # The first homes are chosen among all that start together,
                # and machines with a disk are known once they have joined.
                self._home_placement.restart_wait(inputs.now_s)
            verdicts = self.ledger.apply(entry.index, command)
            pending = self._committing.pop(entry.index, None)
            if isinstance(pending, list):
                self._pending_claim_keys -= {
                    (each.peer, each.request) for each in pending
                }
            result += pendingrequests.answer_committed(pending, verdicts)
        if self.ledger.configuration.revision != revision:
            self.grants.record_commit(
                self.ledger.configuration.revision, inputs.now_s
            )
            result += self._push_configuration()
            result.append(self._log_commit())
        result += self._apply_homes(homes_version)
        return result + self._compact()

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
        entry_count = len(self.replica.log.entries)
        if entry_count < self.options.snapshot_interval:
            return []
        members = self.replica.find_applied_members()
        return self.replica.compact(self.ledger.dump(members))

    def _update_leadership(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        has_committed = self.replica.has_committed_in_term()
        if has_committed and not self._leadership_started:
            self._leadership_started = True
            self._leadership_began_s = inputs.now_s
            self.voters_missing = 0
            self._home_placement.start_leadership(inputs.now_s)
            self._registering = {}
            self._answerable_entries |= self._deferred_renewals.keys()
            self._sent_rosters = {}
            self._entry_last_contact_s = dict.fromkeys(
                self.ledger.entries, inputs.now_s
            )
            self.grants.start_leadership(
                self.ledger.configuration.revision, inputs.now_s
            )
            return [
                effects.Log('leadership_began', {'term': self.replica.term}),
                *self._connect_entries(),
            ]
        if self.replica.is_leader:
            return []
        result: effects.Effects = []
        if self._leadership_started:
            fields: dict[str, object] = {
                'term': self.replica.term,
                'leader': self.replica.leader,
            }
            result.append(effects.Log('leadership_lost', fields))
        if not (
            self._leadership_started
            or self._committing
            or self._pending_lookups
            or self._pending_reads
        ):
            return []
        self._leadership_started = False
        return result + self._abandon_pending()

    def _check_voters(self, now_s: float) -> effects.Effects:
        """Log when the number of voters that are missing has changed.

        A voter whose disk is lost or does not answer is missing as well.
        """
        elapsed_s = now_s - self._leadership_began_s
        if not self._leadership_started or elapsed_s < VOTERS_CHECK_DELAY_S:
            return []
        members = self.replica.members
        answering = self.replica.count_answering_voters(now_s)
        missing = max(0, self.options.replica.voters - answering)
        if missing == self.voters_missing:
            return []
        self.voters_missing = missing
        fields: dict[str, object] = {
            'missing': missing,
            'voters': len(members.voters),
            'learners': len(members.learners),
        }
        return [effects.Log('voters_missing', fields)]

    def _report_membership(self, now_s: float) -> effects.Effects:
        """Report the members that this replica knows, and its leader."""
        decisions = self.replica
        members = decisions.members
        names = {*members.voters, *members.learners}
        known = {**self.options.addresses, **members.addresses}
        fields: dict[str, object] = {
            'part': _describe_part(decisions),
            'voters': reports.join_names(members.voters),
            'learners': reports.join_names(members.learners),
            'without_address': reports.join_names(names - known.keys()),
        }
        result: effects.Effects = []
        if fields != self._reported_membership:
            self._reported_membership = fields
            result.append(effects.Log('membership', fields))
        leader = decisions.leader
        if leader and leader != self._reported_leader:
            self._reported_leader = leader
            fields = {'leader': leader, 'term': decisions.term}
            result.append(effects.Log('leader_changed', fields))
        if not decisions.is_member:
            fields = {
                'disk': self.options.replica.disk,
                'leader': decisions.find_leader(now_s),
            }
            result += self._reports.report('admission_awaited', fields, now_s)
        return result

    def _connect_entries(self) -> effects.Effects:
        """Allow messages to entries that have not contacted this replica.

        Those of an open group are told who leads, since their settings may
        name no member.
        """
        result: effects.Effects = []
        announcement = self._make_announcement()
        for name, address in self._list_live_entries().items():
            result.append(effects.Connect(name, address, persistent=False))
            if self.options.replica.is_open:
                result.append(effects.Send(name, announcement))
        return result

    def _abandon_pending(self) -> effects.Effects:
        """Answer all pending requests after leadership was lost."""
        peers = {each.peer for each in self._batch}
        peers |= {each.peer for each in self._pending_lookups}
        result: effects.Effects = [
            self._reply_not_leader(read.request)
            for read in self._pending_reads
        ]
        for pending in self._committing.values():
            match pending:
                case pendingrequests.PendingLocalChange(request):
                    # The next leader may still commit this change.
                    result.append(effects.Reply(request, NotLeading('')))
                case pendingrequests.PendingChange(peer):
                    peers.add(peer)
                case list():
                    peers |= {each.peer for each in pending}
        self._batch = []
        self._pending_claim_keys = set()
        self._committing = {}
        self._pending_lookups.clear()
        self._pending_reads.clear()
        not_leader = [self._send_not_leader(peer) for peer in sorted(peers)]
        return result + not_leader

    # Lookups.

    def _answer_lookups(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        """Answer lookups that precede a quorum's last confirmation."""
        if (
            not self._pending_lookups
            or not self.replica.has_committed_in_term()
        ):
            return []
        contact_s = self.replica.find_quorum_contact(inputs.now_s)
        result: effects.Effects = []
        while (
            self._pending_lookups
            and self._pending_lookups[0].arrived_s <= contact_s
        ):
            pending = self._pending_lookups.popleft()
            verdicts = [
                self.ledger.look_up(submission)
                for submission in pending.submissions
            ]
            result.append(
                pendingrequests.send_claim_verdicts(
                    pending.peer, pending.request, verdicts
                )
            )
        return result

    # Time.

    def _end_unresponsive_entries(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        if (
            not self.replica.has_committed_in_term()
            or not self._leadership_started
        ):
            return []
        end_commands = []
        for name, record in self.ledger.entries.items():
            last_contact_s = self._entry_last_contact_s.setdefault(
                name, inputs.now_s
            )
            if record.alive and inputs.now_s - last_contact_s > ENTRY_TTL_S:
                # Proposes this again only after another ENTRY_TTL_S.
                self._entry_last_contact_s[name] = inputs.now_s
                command = commands.EndEntry(name, record.incarnation)
                end_commands.append(codec.pack(command))
        if not end_commands:
            return []
        return self.replica.propose(end_commands, inputs)[1]

    def _finish_stop(
        self, inputs: decisioninputs.DecisionInputs
    ) -> effects.Effects:
        if not self.stopping or self._exit_sent:
            return []
        elapsed_s = inputs.now_s - self._stop_requested_s
        if self.replica.is_leader and elapsed_s < replica.TRANSFER_TIMEOUT_S:
            return []
        self._exit_sent = True
        return [effects.Exit()]

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state that a dump prints."""
        return {
            'replica': self.replica.describe(now_s),
            'revision': self.ledger.configuration.revision,
            'in_force_revision': self.grants.update_in_force(now_s),
            'claims': len(self.ledger.claims),
            'entries': {
                name: {
                    'incarnation': record.incarnation,
                    'alive': record.alive,
                    'address': record.address,
                }
                for name, record in self.ledger.entries.items()
            },
            'homes': {
                'version': self.ledger.homes.version,
                'names': self.ledger.homes.list_names(),
                'granted': len(self._home),
            },
            'stopping': self.stopping,
            'counters': dict(self.counters),
        }


def _describe_part(decisions: replica.Replica) -> str:
    if decisions.is_voter:
        return 'voter'
    return 'learner' if decisions.is_member else 'none'
