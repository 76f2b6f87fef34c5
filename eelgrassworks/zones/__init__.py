"""Failure domains, regions, and the leases under which they accept work."""

from eelgrassworks.zones.failure_domain import FailureDomain
from eelgrassworks.zones.failure_domain import Region
from eelgrassworks.zones.lease import DRIFT_RATIO
from eelgrassworks.zones.lease import Lease
from eelgrassworks.zones.lease import LEASE_TTL_S
from eelgrassworks.zones.policy import DomainPolicy
from eelgrassworks.zones.policy import project_policy

__all__ = [
    'DRIFT_RATIO',
    'DomainPolicy',
    'FailureDomain',
    'LEASE_TTL_S',
    'Lease',
    'Region',
    'project_policy',
]
