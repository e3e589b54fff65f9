"""Interfaces to what routers save in a platform's store.

What is saved outlives all routers. Like those of
:mod:`boragetrail.direct.interfaces`, a platform's adapter implements them.
"""

import abc
import dataclasses

__all__ = [
    "CrashRegistry",
    "MemberRegistry",
    "RegisteredRouter",
    "RolloutRegistry",
    "SavedRollout",
    "SavedVersions",
    "StreamRegistry",
    "VersionRegistry",
]


@dataclasses.dataclass(slots=True, frozen=True)
class RegisteredRouter:
    """Hold the registration of a router.

    :param host: host of the router
    :param age_s: seconds since it registered last, or ``None`` if the
        registration does not say
    :param row_version: version of the row that holds the registration
    """

    host: str
    age_s: float | None = None
    row_version: int = 0


class MemberRegistry(abc.ABC):
    """Register the hosts of routers, so that others can find them.

    :ivar epoch: latest known epoch of what is registered; what was written in
        an earlier one may be lost
    """

    @abc.abstractmethod
    async def announce(self, host):
        """Register a host, or renew its registration.

        :returns: whether the registry confirmed it
        """

    @abc.abstractmethod
    async def members(self):
        """Return the registered routers.

        :returns: list of :class:`RegisteredRouter`, empty if the read fails
        """

    @abc.abstractmethod
    async def withdraw(self, routers):
        """Remove registrations, unless one of them was renewed since.

        :param routers: list of :class:`RegisteredRouter`
        :returns: whether they were removed
        """


@dataclasses.dataclass(slots=True, frozen=True)
class SavedVersions:
    """Hold the versions in service of a service, as they are saved.

    :param listed: list of the versions of its servers
    :param gone_ms_by_version: time at which each other version left, in
        milliseconds of the registry's clock
    :param now_ms: time of that clock when this was read
    :param row_version: version of the row, or 0 if there is none
    :param epoch: epoch of the registry in which it was given out
    """

    listed: list = dataclasses.field(default_factory=list)
    gone_ms_by_version: dict = dataclasses.field(default_factory=dict)
    now_ms: int = 0
    row_version: int = 0
    epoch: int = 0


class VersionRegistry(abc.ABC):
    """Save which software versions of each service were in service.

    :ivar epoch: as in a :class:`MemberRegistry`
    """

    @abc.abstractmethod
    async def read_versions(self):
        """Return what was saved last.

        :returns: dictionary of :class:`SavedVersions` by service, or
            :class:`~boragetrail.direct.interfaces.SourceFailure`
        """

    @abc.abstractmethod
    async def save_versions(self, service, saved):
        """Save the versions of a service, unless they were changed since.

        :param saved: :class:`SavedVersions` with the version of the row that
            it replaces
        :returns: whether it was saved
        """


class StreamRegistry(abc.ABC):
    """Save at which versions streams began.

    :ivar epoch: as in a :class:`MemberRegistry`
    """

    @abc.abstractmethod
    async def read_streams(self):
        """Return all saved streams.

        :returns: list of (key of the stream, version), or
            :class:`~boragetrail.direct.interfaces.SourceFailure`
        """

    @abc.abstractmethod
    async def save_streams(self, name, streams_by_version):
        """Replace a row of saved streams.

        :param name: name of the row
        :param streams_by_version: lists of keys of streams by version
        :returns: whether they were saved
        """


class CrashRegistry(abc.ABC):
    """Save reports of crashes.

    :ivar epoch: as in a :class:`MemberRegistry`
    """

    @abc.abstractmethod
    async def read_crashes(self):
        """Return the reports of all routers.

        :returns: list of (name of the row, bytes, seconds since they were
            saved), or
            :class:`~boragetrail.direct.interfaces.SourceFailure`
        """

    @abc.abstractmethod
    async def save_crashes(self, name, data):
        """Replace the reports of a router.

        :param name: name of the row
        :param data: bytes
        :returns: whether they were saved
        """


@dataclasses.dataclass(slots=True, frozen=True)
class SavedRollout:
    """Hold how far the rollout of a service is, as it is saved.

    :param stage: :class:`~boragetrail.policy.rollout.Stage`: ``CANARY`` if it
        is in progress, ``COMPLETED`` or ``REVERTED``
    :param to: version to which the service moves
    :param row_version: version of the row, or 0 if there is none
    :param epoch: epoch of the registry in which it was given out
    """

    stage: object = None
    to: str = ""
    row_version: int = 0
    epoch: int = 0


class RolloutRegistry(abc.ABC):
    """Save how far rollouts are.

    :ivar epoch: as in a :class:`MemberRegistry`
    """

    @abc.abstractmethod
    async def read_rollouts(self):
        """Return what was saved last.

        :returns: dictionary of :class:`SavedRollout` by service, or
            :class:`~boragetrail.direct.interfaces.SourceFailure`
        """

    @abc.abstractmethod
    async def save_rollout(self, order, stage, saved):
        """Save how far a rollout is.

        Nothing is saved if another router saved the rollout since, or if the
        order was withdrawn or followed by another.

        :param order: :class:`~boragetrail.direct.model.RolloutOrder`
        :param stage: as in a :class:`SavedRollout`
        :param saved: :class:`SavedRollout` that it replaces
        :returns: whether it was saved
        """
