"""Which transient jobs an entry owns, by the grants of their homes.

An entry runs a job only while a majority of the homes of its id have granted
it the job.  It claims the id before any task starts, renews the grants while
the job is open or a run of it may be left, and releases them afterwards.  If
another entry owns the id, it claims the id again from time to time.  The
class takes responses and a monotonic time, and returns outcomes; ``flush``
returns the messages.
"""

import collections
import dataclasses
import math
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homechoice
from eelgrassworks.contracts import homeset
from eelgrassworks.links import homes
from eelgrassworks.links import messages
from eelgrassworks.links import session

RENEWAL_INTERVAL_S: Final = 0.2
RESEND_INTERVAL_S: Final = 0.2
PROBE_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 0.1
PROTECTION_INTERVAL_S: Final = 0.5
# Grants that are given back go with the next request to their home, and by
# themselves only after this time.
RELEASE_INTERVAL_S: Final = 0.5
# Two entries that claim one id at the same time wait for different times.
RETRY_INTERVAL_S: Final = 0.2
RETRY_SPREAD_S: Final = 0.1
# Starts under way at a lost agent keep their id for this long after the end of
# their job.
UNSETTLED_TTL_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobGranted:
    """This entry owns a job; its tasks may start."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobTaken:
    """Another entry owns the id of a job, or claims it at this time."""

    job: str
    owner: str
    owner_job: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobUnclaimable:
    """Too few homes respond; no task of the job was sent."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLapsed:
    """Too few homes have confirmed the grants of a job."""

    job: str


Outcome = JobGranted | JobTaken | JobUnclaimable | OwnershipLapsed


@dataclasses.dataclass(slots=True)
class Registration:
    """A job and the grants of its homes.

    By home, ``sent_s`` is when the latest request was sent, ``granted_s`` the
    sending time of the latest request that was granted, and ``refused`` the
    entry and the job that own the id instead.  ``owned`` is set once a
    majority has granted the job, and ``contended`` while another entry owns
    the id.  Grants that were requested up to ``reset_s`` do not count, since
    they have been given back.  ``ended_s`` is the end of a job of which a run
    may be left.  ``slack_s`` is the time from the claim to the latest start of
    the job that is in time.
    """

    submission: str
    job: str
    submitted_s: float
    attempt: int
    slack_s: float = float('inf')
    repeated: bool = False
    reset_s: float = float('-inf')
    sent_s: dict[str, float] = dataclasses.field(default_factory=dict)
    granted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    owned: bool = False
    contended: bool = False
    lapsed: bool = False
    renewed_s: float = 0.0
    retry_s: float = 0.0
    ended_s: float = float('inf')
    successor: 'Registration | None' = None

    def describe(self, now_s: float) -> messages.JobOwnership:
        """Return the job as it is named to homes."""
        age_ms = math.ceil((now_s - self.submitted_s) * 1000)
        return messages.JobOwnership(
            self.submission, self.job, self.attempt, self.repeated, age_ms
        )

    def count_grants(self, group: tuple[str, ...], now_s: float) -> int:
        """Return how many homes of a group have granted the job lately."""
        since_s = now_s - home.GRANT_TTL_S
        return sum(
            self.granted_s.get(name, float('-inf')) > since_s for name in group
        )


@dataclasses.dataclass(slots=True)
class Batch:
    """What the next request to a home contains."""

    claims: list[messages.JobOwnership] = dataclasses.field(
        default_factory=list
    )
    renewals: list[messages.JobOwnership] = dataclasses.field(
        default_factory=list
    )
    releases: list[messages.JobOwnership] = dataclasses.field(
        default_factory=list
    )
    probes: bool = False
    # Set if another entry may wait for a release.
    is_awaited: bool = False

    @property
    def is_urgent(self) -> bool:
        """Return whether the request has something other than releases."""
        return bool(self.claims or self.renewals or self.probes)


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request without a response yet."""

    home: str
    sent_s: float
    jobs: tuple[messages.JobOwnership, ...]


class Ownership:
    """The registrations of one entry, and the table of its own home."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        policy: homechoice.Policy = features.NO_FEATURES.claims,
    ) -> None:
        self.homes = contracts.NO_HOMES
        self._former_homes = contracts.NO_HOMES
        self.table: home.Home | None = None
        self.choice = homechoice.HomeChoice(name, policy)
        self.counters = self.choice.counters
        self._name = name
        self._incarnation = incarnation
        self._registrations: dict[str, Registration] = {}
        self._batches: dict[str, Batch] = {}
        self._requests: dict[int, SentRequest] = {}
        # Responses to an earlier run may still arrive.
        self._request = (
            incarnation % session.REQUEST_RANGE * session.REQUEST_RANGE
        )
        self._attempt = 0
        self._may_grant = False
        self._has_authority = False
        self._counts_former = False
        self._reports_requested_s = float('-inf')
        self._started_s = float('inf')
        self._released_s = float('-inf')
        # When the homes of a job that lost its entry were told last.
        self._protected_s: dict[str, float] = {}

    def begin(self, now_s: float) -> None:
        """Create the table of this home, in the first event of a process."""
        if self.table is None:
            self._started_s = now_s
            self.table = home.Home(now_s)

    # The own home.

    def apply_homes(
        self, current: contracts.HomeSet, now_s: float
    ) -> effects.Effects:
        """Apply a newer set of homes."""
        if current.version <= self.homes.version:
            return []
        self._former_homes, self.homes = self.homes, current
        if self.table is not None and current.joining == self._name:
            self.table.join(now_s)
        names = current.list_names()
        self.choice.apply_homes(names)
        fields = {
            'version': current.version,
            'homes': ','.join(names),
            'joining': current.joining,
        }
        return [effects.Log('homes_changed', fields)]

    def set_authority(self, may_grant: bool, oldest_version: int = 0) -> None:
        """Record whether this entry can be sure of the set of homes.

        ``oldest_version`` is the lowest version of homes that a running lease
        names; 0 if none does.
        """
        self._has_authority = may_grant
        self._may_grant = may_grant and self._name in self.choice.contacts
        self._counts_former = (
            may_grant and 0 < oldest_version <= self._former_homes.version
        )

    def handle_request(
        self,
        peer: str,
        incarnation: int,
        request: messages.OwnershipRequest,
        now_s: float,
    ) -> effects.Effects:
        """Answer a request to this home."""
        if self.table is None:
            return []
        response = homes.answer_request(
            self.table, peer, incarnation, request, now_s, self._may_grant
        )
        return [effects.Send(peer, response)]

    def protect(
        self, orphans: tuple[messages.OrphanedJob, ...], now_s: float
    ) -> effects.Effects:
        """Let the homes keep the grants of jobs that lost their entry."""
        by_home: dict[str, list[messages.OrphanedJob]] = {}
        for each in orphans:
            protected_s = self._protected_s.get(each.job, float('-inf'))
            if now_s - protected_s < PROTECTION_INTERVAL_S:
                continue
            self._protected_s[each.job] = now_s
            submission = contracts.read_caller_id(each.job)
            for name in self.homes.find_group(submission):
                by_home.setdefault(name, []).append(each)
        result: effects.Effects = []
        for name, jobs in by_home.items():
            protection = messages.OwnershipProtection(tuple(jobs))
            if name != self._name:
                result.append(effects.Send(name, protection))
            elif self.table is not None:
                homes.apply_protection(self.table, protection, now_s)
        return result

    def handle_protection(
        self, protection: messages.OwnershipProtection, now_s: float
    ) -> None:
        """Keep grants of owners that are lost."""
        if self.table is not None:
            homes.apply_protection(self.table, protection, now_s)

    def request_reports(
        self, entries: tuple[str, ...], now_s: float
    ) -> list[effects.Send]:
        """Ask all entries for their jobs, while this home lacks grants.

        ``entries`` are all that may own a job; none if they are not known.
        """
        if self.table is None or not self._may_grant:
            return []
        if self._name not in entries:
            return []
        elapsed_s = now_s - self._reports_requested_s
        if (
            not self.table.is_recovering(now_s)
            or elapsed_s < REPORT_INTERVAL_S
        ):
            return []
        self._reports_requested_s = now_s
        self.table.record_report(self._name, self._started_s)
        missing = self.table.find_unreported(entries)
        if not missing:
            group = next(
                group for group in self.homes.groups if self._name in group
            )
            self.table.end_recovery(group, now_s)
        request = messages.OwnershipReportRequest(self._incarnation)
        return [effects.Send(name, request) for name in missing]

    def make_report(
        self,
        peer: str,
        request: messages.OwnershipReportRequest,
        now_s: float,
    ) -> effects.Effects:
        """Report the jobs of this entry to a home that has lost its grants.

        Claims that are not decided yet no longer count on these.
        """
        self._requests = {
            number: sent
            for number, sent in self._requests.items()
            if sent.home != peer
        }
        for each in self._registrations.values():
            if not each.owned:
                each.granted_s.pop(peer, None)
                each.sent_s.pop(peer, None)
        report = messages.OwnershipReport(
            request.run,
            max(0, int((now_s - self._started_s) * 1000)),
            tuple(
                each.describe(now_s)
                for each in self._registrations.values()
                if each.owned
            ),
        )
        return [effects.Send(peer, report)]

    def handle_report(
        self,
        peer: str,
        incarnation: int,
        report: messages.OwnershipReport,
        now_s: float,
    ) -> effects.Effects:
        """Learn the jobs of an entry."""
        if self.table is None or report.run != self._incarnation:
            # An earlier process of this home has requested it.
            return []
        for each in report.jobs:
            claim = homes.make_claim(peer, incarnation, each, now_s)
            if self.table.renew(claim, now_s) != claim.owner:
                # A late renewal of a former owner came first; it hides this
                # one until it expires.
                return []
        self.table.record_report(peer, now_s - report.uptime_ms / 1000)
        return []

    def handle_release(
        self,
        peer: str,
        incarnation: int,
        release: messages.OwnershipRelease,
        now_s: float,
    ) -> None:
        """Remove grants of this home that an entry gives back."""
        if self.table is not None:
            homes.apply_release(self.table, peer, incarnation, release, now_s)

    # Jobs of this entry.

    def can_claim(self, submission: str, now_s: float) -> bool:
        """Tell whether a majority of the homes of an id seems to respond.

        A process that has just started does not know the homes; its jobs
        wait for them.
        """
        group = self.homes.find_group(submission)
        return not group or self._has_majority(group, now_s)

    def is_available(self, now_s: float) -> bool:
        """Tell whether the homes of any id seem to respond."""
        return any(
            self._has_majority(group, now_s) for group in self.homes.groups
        )

    def claim(
        self,
        submission: str,
        job: str,
        now_s: float,
        slack_s: float = float('inf'),
    ) -> list[Outcome]:
        """Claim the id of a job that the caller has submitted here."""
        self.counters['ownership_claims'] += 1
        registration = Registration(
            submission, job, now_s, self._number_attempt(), slack_s
        )
        earlier = self._registrations.get(submission)
        if earlier is not None:
            # Runs of an earlier job of this entry may be left.
            earlier.successor = registration
            return [JobTaken(job, self._name, earlier.job)]
        self._registrations[submission] = registration
        return self._ask(registration, now_s)

    def end(
        self,
        submission: str,
        job: str,
        now_s: float,
        may_run: bool,
        is_awaited: bool = True,
    ) -> list[Outcome]:
        """End a job; ``may_run`` if a run of it may be left.

        ``is_awaited`` if another entry may wait to run it.
        """
        registration = self._registrations.get(submission)
        if registration is None:
            return []
        if registration.job != job:
            if (
                registration.successor is not None
                and registration.successor.job == job
            ):
                registration.successor = None
            return []
        if may_run and registration.owned:
            registration.ended_s = min(registration.ended_s, now_s)
            return []
        return self._release(registration, now_s, is_awaited)

    def list_ended(self) -> list[str]:
        """Return the ended jobs of which a run may be left."""
        return [
            each.job
            for each in self._registrations.values()
            if each.ended_s < float('inf')
        ]

    def release_ended(
        self, unsettled: set[str], now_s: float
    ) -> list[Outcome]:
        """Release the ended jobs of which no run is left.

        ``unsettled`` has the jobs of which one may be.
        """
        outcomes: list[Outcome] = []
        for each in list(self._registrations.values()):
            if each.ended_s == float('inf'):
                continue
            is_expired = now_s - each.ended_s > UNSETTLED_TTL_S
            if is_expired:
                self.counters['ownership_expired'] += 1
            if is_expired or each.job not in unsettled:
                outcomes += self._release(each, now_s)
        return outcomes

    def handle_response(
        self, peer: str, response: messages.OwnershipResponse, now_s: float
    ) -> list[Outcome]:
        """Apply the response of a home."""
        self.choice.record_response(peer, response.recovering)
        sent = self._requests.get(response.request)
        if sent is None or sent.home != peer:
            return []
        del self._requests[response.request]
        later_s = (
            each.sent_s
            for each in self._requests.values()
            if each.home == peer and each.sent_s > sent.sent_s
        )
        self.choice.measure_response(peer, sent.sent_s, later_s, now_s)
        return self._apply_response(sent, response, now_s)

    def tick(self, now_s: float) -> list[Outcome]:
        """Renew and repeat requests, and find what has lapsed."""
        outcomes: list[Outcome] = []
        for each in list(self._registrations.values()):
            outcomes += self._check(each, now_s)
        oldest_s = now_s - home.GRANT_TTL_S
        self._requests = {
            number: sent
            for number, sent in self._requests.items()
            if sent.sent_s > oldest_s
        }
        self._probe(now_s)
        self._protected_s = {
            job: protected_s
            for job, protected_s in self._protected_s.items()
            if now_s - protected_s < PROTECTION_INTERVAL_S
        }
        if self.table is not None:
            self.table.sweep(now_s)
        return outcomes

    def hedge(self, now_s: float) -> list[Outcome]:
        """Ask further homes for the claims whose responses take long.

        It is called with every event, and does nothing most of the time.
        """
        outcomes: list[Outcome] = []
        for submission in self.choice.take_due(now_s):
            each = self._registrations.get(submission)
            if each is not None and not (each.owned or each.contended):
                outcomes += self._ask(each, now_s)
        return outcomes

    def flush(self, now_s: float, with_releases: bool) -> effects.Effects:
        """Return the messages that have collected, for each home.

        Releases alone wait for the next request, or for a time.  Those that
        another entry may wait for go ``with_releases``.
        """
        result: effects.Effects = [
            effects.Log(*line) for line in self.choice.list_slow(now_s)
        ]
        elapsed_s = now_s - self._released_s
        is_due = with_releases and elapsed_s >= RELEASE_INTERVAL_S
        if is_due:
            self._released_s = now_s
        for name, batch in list(self._batches.items()):
            is_awaited = with_releases and batch.is_awaited
            if not (batch.is_urgent or is_awaited or is_due):
                continue
            del self._batches[name]
            if batch.releases:
                release = messages.OwnershipRelease(tuple(batch.releases))
                result.append(effects.Send(name, release))
            if batch.is_urgent:
                result.append(self._make_request(name, batch, now_s))
        return result

    def _make_request(
        self, name: str, batch: Batch, now_s: float
    ) -> effects.Send:
        self.counters['ownership_requests'] += 1
        self._request += 1
        self._requests[self._request] = SentRequest(
            name, now_s, (*batch.claims, *batch.renewals)
        )
        self.choice.record_request(name, now_s)
        request = messages.OwnershipRequest(
            self._request, tuple(batch.claims), tuple(batch.renewals)
        )
        return effects.Send(name, request)

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'version': self.homes.version,
            'homes': self.homes.list_names(),
            'registrations': len(self._registrations),
            'granted': len(self.table) if self.table is not None else 0,
            'counters': dict(self.counters),
        }

    # Decisions on one job.

    def _number_attempt(self) -> int:
        self._attempt += 1
        return self._attempt

    def _ask(self, registration: Registration, now_s: float) -> list[Outcome]:
        """Claim the job at as many homes as a majority still needs."""
        group = self.homes.find_group(registration.submission)
        recovering = {
            name for name in group if self._is_recovering(name, now_s)
        }
        pending = {
            name: sent_s
            for name, sent_s in registration.sent_s.items()
            if name in group
            and name not in registration.refused
            and registration.granted_s.get(name, float('-inf')) < sent_s
            and name not in recovering
        }
        needed = homeset.count_majority(group)
        needed -= registration.count_grants(group, now_s)
        if group and needed <= 0 and self._has_authority:
            # It was granted while this entry lacked authority.
            return self._decide(registration, now_s)
        asked = homechoice.Asked(
            group,
            needed,
            pending,
            registration.sent_s,
            registration.slack_s,
            registration.submission,
        )
        chosen = self.choice.choose(asked, recovering, now_s)
        return self._send_claims(registration, chosen, now_s)

    def _is_recovering(self, name: str, now_s: float) -> bool:
        """Tell whether a home can't grant jobs that it does not know."""
        if name != self._name:
            return self.choice.contacts[name].recovering
        if self.table is None or not self._may_grant:
            return True
        return self.table.is_recovering(now_s)

    def _send_claims(
        self, registration: Registration, names: list[str], now_s: float
    ) -> list[Outcome]:
        for name in names:
            registration.sent_s[name] = now_s
            if name == self._name:
                self._claim_locally(registration, now_s)
            else:
                batch = self._batches.setdefault(name, Batch())
                batch.claims.append(registration.describe(now_s))
        return self._decide(registration, now_s) if names else []

    def _claim_locally(self, registration: Registration, now_s: float) -> None:
        if self.table is None:
            return
        claim = self._make_local_claim(registration, now_s)
        granted = self.table.claim(claim, now_s, self._may_grant)
        if granted == claim.owner:
            registration.granted_s[self._name] = now_s
        elif granted is not None:
            registration.refused[self._name] = granted.entry, granted.job

    def _make_local_claim(
        self, registration: Registration, now_s: float
    ) -> home.Claim:
        named = registration.describe(now_s)
        return homes.make_claim(self._name, self._incarnation, named, now_s)

    def _apply_response(
        self,
        sent: SentRequest,
        response: messages.OwnershipResponse,
        now_s: float,
    ) -> list[Outcome]:
        refused = {
            each.submission: (each.owner, each.job)
            for each in response.refused
        }
        outcomes: list[Outcome] = []
        for each in sent.jobs:
            registration = self._registrations.get(each.submission)
            if registration is None or registration.job != each.job:
                continue
            if sent.sent_s <= registration.reset_s:
                continue
            if each.submission in refused:
                registration.refused[sent.home] = refused[each.submission]
                registration.granted_s.pop(sent.home, None)
            elif each.submission not in response.undecided:
                registration.refused.pop(sent.home, None)
                registration.granted_s[sent.home] = max(
                    sent.sent_s,
                    registration.granted_s.get(sent.home, float('-inf')),
                )
            outcomes += self._decide(registration, now_s)
        return outcomes

    def _decide(
        self, registration: Registration, now_s: float
    ) -> list[Outcome]:
        """Decide whether this entry owns a job that it has claimed.

        Without authority the group may be a former one, in which a majority
        need not share a home with one of the present group.
        """
        if registration.owned:
            return []
        group = self.homes.find_group(registration.submission)
        majority = homeset.count_majority(group)
        is_granted = registration.count_grants(group, now_s) >= majority
        if is_granted and self._has_authority:
            registration.owned = True
            registration.contended = False
            registration.renewed_s = now_s
            return [JobGranted(registration.job)]
        refusing = [name for name in group if name in registration.refused]
        if len(refusing) > len(group) - majority:
            return self._contend(registration, refusing, now_s)
        if registration.contended:
            return []
        return self._ask(registration, now_s)

    def _contend(
        self, registration: Registration, refusing: list[str], now_s: float
    ) -> list[Outcome]:
        """Give back the grants of a minority, and claim again later."""
        owners = collections.Counter(
            registration.refused[name] for name in refusing
        )
        (owner, owner_job), _ = owners.most_common(1)[0]
        self.counters['ownership_conflicts'] += not registration.contended
        self._give_back(registration, now_s)
        registration.contended = True
        registration.attempt = self._number_attempt()
        registration.repeated = True
        registration.reset_s = now_s
        registration.sent_s = {}
        registration.granted_s = {}
        registration.refused = {}
        share = homeset.find_share(registration.job)
        registration.retry_s = (
            now_s + RETRY_INTERVAL_S + share * RETRY_SPREAD_S
        )
        return [JobTaken(registration.job, owner, owner_job)]

    def _check(
        self, registration: Registration, now_s: float
    ) -> list[Outcome]:
        if registration.owned:
            return self._renew(registration, now_s)
        group = self.homes.find_group(registration.submission)
        if not group:
            return []
        if registration.contended:
            if now_s < registration.retry_s:
                return []
            registration.retry_s = now_s + RETRY_INTERVAL_S
            return self._send_claims(registration, list(group), now_s)
        able = [
            name
            for name in group
            if name not in registration.refused
            and not self.choice.contacts[name].is_late(now_s)
        ]
        if len(able) < homeset.count_majority(group):
            refusing = [name for name in group if name in registration.refused]
            if refusing:
                return self._contend(registration, refusing, now_s)
            unclaimable = JobUnclaimable(registration.job)
            return [unclaimable, *self._release(registration, now_s)]
        since_s = now_s - RESEND_INTERVAL_S
        repeated = [
            name
            for name, sent_s in registration.sent_s.items()
            if name in group and sent_s <= since_s
        ]
        if repeated:
            return self._send_claims(registration, repeated, now_s)
        return self._ask(registration, now_s)

    def _renew(
        self, registration: Registration, now_s: float
    ) -> list[Outcome]:
        group = self.homes.find_group(registration.submission)
        # Without authority the grants of an open job lapse.
        is_renewed = self._has_authority or registration.ended_s < float('inf')
        elapsed_s = now_s - registration.renewed_s
        if is_renewed and elapsed_s >= RENEWAL_INTERVAL_S:
            registration.renewed_s = now_s
            for name in group:
                registration.sent_s[name] = now_s
                if name == self._name:
                    self._renew_locally(registration, now_s)
                else:
                    batch = self._batches.setdefault(name, Batch())
                    batch.renewals.append(registration.describe(now_s))
        if self._is_confirmed(registration, now_s) or registration.lapsed:
            return []
        registration.lapsed = True
        self.counters['ownership_lapsed'] += 1
        if registration.ended_s < float('inf'):
            return []
        return [OwnershipLapsed(registration.job)]

    def _is_confirmed(self, registration: Registration, now_s: float) -> bool:
        """Tell whether a majority has granted an owned job lately.

        A majority of the former homes counts while a lease names them, as for
        an entry that does not know of the change.  Its grants are not renewed
        there, so this bridges the time until the others have its renewals.
        """
        sets = [self.homes]
        if self._counts_former:
            sets.append(self._former_homes)
        groups = [each.find_group(registration.submission) for each in sets]
        return any(
            registration.count_grants(group, now_s)
            >= homeset.count_majority(group)
            for group in groups
        )

    def _renew_locally(self, registration: Registration, now_s: float) -> None:
        if self.table is None:
            return
        claim = self._make_local_claim(registration, now_s)
        if self.table.renew(claim, now_s) == claim.owner:
            registration.granted_s[self._name] = now_s

    def _release(
        self,
        registration: Registration,
        now_s: float,
        is_awaited: bool = True,
    ) -> list[Outcome]:
        del self._registrations[registration.submission]
        self._give_back(registration, now_s, is_awaited)
        successor = registration.successor
        if successor is None:
            return []
        successor.attempt = self._number_attempt()
        self._registrations[successor.submission] = successor
        return self._ask(successor, now_s)

    def _give_back(
        self,
        registration: Registration,
        now_s: float,
        is_awaited: bool = True,
    ) -> None:
        for name in registration.sent_s:
            if name == self._name and self.table is not None:
                owner = home.Owner(name, self._incarnation, registration.job)
                self.table.release(
                    registration.submission,
                    owner,
                    registration.attempt,
                    now_s,
                )
            elif name in self.choice.contacts:
                batch = self._batches.setdefault(name, Batch())
                batch.releases.append(registration.describe(now_s))
                batch.is_awaited |= is_awaited

    # Homes.

    def _has_majority(self, group: tuple[str, ...], now_s: float) -> bool:
        responding = sum(
            not self.choice.contacts[name].is_late(now_s) for name in group
        )
        return responding >= homeset.count_majority(group)

    def _probe(self, now_s: float) -> None:
        """Ask the homes that did not respond or could not decide."""
        for name, contact in self.choice.contacts.items():
            if name == self._name:
                continue
            is_doubtful = contact.recovering or contact.is_late(now_s)
            if is_doubtful and now_s - contact.sent_s >= PROBE_INTERVAL_S:
                self._batches.setdefault(name, Batch()).probes = True
