"""Refusals of an entry that shares room: each must be true.

An entry with ``SharedRoom`` may use only the room that agents have granted to
it, so work waits there for a round trip or longer while targets have room.
The load is a short wide job of docs/HARD-LOAD.md (``bid-accept``: 8 tasks of
6.6 cores, 0.12 s, an objective of 1.6 times the run and 60 ms) that arrives at
a calm entry 1 ms after another one, with four targets of 64 cores; each holds
nine tasks.
"""

from collections.abc import Iterable
import dataclasses
import unittest

import ddt

from eelgrassworks import admission
from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import shedding
from eelgrassworks.contracts import jobs
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement

TASK = contracts.Room(6600, 100)
ROOM = contracts.Room(64_000, 128_000)
TARGETS = ('target-1', 'target-2', 'target-3', 'target-4')
KIND = contracts.Kind(
    'bid-accept',
    frozenset({'domain'}),
    True,
    20.0,
    service='pool',
    stretch=1.6,
    objective_s=0.06,
)
CALM_KIND = dataclasses.replace(
    KIND, name='reserve-check', service='calm', priority=1
)
KINDS = {kind.name: kind for kind in (KIND, CALM_KIND)}
RUN_S = 0.12
WIDTH = 8
NOW_S = 100.0
# Work of three pairs (0.4 s) that the entry has completed in the last second.
CALM_WORK = 3 * TASK.measure_work(0.4)
OWN_WORK = contracts.Backlog('entry-1', KIND.name, WIDTH, 5)
OTHER_WORK = contracts.Backlog('entry-2', KIND.name, 500, 900)

# Tasks for which each target reports free room to all entries, the age of the
# report in seconds, the backlogs in it, what happens after the first job was
# queued, and whether the second job is refused.
REFUSALS: tuple[
    tuple[str, int, float, tuple[contracts.Backlog, ...], str, bool], ...
] = (
    ('room is free and not granted yet', 9, 0.0, (), '', False),
    ('the report is one renewal old', 9, 0.9, (), '', False),
    ('its own work is in the report', 9, 0.0, (OWN_WORK,), '', False),
    ('others had a backlog that is gone', 9, 0.0, (OTHER_WORK,), '', False),
    ('half of the job starts at once', 3, 0.0, (), '', False),
    ('all room is in use', 0, 0.0, (), '', True),
    ('all room is in use, own work reported', 0, 0.0, (OWN_WORK,), '', True),
    ('the report has expired', 9, 2.1, (), '', True),
    ('the room was used since the report', 1, 0.2, (), 'used', True),
    ('targets declined starts as busy', 9, 0.0, (), 'declined', True),
    ('targets left requests unanswered', 9, 0.0, (), 'unanswered', True),
    ('a later report shows room again', 9, 0.0, (), 'returned', False),
    ('earlier work has ended unserved', 9, 0.9, (), 'ended', False),
)
# Half of the first job starts at once, which leaves the first tasks of the
# second in time and, which counts with shares, the last ones late.
HALF_AHEAD = ('half of the first job starts at once', 1, 0.0, (), '')
CHOICES: tuple[features.Off | features.WeightedShares, ...] = (
    features.Off(),
    features.WeightedShares(),
)

# Tasks for which each target reports free room, the age of the report when a
# job has missed its latest start, and whether it is ended as overloaded.
OVERDUE: tuple[tuple[str, int, float, bool], ...] = (
    ('room is free and not granted yet', 9, 0.01, False),
    ('room was asked for in vain since the report', 9, 0.1, True),
    ('all room is in use', 0, 0.01, True),
)

# Tasks for which two targets of a calm service report free room, while urgent
# work waits for two full targets of another service, and whether the second of
# two jobs that arrive within 1 ms is refused.
POOLS: tuple[tuple[str, int, bool], ...] = (
    ('room is free and not granted yet', 9, False),
    ('all room is in use', 0, True),
)


class Entry:
    """Dispatcher and admission of one entry, without a network."""

    def __init__(self, choice: features.Off | features.WeightedShares) -> None:
        self.table = jobs.JobTable()
        self.sent: effects.Effects = []
        self.dispatcher = dispatcher.Dispatcher(
            placement.LateBinding(),
            self.table,
            optional=features.Features(features.SharedRoom(), choice),
        )
        options = session.SessionOptions('entry-1', '', 1, ('control-1',))
        control = session.Session(options)
        control.configuration = contracts.Configuration(
            1,
            contracts.Sheet(
                KINDS,
                {'callers': contracts.Quota('callers', 1.0, 10_000, 0)},
            ),
            frozenset(),
            frozenset(),
        )
        self.dispatcher.configure(control.configuration)
        self.admission = admission.Admission(control, self.dispatcher, 20.0)

    def renew(
        self,
        tasks: int,
        now_s: float,
        backlogs: tuple[contracts.Backlog, ...] = (),
        granted: int = 0,
        starts_seen: int = 0,
        names: tuple[str, ...] = TARGETS,
        service: str = 'pool',
    ) -> None:
        """Receive renewals of targets, with room for some tasks."""
        for name in names:
            renewal = messages.AgentRenewal(
                name,
                'worker',
                'domain',
                (),
                1,
                1,
                starts_seen,
                int(now_s * 1000),
                1,
                True,
                service,
                ROOM,
                TASK.scale(granted),
                shared=contracts.SharedState(TASK.scale(tasks), backlogs),
            )
            self.dispatcher.handle_renewal(name, 1, renewal, now_s)

    def find_refusal(
        self, submission: contracts.Submission, now_s: float
    ) -> errors.Refusal | None:
        """Return why an arriving job is refused; queue it if it is not."""
        refusal = self.admission.find_refusal(submission, now_s)
        if refusal is None:
            kind = KINDS[submission.kind]
            schedule = shedding.plan_job(kind, RUN_S, now_s)
            job = jobs.Job(
                submission,
                now_s,
                now_s + 1.0,
                due_s=schedule.due_s,
                priority=kind.priority,
            )
            job.activate()
            self.table.add(job)
            self.dispatcher.add(job)
            self.sent += self.dispatcher.place(now_s)
        return refusal

    def count_requests(self, service: str) -> int:
        """Return how many targets of a service were asked for room."""
        views = self.dispatcher.views
        return len(
            {
                each.peer
                for each in self.sent
                if isinstance(each, effects.Send)
                and isinstance(each.message, messages.SlotsRequest)
                and views[each.peer].target.service == service
            }
        )

    def decline(self, views: Iterable[machines.TargetView]) -> None:
        """Receive declines of all starts, since targets are busy."""
        for view in views:
            for key, start in list(view.outstanding.items()):
                declined = messages.TaskDeclined(
                    key.submission,
                    key.index,
                    start.attempt,
                    messages.REASON_BUSY,
                    1,
                    view.starts_sent,
                    contracts.NO_ROOM,
                )
                self.dispatcher.handle_message(
                    view.target.name, 1, declined, NOW_S
                )


def make_submission(
    name: str, width: int = WIDTH, kind: contracts.Kind = KIND
) -> contracts.Submission:
    """Return a job of the size of the short wide kind."""
    return contracts.Submission(
        name,
        '',
        'callers',
        kind.name,
        (b'{}',) * width,
        1.0,
        False,
        True,
        TASK,
        RUN_S,
    )


@ddt.ddt
class RoomRefusalTest(unittest.TestCase):
    @ddt.data(
        *[(*row, choice) for choice in CHOICES for row in REFUSALS],
        (*HALF_AHEAD, False, features.Off()),
        (*HALF_AHEAD, True, features.WeightedShares()),
    )
    @ddt.unpack
    def test_refusal_is_true(
        self,
        _: str,
        tasks: int,
        age_s: float,
        backlogs: tuple[contracts.Backlog, ...],
        event: str,
        refused: bool,
        choice: features.Off | features.WeightedShares,
    ) -> None:
        """A job that can start in time must not be refused as overloaded."""
        entry = Entry(choice)
        entry.renew(tasks, NOW_S - age_s, backlogs)
        now_s = NOW_S
        match event:
            case 'used':
                entry.renew(1, NOW_S - 0.1, granted=1)
                other = make_submission('other', 4)
                self.assertIsNone(entry.find_refusal(other, NOW_S - 0.1))
                self.assertEqual(entry.dispatcher.queue.length, 0)
            case 'ended':
                ended = make_submission('ended')
                self.assertIsNone(entry.find_refusal(ended, NOW_S - 0.5))
                entry.dispatcher.remove(entry.table.jobs['ended'], NOW_S - 0.4)
            case 'declined':
                entry.renew(tasks, NOW_S, granted=2)
            case _:
                pass
        entry.dispatcher.completion_rate.record(CALM_WORK, now_s)
        first = entry.find_refusal(make_submission('first'), now_s)
        self.assertIsNone(first)
        match event:
            case 'declined':
                entry.decline(entry.dispatcher.views.values())
            case 'unanswered' | 'returned':
                now_s += 0.031
                entry.dispatcher.place(now_s)
                if event == 'returned':
                    entry.renew(tasks, now_s)
            case _:
                pass
        now_s += 0.001
        second = entry.find_refusal(make_submission('second'), now_s)
        admitted = entry.dispatcher.counters['admitted_by_free_room']
        self.assertEqual(admitted, 0 if refused else 1)
        found = None if second is None else second.code
        self.assertEqual(found, errors.Code.OVERLOADED if refused else None)

    @ddt.data(*POOLS)
    @ddt.unpack
    def test_room_of_another_service(
        self, _: str, tasks: int, refused: bool
    ) -> None:
        """Work that waits for a full service says nothing of another one."""
        entry = Entry(features.Off())
        entry.renew(0, NOW_S, names=TARGETS[:2])
        entry.renew(tasks, NOW_S, names=TARGETS[2:], service='calm')
        entry.dispatcher.completion_rate.record(CALM_WORK, NOW_S + 0.1)
        full = make_submission('full', 1)
        self.assertIsNone(entry.find_refusal(full, NOW_S))
        entry.dispatcher.place(NOW_S + 0.05)
        found = []
        for number, now_s in enumerate((NOW_S + 0.1, NOW_S + 0.101)):
            calm = make_submission(f'calm-{number}', kind=CALM_KIND)
            refusal = entry.find_refusal(calm, now_s)
            found.append(refusal is not None)
        self.assertEqual(found, [False, refused])
        self.assertEqual(entry.count_requests('calm'), 2)

    @ddt.data(*OVERDUE)
    @ddt.unpack
    def test_overdue_job_is_ended_only_without_room(
        self, _: str, tasks: int, age_s: float, ended: bool
    ) -> None:
        """A job that waits for a grant takes the place of no other job."""
        entry = Entry(features.Off())
        entry.renew(tasks, NOW_S, granted=1)
        for name in ('first', 'second'):
            refusal = entry.find_refusal(make_submission(name, 4), NOW_S)
            self.assertIsNone(refusal)
        now_s = NOW_S + 0.14
        # The agents have received the first job.
        entry.renew(tasks, now_s - age_s, starts_seen=1)
        found = entry.dispatcher.list_overdue(now_s)
        self.assertEqual(found, ['second'] if ended else [])


if __name__ == '__main__':
    unittest.main()
