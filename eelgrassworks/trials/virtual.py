"""Discrete-event simulation of the decision classes.

Runs the real decision classes of control, relay, entry and agent in one
process under a virtual clock, without sockets, disks or waiting.  Fakes
replace the rest of the system: links have a latency and can be cut, disks
lose unsynced writes when their node is killed, and a run model gives the run
time of each task.  A run is determined by its seed.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import time
from typing import Any
from typing import Final

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import decisioninputs
from eelgrassworks import dispatcher
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import relay
from eelgrassworks import shedding
from eelgrassworks import zones
from eelgrassworks.links import codec
from eelgrassworks.links import discovery
from eelgrassworks.links import frame as frames
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement
from eelgrassworks.replication import commands
from eelgrassworks.replication import journal
from eelgrassworks.replication import ledger
from eelgrassworks.replication import roles
from eelgrassworks.trials import paces

TICK_S: Final = 0.05
LATENCY_S: Final = 0.0005
SYNC_S: Final = 0.004
START_S: Final = 1000.0
WALL_OFFSET_MS: Final = 1_700_000_000_000
# One frame of this many is encoded to count its bytes.
BYTES_SAMPLING: Final = 16

_CODEC: Final = codec.Codec(b'virtual')
_SENDER: Final = frames.Sender('process-1', 1, 'tcp://10.0.0.1:8000')

# Returns the run time in seconds and whether the task succeeds.
RunModel = Callable[[str, contracts.TaskKey, str, bytes], tuple[float, bool]]
# Returns the delay in seconds of each delivered copy of a message; an empty
# list drops the message.
Router = Callable[[str, str, object], list[float]]


@dataclasses.dataclass(slots=True)
class FakeDisk:
    """The data folder of a control replica.

    ``base`` is the last index, last term and data of the latest snapshot,
    ``records`` are durable; those ``in_flight``, which are being synced, and
    those ``unsynced`` are lost when the node is killed.  ``latest`` is the
    sequence number of the latest write.
    """

    identity: str
    voters: dict[str, str]
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    base: tuple[int, int, bytes] = (0, 0, b'')
    records: list[journal.JournalRecord] = dataclasses.field(
        default_factory=list
    )
    in_flight: list[journal.JournalRecord] = dataclasses.field(
        default_factory=list
    )
    unsynced: list[journal.JournalRecord] = dataclasses.field(
        default_factory=list
    )
    syncing: bool = False
    latest: int = 0

    def read(self) -> roles.StoredState:
        """Return the durable state that a restarted replica loads."""
        last_index, last_term, data = self.base
        members = commands.SetMembers(self.voters, {}, self.addresses)
        if data:
            members = ledger.read_members(data)
        stored = roles.StoredState(0, '', last_index, last_term, members, ())
        return journal.replay(stored, self.records)


@dataclasses.dataclass(slots=True)
class Node:
    """A simulated process: its decision class and the state of its fakes.

    ``rate`` is the speed of the node's clock relative to the world's clock.
    ``run`` counts starts and kills; events that were scheduled for an earlier
    value are discarded.  ``held`` has the events that arrived while the node
    was frozen.  ``seeds`` are the nodes that its settings name.  A message to
    a node that is not in ``contacts`` is dropped: these are the seeds, those
    to which this run of the process has connected, and those from which it
    has received a message.
    """

    name: str
    role: str
    core: Any = None
    run: int = 0
    rate: float = 1.0
    frozen: bool = False
    held: list[Any] = dataclasses.field(default_factory=list)
    disk: FakeDisk | None = None
    seeds: tuple[str, ...] = ()
    contacts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of sent frames and messages and of started tasks.

    ``runs`` has the start in world time, the run time and the target of each
    run of a task; times are in seconds.  ``sampled_bytes`` is the size of one
    of ``BYTES_SAMPLING`` frames, and ``cpu_s`` the processor time of the
    decisions of each role.
    """

    frames: int = 0
    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    starts: collections.Counter[contracts.TaskKey] = dataclasses.field(
        default_factory=collections.Counter
    )
    runs: list[tuple[float, float, str]] = dataclasses.field(
        default_factory=list
    )
    declined_busy: int = 0
    sampled_bytes: int = 0
    cpu_s: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )


class Finder:
    """The part of an agent that finds the entries."""

    def __init__(self, name: str, replicas: tuple[str, ...]) -> None:
        self.discovery = discovery.Discovery(replicas, name)

    def handle(self, event: object, now_s: float) -> effects.Effects:
        """Process one event and return the resulting effects in order."""
        match event:
            case agent.Received(message=messages.RosterUpdate() as roster):
                return self.discovery.handle_roster(roster, now_s).effects
            case agent.Ticked():
                return self.discovery.tick(now_s)
            case _:
                return []


class World:
    """A set of simulated nodes, their event queue and the virtual clock."""

    def __init__(self, seed: int) -> None:
        self.now_s = START_S
        self.random = random.Random(seed)
        self.nodes: dict[str, Node] = {}
        self.tally = Tally()
        self.replies: dict[int, tuple[float, object]] = {}
        self.started_at: list[tuple[float, str, contracts.TaskKey]] = []
        self.halted: dict[str, effects.Halt] = {}
        self.exited: set[str] = set()
        self.latency_s: Callable[[str, str], float] = _constant_latency
        self.sync_s = SYNC_S
        self.router: Router = self._route
        self.cut: set[tuple[str, str]] = set()
        # Names of the nodes that share a machine with another one.
        self.machines: dict[str, str] = {}
        # Failure domains of control replicas and entries.
        self.domains: dict[str, str] = {}
        self.run_model: RunModel = _default_run_model
        # Whether entries claim transient jobs at homes, which only replicas
        # that others can join form.
        self.claims_transient = False
        self.lease_ttl_s = zones.LEASE_TTL_S
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._request_numbers = itertools.count(1)
        self._factories: dict[str, Callable[[Node], Any]] = {}
        self._running: dict[contracts.TaskKey, tuple[Node, int, int]] = {}
        # Starts of a task whose earlier run had not ended yet.
        self.overlaps: list[tuple[float, contracts.TaskKey]] = []
        # Start and end of each run of a task, in world time.
        self.intervals: list[tuple[float, float, contracts.TaskKey]] = []
        self._start_times_s: dict[int, float] = {}
        # How tasks on the same node slow each other down.
        self.paces = paces.Paces(())
        # How long the tasks of a killed agent go on running; to their end if
        # infinite.
        self.hold_lease_s = float('inf')
        # Time until the target of an agent carries out a start.
        self.start_delay_s: Callable[[str], float] = _no_delay
        # Starts that are under way to a target, with the agent.
        self._under_way: dict[int, tuple[Node, effects.StartTask]] = {}

    # Nodes.

    def add_control(
        self,
        names: tuple[str, ...],
        snapshot_interval: int = 64,
        group_commit: bool = True,
        voters: int = 0,
    ) -> None:
        """Add the replicas of a new cluster.

        If ``voters`` is not 0, the replicas have addresses, and other
        replicas can join; at most ``voters`` of them vote.
        """
        disks = {name: f'disk-{name}' for name in names}
        addresses = {name: make_address(name) for name in names}
        for name in names:
            disk = FakeDisk(disks[name], disks, addresses if voters else {})
            self._add_replica(
                name, names, disk, group_commit, snapshot_interval, voters
            )

    def join_control(
        self, name: str, seeds: tuple[str, ...], voters: int
    ) -> None:
        """Add a replica with an empty disk that is not a member yet."""
        disk = FakeDisk(f'disk-{name}', {})
        self._add_replica(name, (*seeds, name), disk, True, 64, voters)

    def _add_replica(
        self,
        name: str,
        names: tuple[str, ...],
        disk: FakeDisk,
        group_commit: bool,
        snapshot_interval: int,
        voters: int,
    ) -> None:
        node = Node(name, 'control', disk=disk, seeds=names)

        def make(node: Node) -> Any:
            disk = node.disk or FakeDisk('', {})
            options = control.ControlOptions(
                roles.ReplicaOptions(
                    node.name,
                    disk.identity,
                    node.seeds,
                    make_address(name) if voters else '',
                    voters,
                    self.domains.get(node.name, ''),
                ),
                group_commit,
                snapshot_interval,
                self.lease_ttl_s,
                addresses={each: make_address(each) for each in node.seeds},
            )
            return control.Control(
                options, disk.read(), disk.base[2], self._make_inputs(node)
            )

        self._add(node, make)

    def add_entry(
        self,
        name: str,
        replicas: tuple[str, ...],
        policy: placement.Policy | None = None,
        max_wait_s: float = 60.0,
        stop_linger_s: float = 0.0,
        shedding_policy: shedding.Policy = dispatcher.SHEDDING_POLICY,
        optional: features.Features = features.NO_FEATURES,
    ) -> None:
        """Add an entry."""

        def make(node: Node) -> Any:
            machine = self.machines.get(name, name)
            options = session.SessionOptions(
                name,
                f'{make_address(machine)}:{name}',
                self._make_run(node),
                node.seeds,
                self.domains.get(name, ''),
            )
            return entry.Entry(
                entry.EntryOptions(
                    options,
                    policy or placement.LateBinding(),
                    max_wait_s,
                    stop_linger_s,
                    shedding_policy,
                    self.claims_transient,
                    optional,
                )
            )

        self._add(Node(name, 'entry', seeds=replicas), make)

    def add_agent(
        self,
        target: machines.Target,
        entries: tuple[str, ...],
        queue_limit: int = 10,
        entry_ttl_s: float = float('inf'),
        renewal_interval_s: float = agent.RENEWAL_INTERVAL_S,
        optional: features.Features = features.NO_FEATURES,
    ) -> None:
        """Add an agent that manages one target."""

        def make(node: Node) -> Any:
            return agent.Agent(
                agent.AgentOptions(
                    target,
                    self._make_run(node),
                    node.seeds,
                    queue_limit,
                    entry_ttl_s,
                    renewal_interval_s,
                    optional,
                )
            )

        self._add(Node(target.name, 'agent', seeds=entries), make)

    def add_relay(self, name: str, seeds: tuple[str, ...]) -> None:
        """Add a relay."""

        def make(node: Node) -> Any:
            return relay.Relay(relay.RelayOptions(name, node.seeds))

        self._add(Node(name, 'relay', seeds=seeds), make)

    def add_finder(self, name: str, seeds: tuple[str, ...]) -> None:
        """Add an agent without a target that finds the entries."""

        def make(node: Node) -> Any:
            return Finder(name, node.seeds)

        self._add(Node(name, 'agent', seeds=seeds), make)

    def _make_run(self, node: Node) -> int:
        return node.run * 1000 + list(self.nodes).index(node.name)

    def _add(self, node: Node, make: Callable[[Node], Any]) -> None:
        self.nodes[node.name] = node
        self._factories[node.name] = make
        self.start(node.name)

    def start(self, name: str) -> None:
        """Start or restart a node from the durable state of its disk."""
        node = self.nodes[name]
        node.run += 1
        node.frozen = False
        node.held = []
        # A new agent fences the starts of earlier ones before it renews.
        self._fence_starts(node)
        node.contacts = set(node.seeds)
        if node.disk is not None:
            node.disk.in_flight = []
            node.disk.unsynced = []
            node.disk.syncing = False
        node.core = self._factories[name](node)
        run = node.run
        offset_s = self.random.random() * TICK_S
        self.at(offset_s, lambda: self._tick(node, run))

    def reseed(self, name: str, seeds: tuple[str, ...]) -> None:
        """Let the settings of a node name other control processes."""
        node = self.nodes[name]
        node.seeds = seeds
        if node.core is None:
            return
        node.contacts |= set(seeds)
        match node.role:
            case 'control':
                node.core.add_replicas(
                    {each: make_address(each) for each in seeds}
                )
            case 'relay':
                node.core.add_replicas(seeds)
            case 'agent':
                node.core.discovery.add_replicas(seeds)
            case _:
                node.core.session.add_replicas(seeds)

    def kill(self, name: str) -> None:
        """Stop a node without a shutdown; unsynced writes are lost."""
        node = self.nodes[name]
        node.run += 1
        node.core = None
        if self.hold_lease_s != float('inf'):
            orphaned = [
                (key, token)
                for key, (owner, _, token) in self._running.items()
                if owner is node
            ]
            for key, token in orphaned:
                self._schedule_lease_expiry(key, token)

    def _schedule_lease_expiry(
        self, key: contracts.TaskKey, token: int
    ) -> None:
        def end() -> None:
            self._end_task(key, False, b'lapsed', True, token)

        self.at(self.hold_lease_s, end)

    def lose_disk(self, name: str) -> None:
        """Replace a killed node's disk by an empty one with a new identity."""
        node = self.nodes[name]
        identity = f'disk-{name}-{node.run}'
        node.disk = FakeDisk(identity, {})

    def freeze(self, name: str) -> None:
        """Suspend a node; events for it are held until it is resumed."""
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a frozen node and deliver the events that were held."""
        node = self.nodes[name]
        node.frozen = False
        held, node.held = node.held, []
        run = node.run
        self._tick(node, run)
        for event in held:
            self._handle_event(node, run, event)

    # Time.

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action; actions due at the same time run in order."""
        heapq.heappush(
            self._heap,
            (self.now_s + delay_s, next(self._sequence_numbers), action),
        )

    def run(self, duration_s: float) -> None:
        """Advance the clock and run every action that becomes due."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            self.step()
        self.now_s = end_s

    def step(self) -> None:
        """Advance the clock to the next scheduled action and run it."""
        self.now_s, _, action = heapq.heappop(self._heap)
        action()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Advance the clock until a condition holds.

        Returns whether it holds at the end; gives up after ``limit_s``.
        """
        end_s = self.now_s + limit_s
        while self._heap and self._heap[0][0] <= end_s:
            if condition():
                return True
            self.step()
        return condition()

    def read_clock(self, node: Node) -> float:
        """Return the monotonic time of a node."""
        return START_S + (self.now_s - START_S) * node.rate

    def _make_inputs(self, node: Node) -> decisioninputs.DecisionInputs:
        return decisioninputs.DecisionInputs(
            self.read_clock(node),
            WALL_OFFSET_MS + int(self.now_s * 1000),
            self.random.random(),
        )

    def _tick(self, node: Node, run: int) -> None:
        if node.run != run or node.core is None:
            return
        # A frozen node gets no ticks; `thaw` starts them again.
        if node.frozen:
            return
        self.at(TICK_S, lambda: self._tick(node, run))
        self._handle_event(node, run, _TICKS[node.role])

    # Events and effects.

    def give(self, name: str, event: object) -> None:
        """Deliver an event to a node at the current time."""
        node = self.nodes[name]
        self._handle_event(node, node.run, event)

    def ask(self, name: str, make: Callable[[int], object]) -> int:
        """Send a request to an entry and return its number.

        ``make`` builds the event from the number, under which ``replies``
        has the response later.
        """
        number = next(self._request_numbers)
        self.give(name, make(number))
        return number

    def _handle_event(self, node: Node, run: int, event: object) -> None:
        if node.run != run or node.core is None:
            return
        if node.frozen:
            node.held.append(event)
            return
        began_s = time.thread_time()
        if node.role == 'control':
            result = node.core.handle(event, self._make_inputs(node))
        else:
            result = node.core.handle(event, self.read_clock(node))
        self.tally.cpu_s[node.role] += time.thread_time() - began_s
        self._execute_effects(node, result)

    def _execute_effects(self, node: Node, result: effects.Effects) -> None:
        frames: dict[str, list[object]] = {}
        for effect in result:
            match effect:
                case effects.Send(peer, message):
                    frames.setdefault(peer, []).append(message)
                case effects.Reply(request, response):
                    self.replies[request] = (self.now_s, response)
                case effects.StartTask():
                    self._start_task(node, effect)
                case effects.StopTask(key):
                    self._end_task(key, False, b'stopped', True)
                    for each in self._fence_starts(node, key):
                        rejected = agent.TaskRejected(each, 'unanswered')
                        self._handle_event(node, node.run, rejected)
                case effects.Write() | effects.SaveSnapshot():
                    self._write(node, effect)
                case effects.Halt():
                    self.halted[node.name] = effect
                    self.kill(node.name)
                case effects.Exit():
                    self.exited.add(node.name)
                case effects.Connect(peer):
                    node.contacts.add(peer)
                case _:
                    pass
        for peer, frame in frames.items():
            self._send(node, peer, frame)

    def _send(self, node: Node, peer: str, frame: list[object]) -> None:
        if peer not in node.contacts:
            return
        self.tally.frames += 1
        if self.tally.frames % BYTES_SAMPLING == 0:
            self.tally.sampled_bytes += len(
                _CODEC.encode_frame(_SENDER, frame)
            )
        for message in frame:
            match message:
                case messages.TaskDeclined(reason=messages.REASON_BUSY):
                    self.tally.declined_busy += 1
                case _:
                    pass
            self.tally.messages[codec.find_tag(type(message))] += 1
            for delay_s in self.router(node.name, peer, message):
                self._deliver(node, peer, message, delay_s)

    def _route(self, sender: str, receiver: str, _: object) -> list[float]:
        if (sender, receiver) in self.cut:
            return []
        return [self.latency_s(sender, receiver)]

    def _deliver(
        self, sender: Node, peer: str, message: object, delay_s: float
    ) -> None:
        receiver = self.nodes.get(peer)
        if receiver is None:
            return
        machine = self.machines.get(sender.name, sender.name)
        event = make_received(
            receiver.role,
            sender.name,
            self._make_run(sender),
            message,
            is_local=machine == self.machines.get(peer, peer),
        )

        def arrive() -> None:
            if receiver.core is not None:
                receiver.contacts.add(sender.name)
            self._handle_event(receiver, receiver.run, event)

        self.at(delay_s, arrive)

    def _start_task(self, node: Node, start: effects.StartTask) -> None:
        self.tally.starts[start.key] += 1
        self.started_at.append((self.now_s, node.name, start.key))
        delay_s = self.start_delay_s(node.name)
        if not delay_s:
            self._begin_run(node, start)
            return
        number = next(self._sequence_numbers)
        self._under_way[number] = node, start

        def carry_out() -> None:
            if self._under_way.pop(number, None) is not None:
                self._begin_run(node, start)

        self.at(delay_s, carry_out)

    def _fence_starts(
        self, node: Node, only: contracts.TaskKey | None = None
    ) -> list[contracts.TaskKey]:
        """Keep starts from being carried out; return their keys."""
        fenced = {
            number: start.key
            for number, (sender, start) in self._under_way.items()
            if sender is node and only in (None, start.key)
        }
        for number in fenced:
            del self._under_way[number]
        return list(fenced.values())

    def _begin_run(self, node: Node, start: effects.StartTask) -> None:
        key = start.key
        run_s, succeeded = self.run_model(
            node.name, key, start.kind, start.payload
        )
        # A target that runs tasks under leases does not know their limits.
        if self.hold_lease_s == float('inf') and run_s > start.limit_s:
            run_s, succeeded = start.limit_s, False
        body = b'{}' if succeeded else b'failed'
        self.tally.runs.append((self.now_s, run_s, node.name))

        if key in self._running:
            self.overlaps.append((self.now_s, key))
        token = next(self._sequence_numbers)
        self._running[key] = (node, node.run, token)
        self._start_times_s[token] = self.now_s
        if node.core is None and self.hold_lease_s != float('inf'):
            self._schedule_lease_expiry(key, token)
        self.at(0.0, lambda: self._show_task(key, token))
        self.paces.begin(token, node.name, start.kind, run_s, self.now_s)

        def end() -> None:
            remaining_s = self.paces.measure_remaining(token, self.now_s)
            if remaining_s:
                self.at(remaining_s, end)
            else:
                self._end_task(key, succeeded, body, False, token)

        self.at(run_s, end)

    def _show_task(self, key: contracts.TaskKey, token: int) -> None:
        """Tell the agent that its target runs the task."""
        current = self._running.get(key)
        if current is not None and current[2] == token:
            node, run, _ = current
            self._handle_event(node, run, agent.TaskStarted(key))

    def _end_task(
        self,
        key: contracts.TaskKey,
        succeeded: bool,
        body: bytes,
        stopped: bool = False,
        token: int = 0,
    ) -> None:
        """End the run of a task.

        Does nothing if the run with this token has ended already; the token
        0 matches any run of the task.
        """
        current = self._running.get(key)
        if current is not None and token in (0, current[2]):
            node, run, run_token = self._running.pop(key)
            start_s = self._start_times_s.pop(run_token)
            self.paces.end(run_token, self.now_s)
            self.intervals.append((start_s, self.now_s, key))
            event = agent.TaskEnded(key, succeeded, body, stopped)
            self._handle_event(node, run, event)

    def _write(
        self, node: Node, effect: effects.Write | effects.SaveSnapshot
    ) -> None:
        disk = node.disk
        if disk is None:
            return
        disk.latest = effect.sequence
        match effect:
            case effects.Write(_, term, vote, keep, entries):
                disk.unsynced.append(
                    journal.JournalRecord(term, vote, keep, entries)
                )
            case effects.SaveSnapshot():
                disk.base = (effect.last_index, effect.last_term, effect.data)
                disk.in_flight = []
                disk.unsynced = []
                retained = journal.JournalRecord(
                    effect.term,
                    effect.vote,
                    effect.last_index,
                    effect.entries,
                )
                disk.records = [retained]
        if not disk.syncing:
            disk.syncing = True
            run = node.run
            self.at(0.0, lambda: self._sync(node, run, disk))

    def _sync(self, node: Node, run: int, disk: FakeDisk) -> None:
        """Make the records written so far durable after the sync time."""
        if node.run != run:
            return
        disk.in_flight, disk.unsynced = disk.unsynced, []
        sequence = disk.latest

        def end() -> None:
            if node.run != run:
                return
            disk.records += disk.in_flight
            disk.in_flight = []
            disk.syncing = False
            self._handle_event(node, run, control.Synced(sequence))
            if disk.latest > sequence and not disk.syncing:
                disk.syncing = True
                self._sync(node, run, disk)

        self.at(self.sync_s, end)


def make_address(name: str) -> str:
    """Return the address of a node."""
    return f'tcp://{name}'


def _no_delay(_: str) -> float:
    return 0.0


def _constant_latency(_: str, __: str) -> float:
    return LATENCY_S


def _default_run_model(
    _: str, __: contracts.TaskKey, ___: str, ____: bytes
) -> tuple[float, bool]:
    return 0.1, True


def make_received(
    role: str,
    sender: str,
    run: int,
    message: object,
    is_local: bool = False,
) -> object:
    """Return the event by which a role receives one message."""
    match role:
        case 'control' | 'relay':
            return control.Received(sender, run, message)
        case 'entry':
            return entry.Received(sender, run, (message,), is_local)
        case _:
            return agent.Received(sender, run, message)


_TICKS: Final[dict[str, object]] = {
    'control': control.Ticked(),
    'relay': control.Ticked(),
    'entry': entry.Ticked(),
    'agent': agent.Ticked(),
}
