"""Messages that propose commands to the leader."""

from __future__ import annotations

from dataclasses import dataclass

from .accepted import (
    AcceptRoutes,
    CloseClaim,
    CommandOutcome,
    DrainInstance,
    OpenClaim,
    SetEvacuation,
    SubmitConfiguration,
)


@dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Ask the leader to commit commands."""

    proposal_id: str
    submit: SubmitConfiguration | None = None
    drain: DrainInstance | None = None
    open_claim: OpenClaim | None = None
    close_claim: CloseClaim | None = None
    routes: AcceptRoutes | None = None
    evacuation: SetEvacuation | None = None


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """Carry the outcome of a proposal; without an outcome nothing was accepted."""

    proposal_id: str
    outcome: CommandOutcome | None
    leader_hint: str | None = None
