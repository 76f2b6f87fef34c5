"""Tags and fields of the registered classes, as they are encoded.

Tags and field names are on the wire between processes of different versions
and in the data folders.  They are written out here, so that the rename of a
class or a field in the code cannot change the encoding unnoticed.
"""

import dataclasses
import importlib
import pkgutil
from typing import ClassVar
import unittest
from unittest import mock

import ddt
import msgspec

import eelgrassworks
from eelgrassworks import contracts
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands

# A registered class, its tag and its field names in order of encoding.
ROWS: tuple[tuple[type, str, tuple[str, ...]], ...] = (
    (
        messages.AgentRenewal,
        'AgentRenewal',
        (
            'target',
            'worker',
            'failure_domain',
            'kinds',
            'slots',
            'free',
            'starts_seen',
            'stamp_ms',
            'revision',
            'accepting',
            'service',
            'room',
            'free_room',
            'speed',
            'shown',
            'unended',
            'orphans',
            'shared',
            'neighbours',
        ),
    ),
    (
        messages.PairReport,
        'PairReport',
        ('kind', 'beside', 'slowdown', 'samples'),
    ),
    (messages.KindsReport, 'KindsReport', ('running', 'pairs')),
    (messages.OrphanedJob, 'OrphanedJob', ('entry', 'job')),
    (
        messages.ShownAttempt,
        'ShownAttempt',
        ('submission', 'index', 'attempt'),
    ),
    (
        messages.TaskFinished,
        'TaskFinished',
        (
            'submission',
            'index',
            'succeeded',
            'stopped',
            'body',
            'run_ms',
            'free',
            'starts_seen',
            'attempt',
            'free_room',
        ),
    ),
    (
        messages.TaskDeclined,
        'TaskDeclined',
        (
            'submission',
            'index',
            'attempt',
            'reason',
            'free',
            'starts_seen',
            'free_room',
        ),
    ),
    (messages.TaskRunning, 'TaskRunning', ('submission', 'index')),
    (messages.TaskUnknown, 'TaskUnknown', ('submission', 'index', 'attempt')),
    (
        messages.SlotsOffered,
        'SlotsOffered',
        ('free', 'starts_seen', 'free_room'),
    ),
    (
        messages.AgentLease,
        'AgentTerms',
        (
            'stamp_ms',
            'remaining_ms',
            'revision',
            'open',
            'draining',
            'kinds',
            'any_kind',
        ),
    ),
    (
        messages.TaskStart,
        'TaskStart',
        (
            'submission',
            'index',
            'attempt',
            'incarnation',
            'kind',
            'payload',
            'limit_ms',
            'stamp_ms',
            'waiting',
            'transient',
            'patient',
            'demand',
            'estimate_ms',
            'first_waiting',
        ),
    ),
    (
        messages.TaskFence,
        'TaskFence',
        ('submission', 'index', 'attempt', 'incarnation', 'stamp_ms'),
    ),
    (messages.JobCancel, 'JobCancel', ('submissions',)),
    (messages.SlotsRequest, 'SlotsWanted', ('waiting', 'first_waiting')),
    (
        messages.EntryRenewal,
        'EntryRenewal',
        (
            'name',
            'address',
            'nonce',
            'sent_ms',
            'revision',
            'roster_digest',
            'failure_domain',
        ),
    ),
    (messages.ClaimsRequest, 'ClaimsAsked', ('request', 'claims')),
    (messages.LookupsRequest, 'LookupsAsked', ('request', 'submissions')),
    (
        messages.ConfigurationChangeRequest,
        'ChangeAsked',
        ('id', 'operator', 'expected_revision', 'change'),
    ),
    (
        messages.EntryLease,
        'EntryTerms',
        (
            'sent_ms',
            'remaining_ms',
            'revision',
            'in_force_revision',
            'incarnation',
            'homes_version',
        ),
    ),
    (messages.ConfigurationUpdate, 'ConfigurationTold', ('configuration',)),
    (messages.ClaimsResponse, 'ClaimsTold', ('request', 'verdicts')),
    (messages.ConfigurationChangeResponse, 'ChangeTold', ('verdict',)),
    (messages.NotLeader, 'NotLeader', ('leader',)),
    (messages.RosterRequest, 'RosterAsked', ()),
    (
        messages.RosterUpdate,
        'RosterTold',
        ('replicas', 'entries', 'leader', 'homes'),
    ),
    (
        messages.AttachRequest,
        'AttachAsked',
        ('request', 'submission', 'digest', 'team', 'age_ms'),
    ),
    (
        messages.AttachResponse,
        'AttachTold',
        ('request', 'answer', 'submission'),
    ),
    (
        messages.AttachWithdrawal,
        'AttachWithdrawal',
        ('request', 'submission'),
    ),
    (messages.CancelRequest, 'CancelAsked', ('submission', 'team')),
    (
        messages.JobOwnership,
        'JobOwnership',
        ('submission', 'job', 'attempt', 'repeated', 'age_ms'),
    ),
    (
        messages.OwnershipRequest,
        'OwnershipRequest',
        ('request', 'claims', 'renewals'),
    ),
    (messages.OwnershipRelease, 'OwnershipRelease', ('jobs',)),
    (messages.OwnershipProtection, 'OwnershipProtection', ('jobs',)),
    (messages.OwnershipReportRequest, 'OwnershipReportRequest', ('run',)),
    (
        messages.OwnershipReport,
        'OwnershipReport',
        ('run', 'uptime_ms', 'jobs'),
    ),
    (
        messages.OwnershipRefusal,
        'OwnershipRefusal',
        ('submission', 'owner', 'job'),
    ),
    (
        messages.OwnershipResponse,
        'OwnershipResponse',
        ('request', 'refused', 'undecided', 'recovering'),
    ),
    (messages.Heartbeat, 'Heartbeat', ('sent_s', 'kept')),
    (messages.HeartbeatEcho, 'HeartbeatEcho', ('sent_s',)),
    (messages.LogEntry, 'LogEntry', ('index', 'term', 'command')),
    (
        messages.VoteRequest,
        'VoteAsked',
        ('term', 'trial', 'last_index', 'last_term', 'transfer', 'disk'),
    ),
    (messages.VoteResponse, 'VoteTold', ('term', 'trial', 'granted', 'disk')),
    (
        messages.AppendRequest,
        'AppendAsked',
        (
            'term',
            'previous_index',
            'previous_term',
            'entries',
            'commit',
            'sent_s',
            'durable',
        ),
    ),
    (
        messages.AppendResponse,
        'AppendTold',
        (
            'term',
            'accepted',
            'match',
            'sent_s',
            'disk',
            'failure_domain',
            'knows_homes',
        ),
    ),
    (
        messages.SnapshotChunk,
        'SnapshotPart',
        (
            'term',
            'last_index',
            'last_term',
            'offset',
            'data',
            'final',
            'sent_s',
        ),
    ),
    (
        messages.SnapshotChunkResponse,
        'SnapshotPartTold',
        ('term', 'last_index', 'offset', 'sent_s'),
    ),
    (messages.LeadershipTransferRequest, 'LeadershipOffered', ('term',)),
    (messages.VerificationRequest, 'StandingAsked', ('disk',)),
    (
        messages.VerificationResponse,
        'StandingTold',
        ('disk', 'seen_index', 'seen_term', 'seen_leader_term'),
    ),
    (
        messages.AdmissionRequest,
        'AdmissionAsked',
        ('disk', 'address', 'failure_domain'),
    ),
    (messages.AdmissionDeferred, 'AdmissionDeferred', ('members',)),
    (contracts.ApplySheet, 'ApplySheet', ('sheet',)),
    (contracts.ChangeAccepted, 'ChangeAccepted', ('id', 'revision')),
    (contracts.ChangeConflict, 'ChangeConflict', ('id', 'revision', 'winner')),
    (contracts.ChangeInvalid, 'ChangeInvalid', ('id', 'revision', 'reason')),
    (contracts.ClaimConflict, 'ClaimConflict', ('submission',)),
    (contracts.ClaimExpired, 'ClaimExpired', ('submission',)),
    (contracts.ClaimFree, 'ClaimFree', ('submission',)),
    (contracts.ClaimFuture, 'ClaimFuture', ('submission',)),
    (contracts.ClaimGranted, 'ClaimGranted', ('submission',)),
    (contracts.ClaimSuperseded, 'ClaimSuperseded', ('submission',)),
    (
        contracts.ClaimTaken,
        'ClaimTaken',
        ('submission', 'owner', 'incarnation', 'address'),
    ),
    (contracts.CloseDomain, 'CloseDomain', ('failure_domain',)),
    (contracts.Complete, 'Complete', ('results',)),
    (contracts.DrainTarget, 'DrainTarget', ('target',)),
    (contracts.Failed, 'Failed', ('refusal', 'may_start')),
    (contracts.NotRun, 'NotRun', ('refusal',)),
    (contracts.OpenDomain, 'OpenDomain', ('failure_domain',)),
    (
        contracts.ReplaceSheet,
        'ReplaceSheet',
        ('version', 'sheet', 'document', 'allows_zero'),
    ),
    (contracts.UndrainTarget, 'UndrainTarget', ('target',)),
    (
        commands.CommitChange,
        'CommitChange',
        ('id', 'operator', 'expected_revision', 'change'),
    ),
    (commands.CommitClaims, 'CommitClaims', ('claims', 'wall_ms')),
    (commands.EndEntry, 'EndEntry', ('name', 'incarnation')),
    (commands.NoOp, 'NoOp', ()),
    (commands.RegisterEntry, 'RegisterEntry', ('name', 'address', 'nonce')),
    (commands.SetHomes, 'SetHomes', ('homes',)),
    (commands.SetMembers, 'SetMembers', ('voters', 'learners', 'addresses')),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Renamed:
    TAG: ClassVar[str] = 'OldName'

    value: int


@dataclasses.dataclass(frozen=True, slots=True)
class Derived(Renamed):
    pass


def list_fields(registered: type) -> tuple[str, ...]:
    """Return the keys under which the fields of a class are encoded."""
    if issubclass(registered, msgspec.Struct):
        return registered.__struct_encode_fields__
    return tuple(each.name for each in dataclasses.fields(registered))


@ddt.ddt
class TagTest(unittest.TestCase):
    @ddt.data(*ROWS)
    @ddt.unpack
    def test_tag_and_fields(
        self, registered: type, tag: str, fields: tuple[str, ...]
    ) -> None:
        self.assertIs(codec._DECODERS[tag].type, registered)
        self.assertEqual(codec.find_tag(registered), tag)
        self.assertEqual(list_fields(registered), fields)

    def test_table_lists_every_registered_class(self) -> None:
        for module in pkgutil.walk_packages(
            eelgrassworks.__path__, 'eelgrassworks.'
        ):
            # An entry point runs on import; it registers nothing.
            if not module.name.endswith('.__main__'):
                importlib.import_module(module.name)
        self.assertEqual(
            sorted(codec._DECODERS), sorted(tag for _, tag, _ in ROWS)
        )

    def test_tag_attribute_replaces_class_name(self) -> None:
        with mock.patch.dict(codec._DECODERS):
            codec.register(Renamed)
            variant = codec.pack(Renamed(3))
            self.assertEqual(variant[0], 'OldName')
            self.assertEqual(codec.unpack(variant), Renamed(3))

    def test_tag_attribute_is_not_inherited(self) -> None:
        self.assertEqual(codec.find_tag(Derived), 'Derived')
