"""Settings of the processes: JSON files that are validated at start.

Each role has one model.  An unknown key, a missing key or a value out of
range is refused, and the refusal names the key.
"""

import pathlib
import re
from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar

import expression
import msgspec

from eelgrassworks import errors
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import zones
from eelgrassworks.contracts import home

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Address = Annotated[
    str, msgspec.Meta(pattern=r'^tcp://[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$')
]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Weight = Annotated[float, msgspec.Meta(ge=0.01, le=100.0)]
Key = Annotated[str, msgspec.Meta(min_length=16)]

DEFAULT_BODY_LIMIT_BYTES: Final = 8 * 1024 * 1024


class VmModel(msgspec.Struct, forbid_unknown_fields=True):
    """The VM that an entry or control process runs on."""

    name: Name
    failure_domain: Name
    region: Name


class WorkerModel(msgspec.Struct, forbid_unknown_fields=True):
    """The worker that an agent runs on."""

    name: Name
    failure_domain: Name
    region: str = ''
    rack: str = ''
    cores: Positive = 1
    memory_mib: Positive = 1024


class HttpModel(msgspec.Struct, forbid_unknown_fields=True):
    """Listening address of the HTTP server of a process."""

    host: str
    port: Port


class StatsdModel(msgspec.Struct, forbid_unknown_fields=True):
    """Address of the StatsD server; an empty host disables metrics."""

    host: str = ''
    port: Port = 8125


class TokensModel(msgspec.Struct, forbid_unknown_fields=True):
    """Bearer tokens of callers and operators; an empty map requires none.

    ``callers`` maps a token to its team, ``operators`` to a name.
    """

    callers: dict[str, Name] = {}
    operators: dict[str, Name] = {}


class TargetModel(msgspec.Struct, forbid_unknown_fields=True):
    """The target that an agent serves."""

    url: Annotated[str, msgspec.Meta(pattern=r'^http://')]
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    kinds: list[Name] = []


class FeaturesModel(msgspec.Struct, forbid_unknown_fields=True):
    """The optional decisions that a deployment asks for.

    ``features`` describes each.
    """

    shared_room: bool = False
    weighted_shares: bool = False
    # 1 for a kind that is not named.
    kind_weights: dict[Name, Weight] = {}
    learnt_homes: bool = False
    separation: bool = False
    rebalancing: bool = False


class ControlSettings(
    msgspec.Struct, forbid_unknown_fields=True, tag_field='role', tag='control'
):
    """Settings of a control replica."""

    name: Name
    vm: VmModel
    listen: Address
    http: HttpModel
    key: Key
    data_folder: str
    replicas: dict[Name, Address]
    # Replicas that are not listed may join; up to ``voters`` of them vote.
    open_members: bool = False
    voters: Annotated[int, msgspec.Meta(ge=0, le=9)] = 0
    # How long a node without contact may work under an old configuration; at
    # most ``home.MAX_LEASE_TTL_S`` with open members.
    lease_ttl_s: Seconds = zones.LEASE_TTL_S
    # An unusable data folder is emptied, and the replica joins again.
    repair_folder: bool = False
    tokens: TokensModel = msgspec.field(default_factory=TokensModel)
    statsd: StatsdModel = msgspec.field(default_factory=StatsdModel)


class EntrySettings(
    msgspec.Struct, forbid_unknown_fields=True, tag_field='role', tag='entry'
):
    """Settings of an entry."""

    name: Name
    vm: VmModel
    listen: Address
    http: HttpModel
    key: Key
    replicas: dict[Name, Address]
    tokens: TokensModel = msgspec.field(default_factory=TokensModel)
    statsd: StatsdModel = msgspec.field(default_factory=StatsdModel)
    policy: str = 'late-binding'
    learnt_speeds: bool = True
    max_wait_s: Seconds = 2.0
    body_limit_bytes: Positive = DEFAULT_BODY_LIMIT_BYTES
    body_timeout_s: Seconds = 10.0
    # How long a stopping entry accepts jobs after it reports not ready.
    stop_linger_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    features: FeaturesModel = msgspec.field(default_factory=FeaturesModel)


class AgentSettings(
    msgspec.Struct, forbid_unknown_fields=True, tag_field='role', tag='agent'
):
    """Settings of an agent; its name is the name of its target."""

    name: Name
    worker: WorkerModel
    listen: Address
    target: TargetModel
    http: HttpModel
    key: Key
    entries: dict[Name, Address]
    tokens: TokensModel = msgspec.field(default_factory=TokensModel)
    statsd: StatsdModel = msgspec.field(default_factory=StatsdModel)
    queue_limit: Annotated[int, msgspec.Meta(ge=0, le=4096)] = 10
    features: FeaturesModel = msgspec.field(default_factory=FeaturesModel)


Settings = ControlSettings | EntrySettings | AgentSettings

_MSGSPEC_ERROR_PATTERN: Final = re.compile(
    r'^(.*?)(?: - at `\$\.?(.*)`)?$', re.DOTALL
)

Model = TypeVar('Model', bound=Settings)


def read_settings(
    path: pathlib.Path,
) -> expression.Result[Settings, errors.Refusal]:
    """Read and validate a settings file of any role."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return expression.Error(_refuse(str(path), error.strerror or ''))
    return parse_settings(data)


def parse_settings(
    data: bytes,
) -> expression.Result[Settings, errors.Refusal]:
    """Validate settings of any role."""
    try:
        parsed: Any = msgspec.json.decode(data, type=Settings)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return expression.Error(_refuse_invalid_model(str(error)))
    return _check_consistency(parsed)


def _check_consistency(
    parsed: Settings,
) -> expression.Result[Settings, errors.Refusal]:
    """Check the rules that a model alone cannot express."""
    match parsed:
        case ControlSettings(name=name, replicas=replicas):
            if name not in replicas:
                return expression.Error(
                    _refuse('replicas', f'replica {name} itself is missing')
                )
            if len(replicas) not in (1, 3, 5):
                return expression.Error(
                    _refuse('replicas', 'their number must be 1, 3 or 5')
                )
            if (
                parsed.open_members
                and parsed.lease_ttl_s > home.MAX_LEASE_TTL_S
            ):
                reason = (
                    f'must be at most {home.MAX_LEASE_TTL_S:g} s with '
                    'open_members, since a home that joins waits no longer '
                    'for earlier leases'
                )
                return expression.Error(_refuse('lease_ttl_s', reason))
        case EntrySettings(replicas=replicas) if not replicas:
            return expression.Error(_refuse('replicas', 'none is named'))
        case EntrySettings(
            features=FeaturesModel(rebalancing=True), stop_linger_s=linger_s
        ) if not linger_s:
            reason = (
                'must be the time in which load balancers notice that an '
                'entry is not ready, if features.rebalancing is set'
            )
            return expression.Error(_refuse('stop_linger_s', reason))
        case AgentSettings(entries=entries) if not entries:
            return expression.Error(_refuse('entries', 'none is named'))
        case _:
            pass
    return expression.Ok(parsed)


def make_target(settings: AgentSettings) -> machines.Target:
    """Return the target that the settings describe."""
    return machines.Target(
        settings.name,
        settings.worker.name,
        settings.worker.failure_domain,
        settings.target.slots,
        frozenset(settings.target.kinds),
    )


def make_features(model: FeaturesModel) -> features.Features:
    """Return the optional decisions that the settings ask for."""
    off = features.Off()
    return features.Features(
        room=features.SharedRoom() if model.shared_room else off,
        shares=(
            features.WeightedShares(model.kind_weights)
            if model.weighted_shares
            else off
        ),
        claims=features.LearntHomes() if model.learnt_homes else off,
        separation=features.Separation() if model.separation else off,
        rebalancing=features.Rebalancing() if model.rebalancing else off,
    )


def make_worker(model: WorkerModel) -> machines.Worker:
    """Return the worker that the settings describe."""
    return machines.Worker(
        model.name,
        _make_domain(model.failure_domain, model.region),
        model.rack,
        model.cores,
        model.memory_mib,
    )


def make_vm(model: VmModel) -> machines.Vm:
    """Return the VM that the settings describe."""
    return machines.Vm(
        model.name, _make_domain(model.failure_domain, model.region)
    )


def _make_domain(name: str, region: str) -> zones.FailureDomain:
    return zones.FailureDomain(name, zones.Region(region))


def _refuse(key: str, reason: str) -> errors.Refusal:
    return errors.refuse(errors.Code.BAD_SETTING, key=key, reason=reason)


def _refuse_invalid_model(text: str) -> errors.Refusal:
    found = _MSGSPEC_ERROR_PATTERN.match(text)
    if found is None:
        return _refuse('(file)', text)
    return _refuse(found.group(2) or '(file)', found.group(1))
