"""Queue that shares targets fairly between teams.

Start-time fair queueing: each team has a virtual time that advances by the
inverse of its share with every dequeued task; the team with the least virtual
time goes next.  Within a team, jobs of equal rank keep their order of
arrival, so that one job completes before the next one occupies targets.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.contracts import shares


@dataclasses.dataclass(frozen=True, slots=True)
class ByPriority:
    """The most urgent kind goes first, whatever the others wait for."""


@dataclasses.dataclass(frozen=True, slots=True)
class ByShare:
    """Kinds beyond their share go last; otherwise the most urgent goes first.

    Within a kind the job goes first that must begin first for its last task
    to start in time, at the rate of the entry.  A wide job thus goes before a
    narrow one that is due at the same time.
    """

    kinds: shares.KindShares


Order = ByPriority | ByShare
BY_PRIORITY: Final = ByPriority()


@dataclasses.dataclass(slots=True)
class QueuedJob:
    """The waiting tasks of one job, in the order of their indices.

    ``due_s`` is the latest start that still meets the job's objective, and
    ``priority`` the urgency of its kind, with 0 first.  Within a team the most
    urgent kind goes first, and within one urgency the job that is due first.
    ``width`` is the number of tasks of the job, waiting or not.
    Jobs that pass their due time before they have ``started`` go behind all
    others, the one due last first, since its answer may still be of use.  A
    started job keeps its place, since its work would be wasted.
    """

    submission: str
    kind: str
    indices: collections.deque[int]
    due_s: float = 0.0
    demand: contracts.Room = contracts.NO_ROOM
    estimate_s: float = 0.0
    priority: int = 0
    started: bool = False
    width: int = 0

    def is_demoted(self, now_s: float) -> bool:
        """Tell whether the job goes behind all jobs that can be in time."""
        return self.due_s < now_s and not self.started

    @property
    def work(self) -> float:
        """Return the declared work that waits, in processor-seconds."""
        return len(self.indices) * self.task_work

    @property
    def task_work(self) -> float:
        """Return the declared work of one task, in processor-seconds."""
        return self.demand.measure_work(self.estimate_s)


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Waiting jobs of one team."""

    share: float
    virtual_s: float
    waiting: int = 0
    running: int = 0
    max_running: int = 0
    jobs: dict[str, QueuedJob] = dataclasses.field(default_factory=dict)


class FairQueue:
    """Tasks that wait for a target, over all teams."""

    def __init__(self, order: Order = BY_PRIORITY) -> None:
        self.order = order
        # Chosen once, since the queue ranks every waiting job for every task.
        self._rank: Callable[[QueuedJob, float], Rank]
        match order:
            case ByPriority():
                self._rank = _rank_by_priority
            case ByShare(kinds):
                self._rank = functools.partial(_rank_by_share, kinds)
        self.teams: dict[str, TeamQueue] = {}
        self.length = 0
        self._active: dict[str, None] = {}
        self._virtual_s = 0.0

    def set_quota(self, quota: contracts.Quota) -> None:
        """Set the share and the limit of a team."""
        team = self._find_team(quota.team)
        team.share = quota.share
        team.max_running = quota.max_running

    def count_waiting(self, team: str) -> int:
        """Return the number of waiting tasks of a team."""
        queue = self.teams.get(team)
        return 0 if queue is None else queue.waiting

    def add(self, team_name: str, job: QueuedJob) -> None:
        """Queue a job behind the earlier jobs of its team."""
        team = self._activate_team(team_name)
        team.jobs[job.submission] = job
        team.waiting += len(job.indices)
        self.length += len(job.indices)

    def requeue(self, team_name: str, job: QueuedJob) -> None:
        """Requeue tasks that were not started at the front of their team."""
        team = self._activate_team(team_name)
        queued = team.jobs.get(job.submission)
        if queued is None:
            team.jobs = {job.submission: job, **team.jobs}
        else:
            queued.indices.extendleft(reversed(job.indices))
            queued.started = job.started
        team.waiting += len(job.indices)
        self.length += len(job.indices)

    def measure_work_ahead(
        self, team_name: str, due_s: float, now_s: float, priority: int = 0
    ) -> float:
        """Return the queued work of a team ahead of a job due at ``due_s``.

        The result is in processor-seconds.
        """
        team = self.teams.get(team_name)
        if team is None:
            return 0.0
        return sum(
            job.work
            for job in team.jobs.values()
            if not job.is_demoted(now_s)
            and (job.priority, job.due_s) < (priority, due_s)
        )

    def measure_cpu_ahead(
        self, team_name: str, arriving: QueuedJob, now_s: float
    ) -> int:
        """Return the processor that a team's tasks ahead of a job ask for.

        The result is in thousandths of a core.
        """
        team = self.teams.get(team_name)
        rank = self._rank(arriving, now_s)
        return sum(
            len(job.indices) * job.demand.cpu_millis
            for job in (() if team is None else team.jobs.values())
            if self._rank(job, now_s) < rank
        )

    def measure_share_ahead(
        self, team_name: str, arriving: QueuedJob, now_s: float
    ) -> shares.Ahead:
        """Return the queued work of a team ahead of an arriving job.

        More urgent kinds that are beyond their share are not ahead.
        """
        team = self.teams.get(team_name)
        urgent = own = 0.0
        rank = self._rank(arriving, now_s)
        for job in () if team is None else team.jobs.values():
            if job.is_demoted(now_s):
                continue
            if job.kind == arriving.kind:
                own += job.work if self._rank(job, now_s) < rank else 0.0
            elif job.priority < arriving.priority and not self._is_beyond(
                job.kind
            ):
                urgent += job.work
        return shares.Ahead(urgent, own)

    def list_overdue(self, now_s: float) -> list[QueuedJob]:
        """Return the jobs that have passed their due time unstarted."""
        return [
            job
            for name in self._active
            for job in self.teams[name].jobs.values()
            if job.is_demoted(now_s)
        ]

    def peek(
        self, blocked: set[str], now_s: float = float('-inf')
    ) -> tuple[str, QueuedJob] | None:
        """Return the team and job of the next task, without removing it.

        Jobs whose kind is in ``blocked`` are skipped.
        """
        best: tuple[str, QueuedJob] | None = None
        best_s = float('inf')
        for name in self._active:
            team = self.teams[name]
            if team.virtual_s >= best_s:
                continue
            if team.max_running and team.running >= team.max_running:
                continue
            first = min(
                (job for job in team.jobs.values() if job.kind not in blocked),
                key=lambda job: self._rank(job, now_s),
                default=None,
            )
            if first is not None:
                best = (name, first)
                best_s = team.virtual_s
        return best

    def pop(self, team_name: str, job: QueuedJob) -> int:
        """Remove and return the next task index of a job."""
        team = self.teams[team_name]
        index = job.indices.popleft()
        job.started = True
        if not job.indices:
            del team.jobs[job.submission]
        self._virtual_s = max(self._virtual_s, team.virtual_s)
        team.virtual_s += 1.0 / team.share
        self._remove_waiting(team_name, team, 1)
        team.running += 1
        return index

    def record_end(self, team_name: str) -> None:
        """Record that a dequeued task no longer runs."""
        team = self._find_team(team_name)
        team.running = max(0, team.running - 1)

    def remove(self, team_name: str, submission: str) -> int:
        """Drop the waiting tasks of a job; return how many there were."""
        team = self._find_team(team_name)
        job = team.jobs.pop(submission, None)
        if job is None:
            return 0
        self._remove_waiting(team_name, team, len(job.indices))
        return len(job.indices)

    def _is_beyond(self, kind: str) -> bool:
        match self.order:
            case ByPriority():
                return False
            case ByShare(kinds):
                return kinds.is_beyond(kind)

    def _find_team(self, name: str) -> TeamQueue:
        return self.teams.setdefault(name, TeamQueue(1.0, self._virtual_s))

    def _activate_team(self, name: str) -> TeamQueue:
        team = self._find_team(name)
        # An idle team must not save up virtual time for a later burst.
        if not team.waiting:
            team.virtual_s = max(team.virtual_s, self._virtual_s)
        self._active[name] = None
        return team

    def _remove_waiting(self, name: str, team: TeamQueue, count: int) -> None:
        team.waiting -= count
        self.length -= count
        if not team.waiting:
            self._active.pop(name, None)


# The least rank goes first; ranks of two orders are never compared.
Rank = tuple[bool, bool, int, float] | tuple[bool, int, float]


def _rank_by_priority(job: QueuedJob, now_s: float) -> Rank:
    if job.is_demoted(now_s):
        return True, 0, -job.due_s
    return False, job.priority, job.due_s


def _rank_by_share(
    kinds: shares.KindShares, job: QueuedJob, now_s: float
) -> Rank:
    if job.is_demoted(now_s):
        return True, False, 0, -job.due_s
    lead_s = kinds.measure_lead(job.width * job.task_work)
    return False, kinds.is_beyond(job.kind), job.priority, job.due_s - lead_s
