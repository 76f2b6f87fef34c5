"""The replicated state machine: configuration, claims and entries.

Every replica applies the same commands in the same order.  The state machine
reads no clock: its time comes from the commands and never moves backwards.
"""

import collections
import dataclasses
from typing import Any
from typing import Final

import msgspec

from eelgrassworks import contracts
from eelgrassworks.contracts import ids
from eelgrassworks.links import codec
from eelgrassworks.replication import commands

CLAIM_WINDOW_MS: Final = 900_000
MAX_CLOCK_SKEW_MS: Final = 60_000
EXPIRY_BUCKET_MS: Final = 10_000
MAX_RETAINED_CHANGES: Final = 10_000
MAX_RETIRED_RUNS: Final = 16


class ClaimRecord(msgspec.Struct, array_like=True):
    """Owner and body digest of a claimed id."""

    digest: str
    owner: str
    incarnation: int


class EntryRecord(msgspec.Struct, array_like=True):
    """Current run of an entry, and the nonces of the runs it replaced."""

    address: str
    nonce: int
    incarnation: int
    alive: bool
    retired: list[int]


class LedgerModel(msgspec.Struct):
    """Validated model of a snapshot."""

    configuration: contracts.Configuration
    claims: dict[str, ClaimRecord]
    entries: dict[str, EntryRecord]
    changes: list[tuple[str, codec.Variant]]
    winners: list[tuple[int, str]]
    time_ms: int
    members: commands.SetMembers
    homes: contracts.HomeSet = contracts.NO_HOMES


class Ledger:
    """Replicated state: configuration, claims and entries."""

    def __init__(self) -> None:
        self.configuration = contracts.Configuration(
            0, contracts.Sheet({}, {}), frozenset(), frozenset()
        )
        self.claims: dict[str, ClaimRecord] = {}
        self.entries: dict[str, EntryRecord] = {}
        self.changes: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
        self.winners: dict[int, str] = {}
        self.time_ms = 0
        self.homes = contracts.NO_HOMES
        self._buckets: dict[int, list[str]] = {}

    def apply(self, index: int, command: Any) -> list[Any]:
        """Apply one command; return its verdicts."""
        match command:
            case commands.CommitClaims(claims, wall_ms):
                self._advance_time(wall_ms)
                return [self._apply_claim(claim) for claim in claims]
            case commands.CommitChange():
                return [self._apply_change(command)]
            case commands.RegisterEntry():
                self._apply_registration(index, command)
                return []
            case commands.EndEntry(name, incarnation):
                record = self.entries.get(name)
                if record is not None and record.incarnation == incarnation:
                    record.alive = False
                return []
            case commands.SetHomes(homes):
                # An earlier leader may have proposed it.
                if homes.version == self.homes.version + 1:
                    self.homes = homes
                return []
            case _:
                return []

    # Claims.

    def look_up(self, submission: str) -> contracts.ClaimVerdict:
        """Return who owns an id, without claiming it."""
        record = self.claims.get(submission)
        if record is not None:
            return self._make_taken_verdict(submission, record)
        # Only claims advance the time, so it may lag far behind here.  An id
        # that seems to be from the future can be rejected only by a claim.
        rejection = self._check_time(submission)
        if isinstance(rejection, contracts.ClaimExpired):
            return rejection
        return contracts.ClaimFree(submission)

    def _apply_claim(self, claim: contracts.Claim) -> contracts.ClaimVerdict:
        submission = claim.submission
        rejection = self._check_time(submission)
        if rejection is not None:
            return rejection
        record = self.claims.get(submission)
        if record is None:
            return self._grant(claim)
        if record.digest != claim.digest:
            return contracts.ClaimConflict(submission)
        if (record.owner, record.incarnation) == (
            claim.owner,
            claim.incarnation,
        ):
            return contracts.ClaimGranted(submission)
        return self._make_taken_verdict(submission, record)

    def _grant(self, claim: contracts.Claim) -> contracts.ClaimVerdict:
        entry = self.entries.get(claim.owner)
        if entry is None or entry.incarnation != claim.incarnation:
            return contracts.ClaimSuperseded(claim.submission)
        self._add_claim(
            claim.submission,
            ClaimRecord(claim.digest, claim.owner, claim.incarnation),
        )
        return contracts.ClaimGranted(claim.submission)

    def _add_claim(self, submission: str, record: ClaimRecord) -> None:
        self.claims[submission] = record
        id_ms = ids.read_time_ms(submission) or 0
        self._buckets.setdefault(id_ms // EXPIRY_BUCKET_MS, []).append(
            submission
        )

    def _make_taken_verdict(
        self, submission: str, record: ClaimRecord
    ) -> contracts.ClaimTaken:
        entry = self.entries.get(record.owner)
        is_current = (
            entry is not None
            and entry.alive
            and entry.incarnation == record.incarnation
        )
        address = entry.address if entry is not None and is_current else ''
        return contracts.ClaimTaken(
            submission, record.owner, record.incarnation, address
        )

    def _check_time(self, submission: str) -> contracts.ClaimVerdict | None:
        id_ms = ids.read_time_ms(submission)
        if id_ms is None or id_ms < self.time_ms - CLAIM_WINDOW_MS:
            return contracts.ClaimExpired(submission)
        if id_ms > self.time_ms + MAX_CLOCK_SKEW_MS:
            return contracts.ClaimFuture(submission)
        return None

    def _advance_time(self, wall_ms: int) -> None:
        self.time_ms = max(self.time_ms, wall_ms)
        oldest = (self.time_ms - CLAIM_WINDOW_MS) // EXPIRY_BUCKET_MS
        for bucket in [each for each in self._buckets if each < oldest]:
            for submission in self._buckets.pop(bucket):
                self.claims.pop(submission, None)

    # Configuration.

    def _apply_change(self, command: commands.CommitChange) -> Any:
        previous = self.changes.get(command.id)
        if previous is not None:
            return previous
        verdict = self._decide(command)
        self.changes[command.id] = verdict
        while len(self.changes) > MAX_RETAINED_CHANGES:
            self.changes.popitem(last=False)
        return verdict

    def _decide(
        self, command: commands.CommitChange
    ) -> contracts.ChangeVerdict:
        revision = self.configuration.revision
        if command.expected_revision not in (contracts.ANY_REVISION, revision):
            winner = self.winners.get(command.expected_revision + 1, '')
            return contracts.ChangeConflict(command.id, revision, winner)
        change = codec.unpack(command.change)
        if self._is_overtaken(change):
            return contracts.ChangeAccepted(command.id, revision)
        reason = self._find_rejection_reason(change)
        if reason:
            return contracts.ChangeInvalid(command.id, revision, reason)
        self.configuration = _revise(self.configuration, change)
        revision = self.configuration.revision
        self.winners[revision] = command.operator
        self.winners.pop(revision - MAX_RETAINED_CHANGES, None)
        return contracts.ChangeAccepted(command.id, revision)

    def _is_overtaken(self, change: contracts.Change) -> bool:
        """Tell whether a change is accepted without an effect."""
        match change:
            case contracts.ReplaceSheet(version, allows_zero=allows_zero):
                if not version and not allows_zero:
                    return True
                return not self.configuration.precedes(version)
            case _:
                return False

    def _find_rejection_reason(self, change: contracts.Change) -> str:
        domains = {
            name
            for kind in self.configuration.sheet.kinds.values()
            for name in kind.failure_domains
        }
        match change:
            case contracts.CloseDomain(name) | contracts.OpenDomain(name):
                if name in domains or name in self.configuration.closed:
                    return ''
                return f'failure domain {name} is not in the sheet'
            case _:
                return ''

    # Entries.

    def _apply_registration(
        self, index: int, command: commands.RegisterEntry
    ) -> None:
        record = self.entries.get(command.name)
        if record is not None and record.nonce == command.nonce:
            record.alive = True
            record.address = command.address
            return
        retired: list[int] = []
        if record is not None:
            if command.nonce in record.retired:
                return
            retired = [*record.retired, record.nonce][-MAX_RETIRED_RUNS:]
        self.entries[command.name] = EntryRecord(
            command.address, command.nonce, index, True, retired
        )

    # Snapshots.

    def dump(self, members: commands.SetMembers) -> bytes:
        """Encode the state and the members of the log as a snapshot."""
        return codec.encode_deterministic(
            LedgerModel(
                self.configuration,
                self.claims,
                self.entries,
                [
                    (key, codec.pack(each))
                    for key, each in self.changes.items()
                ],
                list(self.winners.items()),
                self.time_ms,
                members,
                self.homes,
            )
        )

    def load(self, data: bytes) -> commands.SetMembers:
        """Replace the state with a snapshot; return its members."""
        model = msgspec.msgpack.decode(data, type=LedgerModel)
        self.configuration = model.configuration
        self.entries = model.entries
        self.changes = collections.OrderedDict(
            (key, codec.unpack(variant)) for key, variant in model.changes
        )
        self.winners = dict(model.winners)
        self.time_ms = model.time_ms
        self.homes = model.homes
        self.claims = {}
        self._buckets = {}
        for submission, record in model.claims.items():
            self._add_claim(submission, record)
        return model.members


def _revise(
    configuration: contracts.Configuration, change: contracts.Change
) -> contracts.Configuration:
    """Return the configuration after one change, at the next revision."""
    revised = dataclasses.replace(
        configuration, revision=configuration.revision + 1
    )
    match change:
        case contracts.ApplySheet(sheet):
            return dataclasses.replace(revised, sheet=sheet)
        case contracts.ReplaceSheet(version, sheet, document):
            return dataclasses.replace(
                revised,
                sheet=sheet,
                version=version,
                document=document,
                is_numbered=True,
            )
        case contracts.CloseDomain(name):
            return dataclasses.replace(revised, closed=revised.closed | {name})
        case contracts.OpenDomain(name):
            return dataclasses.replace(revised, closed=revised.closed - {name})
        case contracts.DrainTarget(name):
            return dataclasses.replace(
                revised, draining=revised.draining | {name}
            )
        case contracts.UndrainTarget(name):
            return dataclasses.replace(
                revised, draining=revised.draining - {name}
            )


def read_members(snapshot: bytes) -> commands.SetMembers:
    """Return the members of the log that are stored in a snapshot."""
    return msgspec.msgpack.decode(snapshot, type=LedgerModel).members
