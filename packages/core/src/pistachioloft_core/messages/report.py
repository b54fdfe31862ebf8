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
