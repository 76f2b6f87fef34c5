"""Refusal codes and the texts that describe them.

A refusal holds a code, whether any work may have run, and the values for the
placeholders of its text.  ``describe`` formats the texts for callers and
operators; each refusal has a remedy.
"""

import dataclasses
import enum
from typing import Final


class Code(enum.StrEnum):
    """Stable codes of refusals, used in documents, logs and exit codes."""

    BAD_BODY = 'bad-body'
    BAD_HEADER = 'bad-header'
    BODY_TOO_LARGE = 'body-too-large'
    BAD_SETTING = 'bad-setting'
    BAD_SHEET = 'bad-sheet'
    CANCELLED = 'cancelled'
    CONFIGURATION_CONFLICT = 'configuration-conflict'
    CONFIGURATION_INVALID = 'configuration-invalid'
    CROWDED = 'crowded'
    DATA_FOLDER = 'data-folder'
    DEADLINE = 'deadline'
    ENCODED = 'encoded'
    ID_CONFLICT = 'id-conflict'
    ID_EXPIRED = 'id-expired'
    ID_FUTURE = 'id-future'
    ID_REQUIRED = 'id-required'
    ISOLATED = 'isolated'
    LAPSED = 'lapsed'
    MOVED = 'moved'
    NOT_FOUND = 'not-found'
    NOT_PERMITTED = 'not-permitted'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    OWNER_LOST = 'owner-lost'
    OWNER_UNREACHABLE = 'owner-unreachable'
    PAUSED = 'paused'
    QUOTA = 'quota'
    RESUMED = 'resumed'
    STOPPING = 'stopping'
    SUPERSEDED = 'superseded'
    TARGET_LOST = 'target-lost'
    TASK_FAILED = 'task-failed'
    UNAVAILABLE = 'unavailable'
    UNCLAIMABLE = 'unclaimable'
    UNKNOWN_KIND = 'unknown-kind'
    UNSUPPORTED = 'unsupported'
    UNKNOWN_TEAM = 'unknown-team'


class Ran(enum.StrEnum):
    """Whether any of the refused work may have run."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal; ``values`` fill the placeholders of its text."""

    code: Code
    ran: Ran
    values: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Wording:
    """HTTP status of a code and the templates of its texts."""

    status: int
    title: str
    text: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """A refusal with its formatted texts."""

    status: int
    title: str
    detail: str
    remedy: str


WORDINGS: Final[dict[Code, Wording]] = {
    Code.BAD_BODY: Wording(
        400,
        'Malformed body',
        'the body is not a valid {expected}: {reason}',
        'correct the body and send the request again',
    ),
    Code.BAD_HEADER: Wording(
        400,
        'Malformed header',
        'header {header} is not valid: {reason}',
        'correct the header and send the request again',
    ),
    Code.BODY_TOO_LARGE: Wording(
        413,
        'Body too large',
        'the body exceeds {limit} bytes',
        'split the job into smaller jobs',
    ),
    Code.CROWDED: Wording(
        503,
        'Too much unfinished',
        'the memory for requests is used up',
        'try again later',
    ),
    Code.ENCODED: Wording(
        415,
        'Encoded body',
        'the body has the content encoding {encoding}',
        'send it without an encoding',
    ),
    Code.BAD_SETTING: Wording(
        400,
        'Invalid setting',
        'setting {key} is not valid: {reason}',
        'correct the settings file and run "eelgrassworks check" on it',
    ),
    Code.BAD_SHEET: Wording(
        422,
        'Invalid sheet',
        'row {row}, column {column}: {reason}',
        '{remedy}',
    ),
    Code.CANCELLED: Wording(
        409,
        'Cancelled',
        'job {submission} was cancelled',
        'submit the work under a new id if it is still wanted',
    ),
    Code.CONFIGURATION_CONFLICT: Wording(
        409,
        'Configuration conflict',
        'revision {revision} by {winner} conflicts with the change',
        'read the current configuration and repeat the change against it',
    ),
    Code.CONFIGURATION_INVALID: Wording(
        422,
        'Invalid change',
        'the change cannot be made: {reason}',
        'list the names with "eelgrassworks show" and correct the change',
    ),
    Code.DATA_FOLDER: Wording(
        500,
        'Unusable data folder',
        'data folder {folder}: {reason}',
        '{remedy}',
    ),
    Code.DEADLINE: Wording(
        504,
        'Deadline exceeded',
        'job {submission} did not finish within {limit_s} s',
        'submit the work under a new id with a longer limit',
    ),
    Code.ID_CONFLICT: Wording(
        409,
        'Id used for another body',
        'id {submission} was submitted before with a different body',
        'use a new id for new work',
    ),
    Code.ID_EXPIRED: Wording(
        409,
        'Id too old',
        'id {submission} is older than the window in which ids are kept',
        'find out whether the work was done, then submit under a new id',
    ),
    Code.ID_FUTURE: Wording(
        400,
        'Id from the future',
        'the time inside id {submission} lies ahead of the server clock',
        'correct the clock of the caller and use a new id',
    ),
    Code.ID_REQUIRED: Wording(
        400,
        'Id required',
        'kind {kind} must not be repeated, so a submission needs an id',
        'send an Idempotency-Key header that holds a UUID of version 7',
    ),
    Code.ISOLATED: Wording(
        503,
        'Entry isolated',
        'this entry has had no message of another machine for {silent_s} s',
        'submit the job again, to another entry',
    ),
    Code.LAPSED: Wording(
        504,
        'Ownership lapsed',
        'too few homes have confirmed that this entry owns job {submission}',
        'submit the same id again, to another entry',
    ),
    Code.MOVED: Wording(
        504,
        'Job moved',
        'job {submission} was submitted again at entry {entry}',
        'wait for the answer of that entry, or submit the same id again',
    ),
    Code.NOT_FOUND: Wording(
        404,
        'Not found',
        '{what} {name} is not known here',
        'check the name, or ask the process that accepted it',
    ),
    Code.NOT_PERMITTED: Wording(
        403,
        'Not permitted',
        'the token does not permit {action}',
        'send the token of the team or operator concerned',
    ),
    Code.NO_TARGET: Wording(
        503,
        'No target',
        'no target that may serve kind {kind} takes work ({reasons})',
        'open a failure domain that serves the kind, or try again later',
    ),
    Code.OVERLOADED: Wording(
        503,
        'Overloaded',
        '{queued} tasks wait and the job cannot be done within {limit_s} s',
        'try again later under a new id',
    ),
    Code.OWNER_LOST: Wording(
        500,
        'Owner lost',
        'process {owner} that owned job {submission} has ended',
        'find out whether the work was done, then submit under a new id',
    ),
    Code.OWNER_UNREACHABLE: Wording(
        503,
        'Owner unreachable',
        'process {owner} that owns job {submission} does not answer',
        'submit the same id again later',
    ),
    Code.PAUSED: Wording(
        504,
        'Entry paused',
        'the process did not run for {pause_s} s during job {submission}',
        'submit the job again',
    ),
    Code.QUOTA: Wording(
        429,
        'Quota reached',
        'team {team} has reached its limit of {limit} waiting tasks',
        'wait for jobs to finish, or ask an operator for a larger quota',
    ),
    Code.RESUMED: Wording(
        503,
        'Entry resumed',
        'this entry was suspended while the job may have waited for it',
        'submit the job again',
    ),
    Code.STOPPING: Wording(
        503,
        'Stopping',
        'the process is stopping and takes no new work',
        'send the request to another entry',
    ),
    Code.SUPERSEDED: Wording(
        500,
        'Superseded',
        'another process was registered under the name {name}',
        'give each entry a name of its own, and stop one of the two',
    ),
    Code.TARGET_LOST: Wording(
        502,
        'Target lost',
        'target {target} went away while task {index} may have run on it',
        'find out whether the work was done, then submit under a new id',
    ),
    Code.TASK_FAILED: Wording(
        502,
        'Task failed',
        'task {index} failed on target {target}: {reason}',
        'correct the cause and submit the work under a new id',
    ),
    Code.UNAVAILABLE: Wording(
        503,
        'Unavailable',
        'no decision could be committed within {limit_s} s',
        'check the control replicas; send the same id again later',
    ),
    Code.UNCLAIMABLE: Wording(
        503,
        'Ownership unavailable',
        'too few homes respond to grant the job to this entry',
        'submit the job again, to another entry',
    ),
    Code.UNKNOWN_KIND: Wording(
        422,
        'Unknown kind',
        'kind {kind} is not in the sheet at revision {revision}',
        'correct the kind, or apply a sheet that has it',
    ),
    Code.UNSUPPORTED: Wording(
        503,
        'Not supported',
        'jobs with {feature} are not supported by this version',
        'submit the work without it',
    ),
    Code.UNKNOWN_TEAM: Wording(
        403,
        'Unknown team',
        'team {team} is not in the sheet at revision {revision}',
        'correct the team, or apply a sheet that has it',
    ),
}


class Fault(Exception):
    """Raised with a refusal where no caller waits, such as at start-up."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(format_refusal(refusal))
        self.refusal = refusal


def refuse(code: Code, **values: object) -> Refusal:
    """Build a refusal of work that has not started."""
    texts = {name: str(value) for name, value in values.items()}
    return Refusal(code, Ran.NOT_RUN, texts)


def refuse_started(code: Code, **values: object) -> Refusal:
    """Build a refusal of work that may have run in part."""
    texts = {name: str(value) for name, value in values.items()}
    return Refusal(code, Ran.MAY_HAVE_RUN, texts)


def describe(refusal: Refusal) -> Description:
    """Format the texts of a refusal."""
    wording = WORDINGS[refusal.code]
    return Description(
        wording.status,
        wording.title,
        wording.text.format_map(refusal.values),
        wording.remedy.format_map(refusal.values),
    )


def format_refusal(refusal: Refusal) -> str:
    """Format a refusal as one line: text, whether work ran, and remedy."""
    description = describe(refusal)
    return f'{description.detail} ({refusal.ran}); {description.remedy}'
