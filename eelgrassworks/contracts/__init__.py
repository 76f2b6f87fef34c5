"""Data types shared by callers, operators and processes.

These are submissions and their answers, claims on submission ids, team
quotas and configuration revisions.  Every type is a data class whose
behaviour depends on neither a clock nor a connection.
"""

from eelgrassworks.contracts.claim import Claim
from eelgrassworks.contracts.claim import ClaimConflict
from eelgrassworks.contracts.claim import ClaimExpired
from eelgrassworks.contracts.claim import ClaimFree
from eelgrassworks.contracts.claim import ClaimFuture
from eelgrassworks.contracts.claim import ClaimGranted
from eelgrassworks.contracts.claim import ClaimSuperseded
from eelgrassworks.contracts.claim import ClaimTaken
from eelgrassworks.contracts.claim import ClaimVerdict
from eelgrassworks.contracts.configuration import ANY_REVISION
from eelgrassworks.contracts.configuration import ApplySheet
from eelgrassworks.contracts.configuration import Change
from eelgrassworks.contracts.configuration import ChangeAccepted
from eelgrassworks.contracts.configuration import ChangeConflict
from eelgrassworks.contracts.configuration import ChangeInvalid
from eelgrassworks.contracts.configuration import ChangeRequest
from eelgrassworks.contracts.configuration import ChangeVerdict
from eelgrassworks.contracts.configuration import CloseDomain
from eelgrassworks.contracts.configuration import Configuration
from eelgrassworks.contracts.configuration import DrainTarget
from eelgrassworks.contracts.configuration import Kind
from eelgrassworks.contracts.configuration import OpenDomain
from eelgrassworks.contracts.configuration import ReplaceSheet
from eelgrassworks.contracts.configuration import Sheet
from eelgrassworks.contracts.configuration import UndrainTarget
from eelgrassworks.contracts.demand import Backlog
from eelgrassworks.contracts.demand import Demand
from eelgrassworks.contracts.demand import DIGEST_TTL_S
from eelgrassworks.contracts.demand import SharedState
from eelgrassworks.contracts.homeset import HomeSet
from eelgrassworks.contracts.homeset import NO_HOMES
from eelgrassworks.contracts.quota import Quota
from eelgrassworks.contracts.room import NO_ROOM
from eelgrassworks.contracts.room import Room
from eelgrassworks.contracts.submission import Answer
from eelgrassworks.contracts.submission import Complete
from eelgrassworks.contracts.submission import Failed
from eelgrassworks.contracts.submission import MAX_TASKS
from eelgrassworks.contracts.submission import NotRun
from eelgrassworks.contracts.submission import read_caller_id
from eelgrassworks.contracts.submission import read_run
from eelgrassworks.contracts.submission import Submission
from eelgrassworks.contracts.submission import TaskKey

__all__ = [
    'DIGEST_TTL_S',
    'ANY_REVISION',
    'Answer',
    'ApplySheet',
    'Backlog',
    'Change',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeInvalid',
    'ChangeRequest',
    'ChangeVerdict',
    'Claim',
    'ClaimConflict',
    'ClaimExpired',
    'ClaimFree',
    'ClaimFuture',
    'ClaimGranted',
    'ClaimSuperseded',
    'ClaimTaken',
    'ClaimVerdict',
    'CloseDomain',
    'Complete',
    'Configuration',
    'Demand',
    'DrainTarget',
    'Failed',
    'HomeSet',
    'Kind',
    'MAX_TASKS',
    'NO_HOMES',
    'NO_ROOM',
    'NotRun',
    'OpenDomain',
    'Quota',
    'ReplaceSheet',
    'Room',
    'SharedState',
    'Sheet',
    'Submission',
    'TaskKey',
    'UndrainTarget',
    'read_caller_id',
    'read_run',
]
