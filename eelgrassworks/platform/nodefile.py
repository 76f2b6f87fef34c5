"""Reads the platform's settings file and derives the settings of a process."""

import os
import pathlib
import re
from typing import Final

import msgspec

from eelgrassworks import errors
from eelgrassworks import logs
from eelgrassworks import settings
from eelgrassworks.contracts import home
from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import wire

# The platform provides no secret.  A fixed key rejects connections from
# clusters of other software.
LINK_KEY: Final = 'eelgrassworks-on-the-platform'
ADDRESS: Final = re.compile(r'(?P<host>[\w.:\[\]-]+):(?P<port>[0-9]{1,5})')
MAX_PORT: Final = 65535
# Each role serves its dump and its metrics over HTTP.  The deploy file sets
# the port, because the platform collects the metrics from it.
HTTP_PORT_VARIABLE: Final = 'EELGRASSWORKS_HTTP_PORT'
HTTP_OFFSET: Final = 3
DEFAULT_LEASE_MS: Final = 5000
# The platform stops sending requests to a node after two failed readiness
# checks, one second apart.
STOP_LINGER_S: Final = 2.2
# Losses of machines at a time, from which on entries adapt to those left.
MIN_SEVERAL_LOSSES: Final = 2

_DECODER: Final = msgspec.json.Decoder(wire.NodeFile)


def read_node_file() -> wire.NodeFile:
    """Return the decoded settings file.

    Raises Fault if the file cannot be read or is invalid.
    """
    path = os.environ.get(earlylistener.PATH_VARIABLE, '')
    try:
        data = pathlib.Path(path).read_bytes()
        return wire.decode(_DECODER, data)
    except (OSError, wire.BodyInvalid) as error:
        raise errors.Fault(
            errors.refuse(errors.Code.BAD_SETTING, key=path, reason=error)
        ) from error


def list_replicas(node: wire.NodeFile) -> dict[str, str]:
    """Return the control replicas listed in the seeds: name to address.

    The name of a replica is its IP address, the only identity in a seed.
    A seed that is not an address names none; the others hold.
    """
    port = node.port_range[0] + wire.CONTROL_PORT
    replicas = {}
    for seed in node.seeds:
        try:
            host, _ = split_address(seed)
        except errors.Fault as fault:
            logs.log('seed_invalid', reason=str(fault))
            continue
        replicas[host] = f'tcp://{host}:{port}'
    return replicas


def make_control(node: wire.NodeFile) -> settings.ControlSettings:
    """Return the settings of a control replica.

    A lease may be shorter than the bound on an evacuation, not longer.
    """
    evacuation_s = node.bounds.get('evacuateMs', DEFAULT_LEASE_MS) / 1000
    address = _make_address(node, wire.CONTROL_PORT)
    return settings.ControlSettings(
        name=node.ip,
        vm=_make_vm(node),
        listen=address,
        http=_make_http(node, wire.CONTROL_PORT),
        key=LINK_KEY,
        data_folder=node.data_dir or '',
        replicas={**list_replicas(node), node.ip: address},
        open_members=True,
        # A majority of the voters survives the tolerated number of failures.
        voters=2 * node.fault_tolerance.get('machines', 1) + 1,
        lease_ttl_s=min(evacuation_s, home.MAX_LEASE_TTL_S),
        repair_folder=True,
    )


def make_entry(node: wire.NodeFile) -> settings.EntrySettings:
    """Return the settings of an entry."""
    return settings.EntrySettings(
        name=node.node,
        vm=_make_vm(node),
        listen=_make_address(node, wire.ENTRY_PORT),
        http=_make_http(node, wire.ENTRY_PORT),
        key=LINK_KEY,
        replicas=list_replicas(node),
        stop_linger_s=STOP_LINGER_S,
        features=make_features(node),
    )


def make_features(node: wire.NodeFile) -> settings.FeaturesModel:
    """Return the optional decisions that suit a deployment.

    A deployment that bears the loss of several machines at a time has homes
    that are away or slow more often, so its entries learn which respond.  The
    entries that are left in a failure domain may get more callers than they
    can serve, so busy ones have them connect elsewhere.
    """
    losses = node.fault_tolerance.get('machines', 1)
    bears_several = losses >= MIN_SEVERAL_LOSSES
    return settings.FeaturesModel(
        learnt_homes=bears_several, rebalancing=bears_several
    )


def make_worker(node: wire.NodeFile) -> settings.WorkerModel:
    """Return the worker that an agent runs on."""
    return settings.WorkerModel(
        name=node.node, failure_domain=node.zone, region=node.region
    )


def make_agent_http(node: wire.NodeFile) -> settings.HttpModel:
    """Return where an agent serves its dump and its metrics."""
    return _make_http(node, wire.AGENT_PORT)


def read_max_target_lease_s(node: wire.NodeFile, default_s: float) -> float:
    """Return the longest lease that a target grants, in seconds."""
    lease_ms = node.bounds.get('maxHoldMs')
    return default_s if lease_ms is None else float(lease_ms) / 1000


def make_agent_address(node: wire.NodeFile) -> str:
    """Return the address at which an agent accepts connections."""
    return _make_address(node, wire.AGENT_PORT)


def split_address(address: object) -> tuple[str, int]:
    """Return the host and port of an address in the settings.

    Raises Fault if the address is missing or not valid.
    """
    found = ADDRESS.fullmatch(address) if isinstance(address, str) else None
    if found is None or int(found['port']) > MAX_PORT:
        raise errors.Fault(
            errors.refuse(
                errors.Code.BAD_SETTING,
                key='address',
                reason=f'no address with a port: {str(address)[:80]!r}',
            )
        )
    return found['host'], int(found['port'])


def _make_address(node: wire.NodeFile, offset: int) -> str:
    return f'tcp://{node.ip}:{node.port_range[0] + offset}'


def _make_http(node: wire.NodeFile, offset: int) -> settings.HttpModel:
    port_text = os.environ.get(HTTP_PORT_VARIABLE, '')
    port = (
        int(port_text)
        if port_text
        else node.port_range[0] + HTTP_OFFSET + offset
    )
    return settings.HttpModel(host=node.ip, port=port)


def _make_vm(node: wire.NodeFile) -> settings.VmModel:
    return settings.VmModel(
        name=node.node, failure_domain=node.zone, region=node.region
    )
