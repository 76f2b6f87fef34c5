"""Command line of the daemon.

``eelgrassworksd entry|control|agent --settings FILE`` runs one role in this
process; ``eelgrassworksd format`` prepares the data folder of a control
replica for a new cluster.
"""

import asyncio
import pathlib
import secrets
import sys
from typing import Final
from typing import NoReturn

import expression
import fire
import pynng

from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks.links import transport
from eelgrassworks.settings import ControlSettings

EXIT_FAULT: Final = 1
EXIT_USAGE: Final = 2
INCARNATION_BITS: Final = 63


class Daemon:
    """Runs one role of eelgrassworks in this process."""

    def entry(self, settings: str) -> None:
        """Run an entry."""
        _run_role('entry', settings)

    def control(self, settings: str) -> None:
        """Run a control replica."""
        _run_role('control', settings)

    def agent(self, settings: str) -> None:
        """Run an agent."""
        _run_role('agent', settings)

    def format(self, settings: str, cluster: str) -> None:
        """Prepare the data folder of a control replica for a new cluster."""
        model = load_settings(settings)
        if not isinstance(model, ControlSettings):
            _exit_usage('only a control replica has a data folder')
        from eelgrassworks import controlprocess

        try:
            controlprocess.format_folder(model, str(cluster))
        except errors.Fault as fault:
            sys.stderr.write(f'eelgrassworksd: {fault}\n')
            sys.exit(EXIT_FAULT)


def load_settings(path: str) -> settings.Settings:
    """Return the validated settings, or print the reason and exit."""
    match settings.read_settings(pathlib.Path(path)):
        case expression.Result(tag='error', error=refusal):
            _exit_usage(errors.format_refusal(refusal))
        case result:
            model = result.ok
    return model


def _exit_usage(text: str) -> NoReturn:
    sys.stderr.write(f'eelgrassworksd: {text}\n')
    sys.exit(EXIT_USAGE)


def make_process(model: settings.Settings) -> process.Process:
    """Build the process of a role with its sockets, without starting it.

    Only the modules of the role are imported, to keep agents small in memory.
    """
    incarnation = secrets.randbits(INCARNATION_BITS)
    link = transport.SocketTransport(
        links.Codec(model.key.encode()),
        links.Sender(model.name, incarnation, model.listen),
    )
    match model:
        case settings.ControlSettings():
            from eelgrassworks import controlprocess
            from eelgrassworks.replication import journal

            return controlprocess.ControlProcess(
                model, link, journal.SystemDisk()
            )
        case settings.EntrySettings():
            from eelgrassworks import entryprocess
            from eelgrassworks.fronts import entryapi

            entry_process = entryprocess.EntryProcess(model, link)
            entry_process.fronts.append(entryapi.EntryApi(entry_process))
            return entry_process
        case settings.AgentSettings():
            from eelgrassworks import agentprocess

            return agentprocess.AgentProcess(model, link)


def _run_role(role: str, path: str) -> None:
    model = load_settings(path)
    if model.__struct_config__.tag != role:
        _exit_usage(f'{path} holds settings of another role')
    logs.start_logging(role=role, name=model.name)
    sys.exit(asyncio.run(_run(model)))


async def _run(model: settings.Settings) -> int:
    try:
        role_process = make_process(model)
        role_process.watch_signals()
        return await role_process.run()
    except errors.Fault as fault:
        logs.log('fault', reason=str(fault))
    except (OSError, pynng.NNGException) as error:
        logs.log('fault', reason=f'{error}; check the addresses')
    return EXIT_FAULT


def main() -> None:
    """Run the daemon's command line."""
    fire.Fire(Daemon, name='eelgrassworksd')
