"""The process of a control replica: its decisions, its disk and its links.

All writes of one iteration of the event loop share one sync to disk.  The
frames of that iteration are sent before the sync, so that followers write
while the leader syncs.
"""

import asyncio
import pathlib
import random
import secrets
from typing import Any
from typing import Final

from aiohttp import web

from eelgrassworks import clock
from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import metrics
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks.fronts import admin
from eelgrassworks.links import transport
from eelgrassworks.replication import journal
from eelgrassworks.replication import roles

DISK_ID_BYTES: Final = 8
# A full disk may be freed by other processes meanwhile.  The delay is about
# the duration of a restart.
REOPEN_INTERVAL_S: Final = 0.5
FIRST_CLUSTER: Final = 'first'


class ControlProcess(process.Process):
    """One control replica."""

    def __init__(
        self,
        model: settings.ControlSettings,
        link: transport.Transport,
        disk: journal.Disk,
    ) -> None:
        statsd_metrics = metrics.Metrics(
            model.statsd.host, model.statsd.port, f'control.{model.name}'
        )
        super().__init__(
            'control', settings.make_vm(model.vm), link, statsd_metrics
        )
        self.model = model
        self.port = 0
        self.longest_sync_s = 0.0
        self._random = random.Random(secrets.randbits(64))
        self._journal = journal.Journal(pathlib.Path(model.data_folder), disk)
        self._sequence = 0
        self._sync_scheduled = False
        self.control: control.Control | None = None
        self._open_folder()

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Add the control replicas that reloaded settings list."""
        super().add_replicas(replicas)
        self.model.replicas = {**self.model.replicas, **replicas}
        if self.control is not None:
            self.control.add_replicas(replicas)

    def _open_folder(self) -> None:
        """Recover from the data folder; if this fails, schedule a retry.

        Raises Fault when the settings do not allow a repair.
        """
        try:
            self.control = self._recover()
        except errors.Fault as fault:
            if not self.model.repair_folder:
                raise
            self._repair(fault.refusal)

    def _repair(self, refusal: errors.Refusal) -> None:
        """Step down after a failed write or a damaged folder, then reopen it.

        The content of the folder is unknown after a failed write, so it is
        read again.  A damaged folder is emptied, and the replica rejoins as
        a learner.
        """
        logs.log('folder_failed', reason=errors.format_refusal(refusal))
        self.control = None
        self._sync_scheduled = False
        self._abandon_requests()
        self._journal.abandon()
        if refusal.values.get('damaged'):
            self._empty_folder()
        asyncio.get_running_loop().call_later(
            REOPEN_INTERVAL_S, self._open_folder
        )

    def _empty_folder(self) -> None:
        """Empty the data folder; a failure shows when it is opened again."""
        try:
            self._journal.empty()
        except errors.Fault as fault:
            logs.log(
                'folder_failed', reason=errors.format_refusal(fault.refusal)
            )
            return
        logs.log('folder_emptied', folder=self.model.data_folder)

    def _abandon_requests(self) -> None:
        for request in list(self._requests):
            self.reply(request, control.NotLeading(''))

    def _recover(self) -> control.Control:
        """Read the data folder; a new folder gets a new disk identity."""
        model = self.model
        if self._journal.is_new():
            disk = f'{model.name}-{secrets.token_hex(DISK_ID_BYTES)}'
            self._journal.format(journal.Identity('', model.name, disk, {}))
            logs.log('folder_new', disk=disk)
        recovered = self._journal.open(model.name)
        # The new decisions number their writes from the start.
        self._sequence = 0
        logs.log(
            'folder_read',
            disk=recovered.identity.disk,
            torn_bytes=recovered.torn_bytes,
            last_index=recovered.stored.base_index
            + len(recovered.stored.entries),
        )
        return control.Control(
            control.ControlOptions(
                roles.ReplicaOptions(
                    model.name,
                    recovered.identity.disk,
                    tuple(model.replicas),
                    model.listen if model.open_members else '',
                    model.voters,
                    model.vm.failure_domain,
                ),
                lease_ttl_s=model.lease_ttl_s,
                addresses=dict(model.replicas),
            ),
            recovered.stored,
            recovered.snapshot,
            clock.read_inputs(self._random),
        )

    async def start(self) -> None:
        """Connect to the other replicas and serve the admin API."""
        await super().start()
        for name, address in self.model.replicas.items():
            if name != self.model.name:
                self.link.connect(name, address)
        application = web.Application()
        admin.Admin(self, self.model.tokens.operators).add_routes(application)
        http = self.model.http
        self.port = await self.serve(application, http.host, http.port)

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the decisions and return the effects."""
        if self.control is None:
            return self._handle_during_repair(event)
        return self.control.handle(event, clock.read_inputs(self._random))

    def _handle_during_repair(self, event: Any) -> effects.Effects:
        """Answer requests while the data folder is being repaired."""
        match event:
            case control.StopRequested():
                return [effects.Exit()]
            case (
                control.ChangeRequested(request=request)
                | control.ConfigurationRequested(request=request)
            ):
                return [effects.Reply(request, control.NotLeading(''))]
            case _:
                return []

    def halt(self, refusal: errors.Refusal) -> None:
        """Stop because of a fault, unless the folder may be repaired."""
        if self.model.repair_folder:
            self._repair(refusal)
            return
        super().halt(refusal)

    def perform(self, effect: effects.Effect) -> None:
        """Write an effect to the journal and schedule its sync."""
        match effect:
            case effects.Write() | effects.SaveSnapshot() if (
                self.control is None
            ):
                # An earlier effect of the same event has failed.
                return
            case effects.Write():
                self._journal.append(effect)
                self._schedule_sync(effect.sequence)
            case effects.SaveSnapshot():
                self._save_snapshot(effect)
            case _:
                raise TypeError(f'unexpected effect {effect}')

    def _schedule_sync(self, sequence: int) -> None:
        self._sequence = max(self._sequence, sequence)
        if self._sync_scheduled:
            return
        self._sync_scheduled = True
        asyncio.get_running_loop().call_soon(self._sync)

    def _sync(self) -> None:
        self._sync_scheduled = False
        if self.ended.is_set() or self.control is None:
            return
        self.link.flush()
        started_s = clock.read_now()
        try:
            self._journal.sync()
        except errors.Fault as fault:
            self.halt(fault.refusal)
            return
        self._record_sync_time(clock.read_now() - started_s)
        self.dispatch(control.Synced(self._sequence))

    def _save_snapshot(self, effect: effects.SaveSnapshot) -> None:
        self.link.flush()
        started_s = clock.read_now()
        try:
            self._journal.save_snapshot(effect)
        except errors.Fault as fault:
            self.halt(fault.refusal)
            return
        self._record_sync_time(clock.read_now() - started_s)
        logs.log('snapshot_saved', last_index=effect.last_index)
        self._schedule_sync(effect.sequence)

    def _record_sync_time(self, duration_s: float) -> None:
        self.longest_sync_s = max(self.longest_sync_s, duration_s)
        self.metrics_client.time('sync', duration_s)

    def make_tick(self) -> object:
        """Return the event of the periodic timer."""
        return control.Ticked()

    def make_stop(self) -> object:
        """Return the event that starts a planned stop."""
        return control.StopRequested()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return one event for each message of a frame."""
        sender = frame.sender
        return [
            control.Received(sender.name, sender.incarnation, message)
            for message in frame.messages
        ]

    def is_ready(self) -> bool:
        """Return whether a leader is known and no stop has begun."""
        decisions = self.control
        if decisions is None:
            return False
        return bool(decisions.replica.leader) and not decisions.stopping

    def describe(self) -> dict[str, object]:
        """Return the state that a dump prints."""
        if self.control is None:
            return {'folder': 'in repair'}
        state = self.control.describe(clock.read_now())
        state['longest_stall_ms'] = round(self.longest_sync_s * 1000, 2)
        state['syncs'] = self._journal.syncs
        state['written_bytes'] = self._journal.written_bytes
        return state

    def count(self) -> dict[str, int]:
        """Return the counters of the decisions and of the replication."""
        if self.control is None:
            return {}
        counters = dict(self.control.counters)
        counters.update(self.control.replica.counters)
        return counters

    def gauge(self) -> dict[str, float]:
        """Return the gauges for the metrics."""
        if self.control is None:
            return {}
        return {
            'claims_held': len(self.control.ledger.claims),
            'commit_index': self.control.replica.commit_index,
            'voters': len(self.control.replica.members.voters),
            'learners': len(self.control.replica.members.learners),
            'voters_missing': self.control.voters_missing,
            'homes_exposed': self.control.homes_exposed,
            'revision': self.control.ledger.configuration.revision,
        }

    async def close(self) -> None:
        """Close the journal; after a planned stop, sync it first."""
        if self.fault is None and self.control is not None:
            try:
                self._journal.sync()
            except errors.Fault as fault:
                # Nothing that waited for this sync was acknowledged.
                logs.log(
                    'folder_failed',
                    reason=errors.format_refusal(fault.refusal),
                )
        self._journal.close()


def format_folder(model: settings.ControlSettings, cluster: str) -> None:
    """Format the replica's data folder as a voter of a new cluster.

    Raises Fault when the folder is in use.  A replica that lost its folder
    must not format it again: it rejoins with an empty one as a learner.
    """
    voters = {name: f'{cluster}-{name}' for name in model.replicas}
    addresses = dict(model.replicas) if model.open_members else {}
    folder = journal.Journal(
        pathlib.Path(model.data_folder), journal.SystemDisk()
    )
    folder.format(
        journal.Identity(
            cluster, model.name, voters[model.name], voters, addresses
        )
    )


def form_cluster(
    model: settings.ControlSettings, replicas: dict[str, str]
) -> None:
    """Format a new data folder at the first start of a whole deployment.

    Every replica in ``replicas`` writes the same members.  A folder that is
    in use is left unchanged.
    """
    folder = journal.Journal(
        pathlib.Path(model.data_folder), journal.SystemDisk()
    )
    if not folder.is_new():
        return
    voters = {name: f'{FIRST_CLUSTER}-{name}' for name in replicas}
    try:
        folder.format(
            journal.Identity(
                FIRST_CLUSTER, model.name, voters[model.name], voters, replicas
            )
        )
    except errors.Fault as fault:
        # The process opens the folder again when it starts and repairs it.
        logs.log('folder_failed', reason=str(fault))
