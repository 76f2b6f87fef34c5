"""The leader checks the homes again only once an input has changed."""

from collections.abc import Callable
import dataclasses
import unittest
from unittest import mock

import ddt

from eelgrassworks import control
from eelgrassworks.contracts import homeplacement
from eelgrassworks.contracts import homeset
from eelgrassworks.contracts import homesites
from eelgrassworks.trials import virtual
from tests import worlds

NAMES = tuple(f'entry-{n}' for n in range(9))
# A check at this time is due, and so is one at each later multiple of it.
DUE_S = homeplacement.CHANGE_INTERVAL_S
INPUTS = homeplacement.PlacementInputs(
    homeset.form(NAMES, ()),
    {
        name: homesites.RegisteredEntry(f'tcp://{name}:7001', f'zone-{n % 3}')
        for n, name in enumerate(NAMES)
    },
    NAMES,
    ('control-1',),
    {'control-1': 'tcp://entry-0:7002'},
)


def change_entry(**values: str) -> homeplacement.PlacementInputs:
    """Return the inputs with other values of one entry."""
    entry = dataclasses.replace(INPUTS.entries['entry-8'], **values)
    return dataclasses.replace(
        INPUTS, entries={**INPUTS.entries, 'entry-8': entry}
    )


# Inputs of a second check, and whether it must be made: a check of unchanged
# inputs took 29 ms each second with 300 entries.
CHANGES: tuple[tuple[str, homeplacement.PlacementInputs, bool], ...] = (
    ('same', INPUTS, False),
    ('equal', change_entry(), False),
    ('address', change_entry(address='tcp://entry-0:7003'), True),
    ('failure domain', change_entry(failure_domain='zone-9'), True),
    (
        'entry ended',
        dataclasses.replace(INPUTS, live_entries=NAMES[:-1]),
        True,
    ),
    (
        'entry registered',
        dataclasses.replace(INPUTS, live_entries=(*NAMES, 'entry-9')),
        True,
    ),
    ('no voter', dataclasses.replace(INPUTS, voters=()), True),
    (
        'no address of a replica',
        dataclasses.replace(INPUTS, replicas={}),
        True,
    ),
    (
        'another set',
        dataclasses.replace(
            INPUTS, current=dataclasses.replace(INPUTS.current, version=5)
        ),
        True,
    ),
)

# What happens to a placement at a time, the version of the homes, and when
# the next decision is due.
WAITS: tuple[
    tuple[str, Callable[[homeplacement.HomePlacement], object], int, float],
    ...,
] = (
    ('started, no homes', lambda _: None, 0, 1.0),
    ('started', lambda _: None, 1, 10.0),
    ('entry registered', lambda each: each.restart_wait(5.0), 0, 6.0),
    ('homes changed', lambda each: each.restart_wait(5.0), 1, 15.0),
    ('leads', lambda each: each.start_leadership(5.0), 1, 15.0),
    ('checked', lambda each: each.decide(INPUTS, 10.0), 1, 11.0),
    (
        'revised',
        lambda each: each.decide(
            dataclasses.replace(INPUTS, current=homeset.NO_HOMES), 10.0
        ),
        1,
        20.0,
    ),
)


@ddt.ddt
class HomePlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        """Count the checks, each of which makes sites once."""
        patch = mock.patch.object(
            homesites, 'make_sites', wraps=homesites.make_sites
        )
        self.checks = patch.start()
        self.addCleanup(patch.stop)

    @ddt.data(*CHANGES)
    @ddt.unpack
    def test_second_check(
        self, _: str, inputs: homeplacement.PlacementInputs, is_checked: bool
    ) -> None:
        """Guards against checks for nothing, and against changes unseen."""
        placement = homeplacement.HomePlacement(0.0)
        self.assertIsNone(placement.decide(INPUTS, DUE_S))
        placement.decide(inputs, 2 * DUE_S)
        self.assertEqual(self.checks.call_count, 1 + is_checked)

    def test_new_leader_checks_again(self) -> None:
        """Guards against exposures that a new leader does not report."""
        inputs = dataclasses.replace(
            INPUTS, replicas={f'control-{n}': n for n in NAMES}
        )
        placement = homeplacement.HomePlacement(0.0)
        decisions = [placement.decide(inputs, n * DUE_S) for n in (1, 2)]
        placement.start_leadership(2 * DUE_S)
        self.assertEqual(placement.exposures, {})
        decisions.append(placement.decide(inputs, 3 * DUE_S))
        exposed = homeplacement.ExposuresChanged({'disks': 1})
        self.assertEqual(decisions, [exposed, None, exposed])

    def test_revision_that_was_lost_is_decided_again(self) -> None:
        """Guards against a home that stays lost with a lost proposal."""
        inputs = dataclasses.replace(INPUTS, live_entries=NAMES[1:])
        placement = homeplacement.HomePlacement(0.0)
        first, second = (placement.decide(inputs, n * DUE_S) for n in (1, 2))
        self.assertIsInstance(first, homeplacement.HomesRevised)
        self.assertEqual(first, second)

    @ddt.data(*WAITS)
    @ddt.unpack
    def test_wait(
        self,
        _: str,
        event: Callable[[homeplacement.HomePlacement], object],
        version: int,
        due_s: float,
    ) -> None:
        """Guards against two homes that join at a time."""
        placement = homeplacement.HomePlacement(0.0)
        event(placement)
        current = dataclasses.replace(INPUTS.current, version=version)
        self.assertFalse(placement.is_due(current, due_s - 0.01))
        self.assertTrue(placement.is_due(current, due_s))

    def test_idle_service(self) -> None:
        """Guards against inputs that change though the service does not."""
        world = virtual.World(1)
        world.add_control(worlds.CONTROLS, voters=3)
        for name in NAMES:
            world.add_entry(name, worlds.CONTROLS)
        worlds.await_leader(world)
        world.run(2 * DUE_S)
        self.assertGreater(self.checks.call_count, 0)
        self.checks.reset_mock()
        world.run(DUE_S)
        self.assertEqual(self.checks.call_count, 0)
        world.kill(NAMES[0])
        world.run(2 * control.ENTRY_TTL_S)
        self.assertGreater(self.checks.call_count, 0)
