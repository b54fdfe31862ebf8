"""Reports of one instance of a fleet to operators."""

from __future__ import annotations

from dataclasses import dataclass

from .operator import VoterStatus

ENDPOINT_SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Describe an entry instance in the view of a control instance."""

    instance: str
    failure_domain: str
    ready: bool
    stopping: bool
    chosen: bool
    route_version: int
    in_flight_count: int
    age_ms: float
    cut_off: bool = False


@dataclass(frozen=True, slots=True)
class AnnouncedReport:
    """Describe an endpoint; `silent` ones have lapsed, and `usable` ones may get new requests."""

    endpoint: str
    service: str
    failure_domain: str
    address: str
    standing: str
    usable: bool
    in_flight_count: int = 0
    overdue_count: int = 0
    breaker_open: bool = False
    # What the endpoint says about itself to an entry instance.
    limit_per_s: float | None = None
    rest_left_ms: float = 0.0
    leaving: bool = False
    evacuated: bool = False


@dataclass(frozen=True, slots=True)
class BudgetReport:
    """Describe this instance's budget of extra attempts for a service in the last 10 s."""

    service: str
    balance_count: float
    allowance_count: float
    first_count: int
    extra_count: int


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """Identify the content of a request that was in flight when endpoints crashed."""

    digest: str
    standing: str


@dataclass(frozen=True, slots=True)
class OrganisationReport:
    """Describe an organisation's allotment, and its requests at an instance since its start."""

    organisation: str
    rate_per_s: float
    burst_count: float
    admitted_count: int
    refused_count: int


@dataclass(frozen=True, slots=True)
class FleetReport:
    """Describe one instance and its view; `confirmed_age_ms` is None before a confirmation."""

    instance: str
    label: str
    role: str
    failure_domain: str
    serving: bool
    stopping: bool
    route_version: int
    confirmed_age_ms: float | None
    control_instances: tuple[str, ...]
    voters: VoterStatus | None = None
    entries: tuple[EntryReport, ...] = ()
    endpoints: tuple[AnnouncedReport, ...] = ()
    budgets: tuple[BudgetReport, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    evacuated_domains: tuple[str, ...] = ()
    # The organisations with an allotment that sent most requests.
    organisations: tuple[OrganisationReport, ...] = ()


@dataclass(frozen=True, slots=True)
class CandidateReport:
    """Describe an endpoint of a service as an entry instance sees it for its next attempt."""

    endpoint: str
    failure_domain: str
    standing: str
    # It gets new requests; the fields below may still keep it from the next one.
    usable: bool
    expected_latency_ms: float
    slowness: float
    shed_fraction: float
    in_flight_count: int
    connection_limit_count: int
    overdue_count: int = 0
    # What it reported with its last reply, None without a report.
    running_count: int | None = None
    waiting_count: int | None = None
    slot_count: int | None = None
    report_age_ms: float | None = None
    limit_per_s: float | None = None
    has_permit: bool = True
    rest_left_ms: float = 0.0
    leaving: bool = False
    breaker_open: bool = False
    cold: bool = False
    evacuated: bool = False
    distant: bool = False


@dataclass(frozen=True, slots=True)
class ServicePlacement:
    """State where the attempts for a shard, or for the service of a request, would go."""

    service: str
    # The instance that would send the first attempt; another one chooses its endpoint itself.
    via: str
    reason: str
    # Empty without one, and for the first attempt also where another instance chooses it.
    first_endpoint: str = ''
    next_endpoint: str = ''
    # A faster endpoint that is not used for lack of a permit.
    wanted_endpoint: str = ''
    retries_left_count: int = 0
    hedges_left_count: int = 0
    candidates: tuple[CandidateReport, ...] = ()


@dataclass(frozen=True, slots=True)
class OrganisationPlacement:
    """Describe the organisation of a request and what is known here of its permits."""

    organisation: str
    rate_per_s: float
    burst_count: float
    has_spare_permit: bool = False
    denied_for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """State why a request would not be admitted now."""

    code: int
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """Explain where an entry instance would send a request now."""

    instance: str
    failure_domain: str
    route: str
    route_version: int
    priority: int
    # None if the request would be admitted.
    refusal: PlacementRefusal | None
    # Of the requests of this kind, while the endpoints are overloaded.
    admitted_share: float
    # None for a request without an organisation.
    organisation: OrganisationPlacement | None = None
    services: tuple[ServicePlacement, ...] = ()
