"""Entries that claim one job at homes, over a network that may do anything.

The decision classes are those of the product.  Messages are delayed,
reordered, lost or held up for seconds, homes and entries are restarted and
frozen, and the caller of the job is at any entry at any time.  The set of
homes may change, which each entry learns after a time of its own.
"""

from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import random
from typing import Any
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import ownership
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homeset
from eelgrassworks.links import continuity
from eelgrassworks.links import messages

TICK_S: Final = 0.05
LATENCY_S: Final = 0.002
# For how long the network may hold a message up.
LONGEST_HOLD_S: Final = 4.0
# A run that its entry no longer confirms has ended by then: the leases of the
# entry at the agent and of the agent at the target, and a stop.
CHAIN_S: Final = 1.31
JOB: Final = 'aaaaaaaaaaaaaaaa'


@dataclasses.dataclass(slots=True)
class Node:
    """One entry, which is a home as well."""

    name: str
    incarnation: int
    core: ownership.Ownership
    started_s: float
    frozen_until_s: float = float('-inf')
    latest_event_s: float = float('-inf')
    held: list[Any] = dataclasses.field(default_factory=list)
    # The job that the entry has open, if any, and since when it owns the id.
    job: str = ''
    owns: bool = False
    # Ended jobs whose runs may be left, and when these have ended.
    left_until_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """A time in which runs of a job of an entry may be at work."""

    entry: str
    job: str
    begin_s: float
    end_s: float


class HomeWorld:
    """Entries that are homes, and one job that any of them may claim."""

    def __init__(self, seed: int, size: int, homes: int) -> None:
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.owned: list[Owned] = []
        self.granted = 0
        # Share of messages that are lost, and that are held up.
        self.lost_share = 0.0
        self.held_share = 0.0
        self.cut: set[tuple[str, str]] = set()
        # When an owner was killed, and when its runs have ended.
        self._deaths_s: list[tuple[float, float]] = []
        # By entry: until when nothing that it sends arrives.
        self._stalled_until_s: dict[str, float] = {}
        self._heap: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._jobs = itertools.count(1)
        self._incarnations = itertools.count(1)
        names = [f'entry-{n + 1}' for n in range(size)]
        self.homes = contracts.HomeSet(1, (tuple(names[:homes]),))
        # By version: when a set was replaced by the next one.
        self._replaced_s: dict[int, float] = {}
        self.nodes = {
            name: self._make_node(name, self.homes) for name in names
        }
        for name in names:
            self._schedule_tick(name, self.nodes[name].incarnation)

    def _make_node(self, name: str, homes: contracts.HomeSet) -> Node:
        incarnation = next(self._incarnations)
        core = ownership.Ownership(name, incarnation)
        core.begin(self.now_s)
        core.apply_homes(homes, self.now_s)
        return Node(name, incarnation, core, self.now_s)

    # Time.

    def at(self, delay_s: float, action: Any) -> None:
        """Schedule an action."""
        heapq.heappush(
            self._heap, (self.now_s + delay_s, next(self._numbers), action)
        )

    def run(self, duration_s: float) -> None:
        """Advance the clock."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = end_s

    def _schedule_tick(self, name: str, incarnation: int) -> None:
        def tick() -> None:
            node = self.nodes[name]
            if node.incarnation != incarnation:
                return
            self._handle(node, None)
            self.at(TICK_S, tick)

        self.at(self.random.random() * TICK_S, tick)

    # Faults.

    def restart(self, name: str) -> None:
        """Kill a process and start it again at once, without its memory."""
        node = self.nodes[name]
        # The runs have not been confirmed since its latest event.
        elapsed_s = self.now_s - node.latest_event_s
        self._end_job(node, CHAIN_S - elapsed_s)
        self._deaths_s += [
            (self.now_s, until_s) for until_s in node.left_until_s.values()
        ]
        known = node.core.homes
        if not self._has_authority(node) or self.random.random() < 0.5:
            known = self.homes
        self.nodes[name] = self._make_node(name, known)
        self._schedule_tick(name, self.nodes[name].incarnation)

    def freeze(self, name: str, duration_s: float) -> None:
        """Suspend a process; what arrives meanwhile is handled afterwards."""
        node = self.nodes[name]
        node.frozen_until_s = self.now_s + duration_s
        incarnation = node.incarnation

        def thaw() -> None:
            current = self.nodes[name]
            if current.incarnation != incarnation:
                return
            held, current.held = current.held, []
            self.random.shuffle(held)
            for event in held:
                self._handle(current, event)

        self.at(duration_s, thaw)

    def stall(self, name: str, duration_s: float) -> None:
        """Hold up all that an entry sends, until the end of a time."""
        self._stalled_until_s[name] = self.now_s + duration_s

    # Homes.

    def replace_home(self, joining: str, leaving: str) -> None:
        """Replace a home; the others learn it late, or very late."""
        group = self.homes.list_names()
        changed = tuple(joining if n == leaving else n for n in group)
        self._change_homes(changed, joining)

    def add_home(self, joining: str) -> None:
        """Add a home."""
        self._change_homes((*self.homes.list_names(), joining), joining)

    def _change_homes(self, group: tuple[str, ...], joining: str) -> None:
        version = self.homes.version
        self._replaced_s[version] = self.now_s
        self.homes = contracts.HomeSet(version + 1, (group,), joining)
        event = '', 0, self.homes
        for name in self.nodes:
            longest_s = self.random.choice(
                (LATENCY_S, home.HOME_SET_TTL_S, 4 * home.HOME_SET_TTL_S)
            )
            self.at(
                self.random.random() * longest_s,
                lambda name=name: self._handle(self.nodes[name], event),
            )

    def _has_authority(self, node: Node) -> bool:
        """Tell whether an entry may act on the homes that it knows."""
        replaced_s = self._replaced_s.get(
            node.core.homes.version, float('inf')
        )
        return self.now_s < replaced_s + home.HOME_SET_TTL_S

    def _find_oldest_homes(self) -> int:
        """Return the lowest version of homes that a lease may still name."""
        running = [
            version
            for version, replaced_s in self._replaced_s.items()
            if self.now_s < replaced_s + home.HOME_SET_TTL_S
        ]
        return min(running, default=self.homes.version)

    # The job.

    def submit(self, name: str) -> None:
        """Let the caller submit the job at an entry."""
        node = self.nodes[name]
        if node.job or self.now_s < node.frozen_until_s:
            return
        if self._is_pausing() or not self._has_authority(node):
            return
        node.job = f'{JOB}/{name}-{next(self._jobs)}'
        self._apply(node, node.core.claim(JOB, node.job, self.now_s))
        self._send(node, False)

    def _is_pausing(self) -> bool:
        """Tell whether the caller waits after the loss of its entry.

        That matters only if a majority of homes has lost its memory.
        """
        group = self.homes.list_names()
        for death_s, until_s in self._deaths_s:
            forgetful = sum(
                self.nodes[name].started_s >= death_s - home.RETENTION_S
                for name in group
            )
            is_forgotten = forgetful >= homeset.count_majority(group)
            if is_forgotten and self.now_s < until_s:
                return True
        return False

    def finish(self, name: str) -> None:
        """End the job of an entry; none of its runs is left."""
        node = self.nodes[name]
        if node.job and self.now_s >= node.frozen_until_s:
            self._end_job(node, 0.0)

    def _end_job(self, node: Node, left_s: float) -> None:
        """End a job whose runs are at work for ``left_s`` after that.

        They ended earlier if it is negative.
        """
        if not node.job:
            return
        may_run = node.owns and left_s > 0
        if node.owns:
            self._record_end(node, self.now_s + left_s)
        job, node.job, node.owns = node.job, '', False
        if may_run:
            node.left_until_s[job] = self.now_s + left_s
        self._apply(node, node.core.end(JOB, job, self.now_s, may_run))

    def _record_end(self, node: Node, end_s: float) -> None:
        for position, each in enumerate(self.owned):
            if each.job == node.job and each.end_s == float('inf'):
                self.owned[position] = dataclasses.replace(each, end_s=end_s)

    def _apply(self, node: Node, outcomes: list[ownership.Outcome]) -> None:
        for outcome in outcomes:
            match outcome:
                case ownership.JobGranted(job) if job == node.job:
                    node.owns = True
                    self.granted += 1
                    self.owned.append(
                        Owned(node.name, job, self.now_s, float('inf'))
                    )
                case ownership.JobUnclaimable(job) if job == node.job:
                    node.job = ''
                case ownership.OwnershipLapsed(job) if job == node.job:
                    self._end_job(node, CHAIN_S)
                case _:
                    pass

    # Messages.

    def _handle(self, node: Node, event: Any) -> None:
        if self.now_s < node.frozen_until_s:
            if event is not None:
                node.held.append(event)
            return
        gap_s = self.now_s - node.latest_event_s
        node.latest_event_s = self.now_s
        core = node.core
        if gap_s > continuity.MAX_EVENT_GAP_S and node.owns:
            # The entry ends its transient jobs after a suspension; their
            # leases have not been renewed meanwhile.
            self._end_job(node, CHAIN_S - gap_s)
        has_authority = self._has_authority(node)
        core.set_authority(has_authority, self._find_oldest_homes())
        if not has_authority:
            self._end_job(node, CHAIN_S)
        self._apply(node, core.tick(self.now_s))
        unsettled = {
            job
            for job, until_s in node.left_until_s.items()
            if self.now_s < until_s
        }
        self._apply(node, core.release_ended(unsettled, self.now_s))
        self._post(node, core.request_reports(tuple(self.nodes), self.now_s))
        if event is not None:
            peer, incarnation, message = event
            self._receive(node, peer, incarnation, message)
        self._send(node, event is None)

    def _receive(
        self, node: Node, peer: str, incarnation: int, message: object
    ) -> None:
        match message:
            case contracts.HomeSet():
                node.core.apply_homes(message, self.now_s)
            case messages.OwnershipRequest():
                result = node.core.handle_request(
                    peer, incarnation, message, self.now_s
                )
                self._post(node, result)
            case messages.OwnershipReportRequest():
                self._post(
                    node, node.core.make_report(peer, message, self.now_s)
                )
            case messages.OwnershipReport():
                node.core.handle_report(peer, incarnation, message, self.now_s)
            case messages.OwnershipRelease():
                node.core.handle_release(
                    peer, incarnation, message, self.now_s
                )
            case messages.OwnershipResponse():
                outcomes = node.core.handle_response(peer, message, self.now_s)
                self._apply(node, outcomes)

    def _send(self, node: Node, with_releases: bool) -> None:
        self._post(node, node.core.flush(self.now_s, with_releases))

    def _post(self, node: Node, result: Sequence[effects.Effect]) -> None:
        for effect in result:
            if isinstance(effect, effects.Send):
                self._deliver(node, effect.peer, effect.message)

    def _deliver(self, sender: Node, peer: str, message: object) -> None:
        draw = self.random.random()
        is_cut = (sender.name, peer) in self.cut
        if draw < self.lost_share:
            return
        delay_s = LATENCY_S * (0.5 + self.random.random())
        if is_cut or draw < self.lost_share + self.held_share:
            delay_s = self.random.random() * LONGEST_HOLD_S
        stalled_s = self._stalled_until_s.get(sender.name, 0.0) - self.now_s
        delay_s += max(0.0, stalled_s)
        event = sender.name, sender.incarnation, message
        self.at(delay_s, lambda: self._handle(self.nodes[peer], event))

    # Checks.

    def find_overlaps(self) -> list[tuple[Owned, Owned]]:
        """Return the pairs of jobs whose runs may be at work together."""
        return [
            (one, other)
            for one, other in itertools.combinations(self.owned, 2)
            if one.begin_s < other.end_s and other.begin_s < one.end_s
        ]
