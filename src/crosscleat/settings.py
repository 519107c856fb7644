"""The settings file that the platform writes for each controller.

The structures use the names of the file; `Settings.deployment` maps them to the core's type.
Unknown settings are ignored. Names that end in `_s` are in seconds, in `_kb` in KiB.
"""

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
RequestRate = Annotated[float, Meta(ge=0.01, le=1e9)]
"""Requests or writes per second; a leader could not renew its lease below the lower bound."""
ValueLimit = Annotated[float, Meta(ge=1.5, le=1e6)]
"""Maximum size of a value in KiB. The record of a single job takes up to 1.3 KiB."""
OperationLimit = Annotated[int, Meta(ge=4)]
"""Maximum number of writes in one transaction."""
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class SettingsError(CrosscleatError):
    """A setting is missing or invalid; the one-line message says which, and where it was read."""


class Peer(msgspec.Struct):
    """Another controller."""

    member: Name
    endpoint: Address
    zone: str = ""


class Endpoints(msgspec.Struct):
    """Addresses of the cloud's API and the key-value store."""

    cloud: Address
    state: Address


class TeamSettings(msgspec.Struct):
    """The quota of a team: guaranteed capacity and limits; 0 means no guarantee or no limit."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class ObjectiveSettings(msgspec.Struct, rename={"job_class": "class"}):
    """A service-level objective of a class of jobs."""

    kind: str
    job_class: str | None = None
    within_s: Amount | None = None


class WorkerSettings(msgspec.Struct):
    """Intervals and time limits of workers and gangs; `Deployment` describes each of them."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 60.0
    gang_peer_s: Positive = 10.0


class NextLimits(msgspec.Struct):
    """Limits that the key-value store will switch to at some later time, without notice."""

    rps: RequestRate | None = None
    write_rps: RequestRate | None = None
    value_kb: ValueLimit | None = None
    txn_ops: OperationLimit | None = None


class StateSettings(msgspec.Struct):
    """Limits of the key-value store: requests and writes per second, value and transaction size."""

    rps: RequestRate
    write_rps: RequestRate
    value_kb: ValueLimit
    txn_ops: OperationLimit
    next: NextLimits = msgspec.field(default_factory=NextLimits)

    def strictest(self) -> StateSettings:
        """For each limit, the stricter of its present and its next value.

        This way nothing is written that the store would reject after it switches its limits.
        """
        later = self.next
        return StateSettings(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudSettings(msgspec.Struct):
    """Limits of the cloud's API: requests per second."""

    rps: Positive


class ResourceLimits(msgspec.Struct):
    """What the platform lets one controller use."""

    max_sockets: Annotated[int, Meta(ge=16)] = 1000


class SharedSettings(msgspec.Struct):
    """The settings that are the same for all controllers."""

    teams: list[TeamSettings]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    objectives: list[ObjectiveSettings] = []
    resources: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


class Settings(msgspec.Struct):
    """The settings of one controller."""

    member: Name
    listen: Address
    peer_bind: Address
    endpoints: Endpoints
    settings: SharedSettings
    zone: str = ""
    peers: list[Peer] = []

    def deployment(self, tuning: TuningOptions) -> Deployment:
        """Convert the settings that the core's decisions depend on to the core's type."""
        shared = self.settings
        state = shared.state.strictest()
        members = {self.member, *(peer.member for peer in self.peers)}
        return Deployment(
            member=Member(self.member),
            members=tuple(Member(member) for member in sorted(members)),
            teams={
                Team(team.name): TeamLimits(
                    Team(team.name), team.cpus, team.cpus_max, team.gpus, team.gpus_max
                )
                for team in shared.teams
            },
            objectives=tuple(
                Objective(objective.kind, objective.job_class, objective.within_s)
                for objective in shared.objectives
            ),
            heartbeat_interval_s=shared.workers.report_s,
            lease_s=shared.workers.lease_s,
            cancel_s=shared.workers.cancel_s,
            gang_wait_s=shared.workers.gang_wait_s,
            gang_peer_s=shared.workers.gang_peer_s,
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
    """Validate settings; raises SettingsError, whose message names `origin` as their source."""
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{origin}: {error}") from error
    workers = settings.settings.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(
            f"{origin}: settings.workers.cancel_s must be more than lease_s, "
            "otherwise cancellations would be late while the state service is unavailable"
        )
    if not settings.settings.teams:
        raise SettingsError(f"{origin}: settings.teams is empty")
    return settings
