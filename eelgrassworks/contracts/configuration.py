"""Configuration revisions.

The configuration is one value with one revision number.  Every accepted
change raises the revision by one.  A change names the revision it expects,
so that of two concurrent changes exactly one is accepted.
"""

import dataclasses
from typing import Final

from eelgrassworks.contracts import quota

# Expected revision of a change that applies to any current revision.
ANY_REVISION: Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, and the failure domains that may serve it.

    ``service`` names the pool of targets; empty means every target.
    ``host`` and the path prefix ``prefix`` select the kind in an HTTP front
    end.  The job fails when one of its tasks has failed ``attempts`` times.
    A job meets its objective when it ends within ``stretch`` times its run
    time plus ``objective_s``.
    """

    name: str
    failure_domains: frozenset[str]
    repeatable: bool
    time_limit_s: float
    service: str = ''
    host: str = ''
    prefix: str = ''
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """The kinds of request that are served, and the team quotas."""

    kinds: dict[str, Kind]
    quotas: dict[str, quota.Quota]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All settings that operators control, at one revision.

    ``version`` is the operators' own number of the sheet and ``document`` the
    text that they sent; both say nothing unless ``is_numbered`` is set.
    """

    revision: int
    sheet: Sheet
    closed: frozenset[str]
    draining: frozenset[str]
    version: int = 0
    document: bytes = b''
    is_numbered: bool = False

    def precedes(self, version: int) -> bool:
        """Tell whether a sheet with this number replaces the current one.

        Earlier releases stored no ``is_numbered``, and no sheet numbered 0.
        """
        is_numbered = self.is_numbered or self.version > 0
        return not is_numbered or version > self.version


@dataclasses.dataclass(frozen=True, slots=True)
class ApplySheet:
    """Replaces the sheet."""

    sheet: Sheet


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceSheet:
    """Replaces the sheet if ``version`` is higher than the current one.

    A lower or equal version is accepted and changes nothing, so that delayed
    and duplicate requests are harmless.  The first numbered sheet replaces
    any other.

    Without ``allows_zero``, as in the logs of earlier releases, version 0
    replaces nothing: every replica decides a logged change in the same way.
    """

    version: int
    sheet: Sheet
    document: bytes
    allows_zero: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CloseDomain:
    """Takes a failure domain out of service."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenDomain:
    """Returns a failure domain to service."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTarget:
    """Stops new work for a target, also after it registers again."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class UndrainTarget:
    """Allows new work for a target again."""

    target: str


Change = (
    ApplySheet
    | ReplaceSheet
    | CloseDomain
    | OpenDomain
    | DrainTarget
    | UndrainTarget
)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change by an operator.

    ``id`` identifies the change across retries; ``expected_revision`` is the
    revision on which the operator based it.
    """

    id: str
    operator: str
    expected_revision: int
    change: Change


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is committed at ``revision``."""

    id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change was accepted first; ``winner`` is its operator."""

    id: str
    revision: int
    winner: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change names something that does not exist."""

    id: str
    revision: int
    reason: str


ChangeVerdict = ChangeAccepted | ChangeConflict | ChangeInvalid
