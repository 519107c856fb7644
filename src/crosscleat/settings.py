"""The platform's settings file, and the operators' knobs that flags and variables add to it."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from .core.model.deployment import Deployment, Objective, TeamLimits, TuningOptions
from .core.model.errors import CrosscleatError
from .core.model.ids import Member, Team

Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
LeastValue = Annotated[float, Meta(ge=1.5, le=1e6)]
"""In KiB. A job's own record takes up to 1.3."""
LeastOps = Annotated[int, Meta(ge=4)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class SettingsError(CrosscleatError):
    """One line that says which setting is missing or makes no sense."""


class Peer(msgspec.Struct):
    """Another controller."""

    member: Name
    endpoint: Address
    zone: str = ""


class Endpoints(msgspec.Struct):
    """Addresses of the services outside."""

    cloud: Address
    state: Address


class TeamSettings(msgspec.Struct):
    """Guarantee and limit of a team; 0: none."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class ObjectiveSettings(msgspec.Struct, rename={"job_class": "class"}):
    """One of the aims."""

    kind: str
    job_class: str | None = None
    within_s: Amount | None = None


class WorkerSettings(msgspec.Struct):
    """Times that workers keep to."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 60.0
    gang_peer_s: Positive = 10.0


class NextLimits(msgspec.Struct):
    """Limits that the state service will have at some later time, without notice."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: LeastValue | None = None
    txn_ops: LeastOps | None = None


class StateSettings(msgspec.Struct):
    """Limits of the state service."""

    rps: Positive
    write_rps: Positive
    value_kb: LeastValue
    txn_ops: LeastOps
    next: NextLimits = msgspec.field(default_factory=NextLimits)

    def tighter(self) -> StateSettings:
        """What holds now and later: nothing is written that may be refused from some moment on."""
        later = self.next
        return StateSettings(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudSettings(msgspec.Struct):
    """Limits of the cloud API."""

    rps: Positive


class Resources(msgspec.Struct):
    """What the platform allows a controller."""

    max_sockets: Annotated[int, Meta(ge=16)] = 1000


class Params(msgspec.Struct):
    """The part that is the same for all controllers."""

    teams: list[TeamSettings]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    objectives: list[ObjectiveSettings] = []
    resources: Resources = msgspec.field(default_factory=Resources)


class Settings(msgspec.Struct):
    """A controller's settings file."""

    member: Name
    listen: Address
    peer_bind: Address
    endpoints: Endpoints
    settings: Params
    zone: str = ""
    peers: list[Peer] = []

    def deployment(self, tuning: TuningOptions) -> Deployment:
        """What decisions depend on."""
        params = self.settings
        state = params.state.tighter()
        members = {self.member, *(peer.member for peer in self.peers)}
        return Deployment(
            member=Member(self.member),
            members=tuple(Member(member) for member in sorted(members)),
            teams={
                Team(t.name): TeamLimits(Team(t.name), t.cpus, t.cpus_max, t.gpus, t.gpus_max)
                for t in params.teams
            },
            objectives=tuple(Objective(o.kind, o.job_class, o.within_s) for o in params.objectives),
            heartbeat_interval_s=params.workers.report_s,
            lease_s=params.workers.lease_s,
            cancel_s=params.workers.cancel_s,
            gang_wait_s=params.workers.gang_wait_s,
            gang_peer_s=params.workers.gang_peer_s,
            value_kb=state.value_kb,
            txn_ops=state.txn_ops,
            tuning=tuning,
        )


def load(path: Path) -> Settings:
    """Read a settings file; raises SettingsError."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return parse(raw, str(path))


def parse(raw: object, origin: str) -> Settings:
    """Check settings that were read from `origin`; raises SettingsError."""
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{origin}: {error}") from error
    workers = settings.settings.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(
            f"{origin}: settings.workers.cancel_s must be more than lease_s, "
            "or no cancellation could be kept while the state service is away"
        )
    if not settings.settings.teams:
        raise SettingsError(f"{origin}: settings.teams is empty")
    return settings
