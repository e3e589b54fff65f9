"""Record of the versions in service, which outlives all routers."""

import asyncio
import dataclasses

from boragetrail.direct.interfaces import (
    SourceFailure,
)
from boragetrail.direct.readers import ReaderRole
from boragetrail.direct.registries import (
    SavedVersions,
)
from boragetrail.events import Event, log_event

__all__ = ["VersionLedger", "ages_s"]


class VersionLedger:
    """Save in the store which versions were in service, and read it at start.

    A row for each service is written when a version comes or goes, which is
    once or twice in a release, by the routers that read the store for the
    fleet. Versions that are gone stay in it for the life of a stream.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param registry: :class:`~boragetrail.direct.registries.VersionRegistry`
    :param role: function that returns the router's
        :class:`~boragetrail.direct.readers.ReaderRole`
    :ivar epoch: epoch of the registry in which the versions were read
    :ivar lost_by_service: what was saved in an earlier epoch
    :ivar loaded: set when the saved versions were read
    """

    CHECK_INTERVAL_S = 0.1
    RETRY_INTERVAL_S = 0.5

    def __init__(self, directory, registry, role):
        self.directory = directory
        self.history = directory.version_history
        self.registry = registry
        self.role = role
        self.saved_by_service = {}
        self.epoch = 0
        self.lost_by_service = {}
        self.loaded = asyncio.Event()

    def are_mixed(self):
        """Return whether a service has, or recently had, several versions."""
        listed = self._listed(self.saved_by_service)
        return any(
            len(self.history.versions(service, versions)) > 1
            for service, versions in listed.items()
        )

    async def run(self, first_start):
        """Read what was saved, then save changes until cancelled.

        :param first_start: whether the whole system starts for the first
            time; no version was in service before then
        """
        while not await self._load(first_start):
            await asyncio.sleep(self.RETRY_INTERVAL_S)
        self.loaded.set()
        while True:
            await asyncio.sleep(self.CHECK_INTERVAL_S)
            if self.role() is not ReaderRole.READER:
                continue
            if self.registry.epoch != self.epoch:
                self._enter_epoch()
            for service, listed in self._listed().items():
                if not self._is_saved(service, listed):
                    await self._save(service, listed)

    async def _load(self, first_start):
        saved = await self.registry.read_versions()
        if isinstance(saved, SourceFailure):
            return False
        configuration = self.directory.configuration
        if configuration is None:
            return False
        if first_start:
            for service in configuration.services_by_name:
                self.history.load(service, {})
        for service, each in saved.items():
            self.saved_by_service[service] = each
            self.history.load(service, ages_s(each))
        self.epoch = self.registry.epoch
        return True

    def _enter_epoch(self):
        """Forget what is saved, since the registry may have lost it."""
        self.epoch = self.registry.epoch
        self.lost_by_service.update(self.saved_by_service)
        self.saved_by_service = {}

    def _listed(self, services=()):
        """Return the versions of the servers that are there, by service.

        :param services: names of services to include without servers too
        """
        listed = {service: set() for service in services}
        for known in self.directory.servers_by_id.values():
            record = known.record
            listed.setdefault(record.service, set()).add(record.version)
        return listed

    def _is_saved(self, service, listed):
        saved = self.saved_by_service.get(service)
        return saved is not None and set(saved.listed) == listed

    async def _save(self, service, listed):
        """Save the versions of a service unless another router has."""
        result = await self.registry.read_versions()
        if isinstance(result, SourceFailure):
            await asyncio.sleep(self.RETRY_INTERVAL_S)
            return
        self.saved_by_service.update(result)
        lost = self.lost_by_service.pop(service, None)
        if lost is None and self._is_saved(service, listed):
            return
        saved = result.get(service, SavedVersions(epoch=self.registry.epoch))
        if lost is not None:
            saved = _with_lost(saved, lost)
        changed = _changed(saved, listed, self.history.STREAM_LIFE_S)
        if await self.registry.save_versions(service, changed):
            self.saved_by_service[service] = changed
            log_event(
                Event.VERSIONS_SAVED, service=service, listed=sorted(listed)
            )


def ages_s(saved):
    """Return the seconds since each saved version was in service.

    :param saved: :class:`~boragetrail.direct.registries.SavedVersions`
    :returns: dictionary of seconds by version
    """
    ages_s = {
        version: (saved.now_ms - gone_ms) / 1000.0
        for version, gone_ms in saved.gone_ms_by_version.items()
    }
    # They may have left since, while no router ran.
    ages_s.update(dict.fromkeys(saved.listed, 0.0))
    return ages_s


def _with_lost(saved, lost):
    """Return saved versions with those that the registry has lost."""
    gone_ms = dict(lost.gone_ms_by_version)
    gone_ms.update(dict.fromkeys(lost.listed, saved.now_ms or lost.now_ms))
    gone_ms.update(saved.gone_ms_by_version)
    return dataclasses.replace(saved, gone_ms_by_version=gone_ms)


def _changed(saved, listed, life_s):
    """Return the saved versions after a change of those in service."""
    gone_ms = {
        version: at_ms
        for version, at_ms in saved.gone_ms_by_version.items()
        if saved.now_ms - at_ms < 1000 * life_s and version not in listed
    }
    for version in saved.listed:
        if version not in listed:
            gone_ms[version] = saved.now_ms
    return dataclasses.replace(
        saved, listed=sorted(listed), gone_ms_by_version=gone_ms
    )
