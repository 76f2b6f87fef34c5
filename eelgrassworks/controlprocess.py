"""The process of a control replica: its decisions, its disk and its links.

Writes are gathered over one turn of the loop.  Frames of that turn go out
first, so that followers write while the leader syncs, and one sync then
serves every write of the turn.
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
# A full disk gets room again by others; a restart takes about as long.
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

    def learn_replicas(self, replicas: dict[str, str]) -> None:
        """Take control replicas that new settings name."""
        super().learn_replicas(replicas)
        self.model.replicas = {**self.model.replicas, **replicas}
        if self.control is not None:
            self.control.replica.learn_names(tuple(replicas))

    def _open_folder(self) -> None:
        """Begin with what the folder holds, or try again in a while."""
        try:
            self.control = self._recover()
        except errors.Fault as fault:
            if not self.model.repair_folder:
                raise
            self._repair(fault.refusal)

    def _repair(self, refusal: errors.Refusal) -> None:
        """Step down after a failed write or a damaged folder.

        What the folder holds is not known after a failed write, so it is
        read again; one that cannot be used is emptied, and the replica
        joins anew as a learner.
        """
        logs.log('folder_failed', reason=errors.word(refusal))
        self.control = None
        self._sync_scheduled = False
        self._abandon_requests()
        self._journal.abandon()
        if refusal.values.get('damaged'):
            logs.log('folder_emptied', folder=self.model.data_folder)
            self._journal.empty()
        asyncio.get_running_loop().call_later(
            REOPEN_INTERVAL_S, self._open_folder
        )

    def _abandon_requests(self) -> None:
        for request in list(self._requests):
            self.reply(request, control.LedElsewhere(''))

    def _recover(self) -> control.Control:
        """Read the data folder; a new folder gets a new disk identity."""
        model = self.model
        if self._journal.is_new():
            disk = f'{model.name}-{secrets.token_hex(DISK_ID_BYTES)}'
            self._journal.format(journal.Identity('', model.name, disk, {}))
            logs.log('folder_new', disk=disk)
        recovered = self._journal.open(model.name)
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
                ),
                lease_ttl_s=model.lease_ttl_s,
                addresses=dict(model.replicas),
            ),
            recovered.stored,
            recovered.snapshot,
            clock.read_moment(self._random),
        )

    async def start(self) -> None:
        """Connect to the other replicas and begin."""
        await super().start()
        for name, address in self.model.replicas.items():
            if name != self.model.name:
                self.link.connect(name, address)
        application = web.Application()
        admin.Admin(self, self.model.tokens.operators).add_routes(application)
        http = self.model.http
        self.port = await self.serve(application, http.host, http.port)

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Give an event to the decision class."""
        if self.control is None:
            return self._handle_during_repair(event)
        return self.control.handle(event, clock.read_moment(self._random))

    def _handle_during_repair(self, event: Any) -> effects.Effects:
        """Answer what waits for an answer while the folder is repaired."""
        match event:
            case control.StopAsked():
                return [effects.Leave()]
            case (
                control.ChangeOrdered(request=request)
                | control.ConfigurationWanted(request=request)
            ):
                return [effects.Reply(request, control.LedElsewhere(''))]
            case _:
                return []

    def halt(self, refusal: errors.Refusal) -> None:
        """End because of a fault, unless the folder can be repaired."""
        if self.model.repair_folder:
            self._repair(refusal)
            return
        super().halt(refusal)

    def perform(self, effect: effects.Effect) -> None:
        """Write to the journal."""
        match effect:
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
        self.measures.time('sync', duration_s)

    def make_tick(self) -> object:
        """Return the event for the passing of time."""
        return control.Ticked()

    def make_stop(self) -> object:
        """Return the event for the begin of a planned stop."""
        return control.StopAsked()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return the events for a frame."""
        sender = frame.sender
        return [
            control.Received(sender.name, sender.incarnation, message)
            for message in frame.messages
        ]

    def is_ready(self) -> bool:
        """Tell whether the replica follows or leads."""
        decisions = self.control
        if decisions is None:
            return False
        return bool(decisions.replica.leader) and not decisions.stopping

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        if self.control is None:
            return {'folder': 'in repair'}
        state = self.control.describe(clock.read_now())
        state['longest_stall_ms'] = round(self.longest_sync_s * 1000, 2)
        state['syncs'] = self._journal.syncs
        state['written_bytes'] = self._journal.written_bytes
        return state

    def count(self) -> dict[str, int]:
        """Return the counters."""
        if self.control is None:
            return {}
        counters = dict(self.control.counters)
        counters.update(self.control.replica.counters)
        return counters

    def gauge(self) -> dict[str, float]:
        """Return the gauges."""
        if self.control is None:
            return {}
        return {
            'claims_held': len(self.control.ledger.claims),
            'commit_index': self.control.replica.commit,
            'revision': self.control.ledger.configuration.revision,
        }

    async def close(self) -> None:
        """Close the journal; a planned stop leaves nothing unsynced."""
        if self.fault is None and self.control is not None:
            self._journal.sync()
        self._journal.close()


def format_folder(model: settings.ControlSettings, cluster: str) -> None:
    """Give the replica's new data folder its place in a new cluster.

    Raises Fault when the folder is in use.  A folder that was lost must not
    be formatted again: an empty one rejoins as a learner.
    """
    voters = {name: f'{cluster}-{name}' for name in model.replicas}
    folder = journal.Journal(
        pathlib.Path(model.data_folder), journal.SystemDisk()
    )
    folder.format(
        journal.Identity(cluster, model.name, voters[model.name], voters)
    )


def form_cluster(
    model: settings.ControlSettings, replicas: dict[str, str]
) -> None:
    """Prepare a new folder at the first start of a whole deployment.

    Every named replica writes the same members.  A folder that is in use
    stays as it is.
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
                FIRST_CLUSTER, model.name, voters[model.name], voters
            )
        )
    except errors.Fault as fault:
        # The start reads the folder again and repairs it.
        logs.log('folder_failed', reason=str(fault))
