"""Turn the rows of the platform into what a router acts on."""

import dataclasses

from boragetrail.direct.interfaces import Table
from boragetrail.direct.mirror import Mirror
from boragetrail.events import Event, log_event

__all__ = ["Directory", "ListedServer"]


@dataclasses.dataclass(slots=True)
class ListedServer:
    """Hold what the platform's list says of one server.

    :param record: :class:`~boragetrail.direct.model.ServerRecord`
    :param cold_until_s: monotonic time until which it counts as cold
    :param lapsed_until_s: monotonic time until which a missing entry is
        kept, or 0 if the entry is there
    """

    record: object
    cold_until_s: float
    lapsed_until_s: float = 0.0


class Directory:
    """Own the mirrors, the configuration and the list of servers.

    :param decoder: :class:`~boragetrail.direct.interfaces.Decoder`
    :param clock: function that returns monotonic seconds
    :ivar configuration: newest configuration, or ``None``
    :ivar servers_by_id: :class:`KnownServer` by id
    :ivar evacuated_zones: zones that get no new work
    """

    # Seconds after the return of the store in which missing entries of
    # living servers come back.
    LAPSE_GRACE_S = 2.2
    # The same for what another router tells while the store is away.
    TOLD_LAPSE_GRACE_S = 1.2
    # Longest time in seconds for which a missing entry is kept.
    MOST_KEPT_S = 1.7

    def __init__(self, decoder, clock):
        self.decoder = decoder
        self.clock = clock
        self.mirrors = {table: Mirror() for table in Table}
        self.configuration = None
        self.servers_by_id = {}
        self.evacuated_zones = set()
        self.lapse_until_s = float("-inf")

    def apply(self, table, change_set):
        """Take over rows of a table.

        :returns: list of the rows that changed
        """
        changed = self.mirrors[table].apply(change_set)
        for row in changed:
            if table is Table.SERVERS:
                self._server_changed(row)
            else:
                self._operators_changed(row)
        return changed

    def store_recovered(self):
        """Note that the store answers again after an outage."""
        self.lapse_until_s = self.clock() + self.LAPSE_GRACE_S

    def store_unavailable(self):
        """Note that rows come from another router instead of the store."""
        until_s = self.clock() + self.TOLD_LAPSE_GRACE_S
        self.lapse_until_s = max(self.lapse_until_s, until_s)

    def versions(self):
        """Return the newest row's version of each table, by its name."""
        return {
            table.value: mirror.newest_row_version
            for table, mirror in self.mirrors.items()
        }

    def is_complete(self):
        """Return whether a configuration and the list were read."""
        has_list = self.mirrors[Table.SERVERS].version >= 0
        return self.configuration is not None and has_list

    def servers_of(self, service):
        """Return the known servers of a service as a list."""
        self._drop_lapsed()
        return [
            known
            for known in self.servers_by_id.values()
            if known.record.service == service
        ]

    def remove(self, server_id):
        """Drop a server whose address another one answers at."""
        self.servers_by_id.pop(server_id, None)

    def _operators_changed(self, row):
        zone = self.decoder.evacuated_zone(row.key)
        if zone is not None:
            self._zone_changed(zone, row.data is not None, row.version)
        elif self.decoder.is_configuration(row.key) and row.data is not None:
            self._configuration_changed(row)

    def _zone_changed(self, zone, is_out, version):
        if is_out:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
        event = Event.ZONE_OUT if is_out else Event.ZONE_IN
        log_event(event, zone=zone, row_version=version)

    def _configuration_changed(self, row):
        loaded = self.decoder.configuration(row)
        if loaded is None:
            return
        held = self.configuration
        if held is not None and loaded.version <= held.version:
            return
        self.configuration = loaded
        log_event(
            Event.CONFIG_APPLIED,
            version=loaded.version,
            row_version=row.version,
        )

    def _server_changed(self, row):
        if row.data is None:
            self._server_gone(row)
            return
        record = self.decoder.server(row)
        if record is None:
            self.servers_by_id.pop(row.key, None)
            return
        now = self.clock()
        known = ListedServer(record, now + record.cold_s)
        self.servers_by_id[record.id] = known
        log_event(
            Event.SERVER_RECORD_CHANGED,
            server=record.id,
            service=record.service,
            zone=record.zone,
            ready=record.ready,
            cold_s=record.cold_s,
            row_version=row.version,
        )

    def _server_gone(self, row):
        known = self.servers_by_id.get(row.key)
        if known is None:
            return
        now = self.clock()
        kept = now < self.lapse_until_s and known.record.ready
        if kept:
            most_s = now + self.MOST_KEPT_S
            known.lapsed_until_s = min(self.lapse_until_s, most_s)
        else:
            del self.servers_by_id[row.key]
        log_event(
            Event.SERVER_RECORD_REMOVED,
            server=row.key,
            kept=kept,
            row_version=row.version,
        )

    def _drop_lapsed(self):
        now = self.clock()
        lapsed = [
            key
            for key, known in self.servers_by_id.items()
            if known.lapsed_until_s and known.lapsed_until_s <= now
        ]
        for key in lapsed:
            del self.servers_by_id[key]
