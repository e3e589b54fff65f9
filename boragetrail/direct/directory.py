"""Directory of the configuration, servers and evacuated zones."""

import dataclasses

from boragetrail.direct.interfaces import Table
from boragetrail.direct.knowledge.epochs import told_numbers
from boragetrail.direct.mirror import Mirror
from boragetrail.events import Event, log_event
from boragetrail.policy.versionhistory import VersionHistory

__all__ = ["Directory", "ListedServer"]


@dataclasses.dataclass(slots=True)
class ListedServer:
    """Holds the platform's entry of one server.

    :param record: :class:`~boragetrail.direct.model.ServerRecord`
    :param cold_until_s: monotonic time until which the server is cold by
        its entry
    :param kept_until_s: monotonic time until which the server is kept
        although its entry was removed, or 0 if the entry exists
    """

    record: object
    cold_until_s: float
    kept_until_s: float = 0.0


class Directory:
    """Holds mirrors of the platform's tables and the rows decoded from them.

    Entries of running servers expire during an outage of the store and
    return soon after its end. A ready server whose entry is removed in the
    grace period after an outage is therefore kept for a while.

    If the store returns from a copy, what was known before stays in force
    until the operators or the servers write it again, but not for ever. A
    configuration never goes back.

    :param decoder: :class:`~boragetrail.direct.interfaces.RowDecoder`
    :param clock: function that returns monotonic seconds
    :ivar configuration: newest configuration, or ``None``
    :ivar servers_by_id: :class:`ListedServer` by id
    :ivar evacuated_zones: zones that get no new work
    :ivar version_history:
        :class:`~boragetrail.policy.versionhistory.VersionHistory`
    :ivar on_rollout_order: function that is called with a service and its new
        :class:`~boragetrail.direct.model.RolloutOrder`, or ``None`` if the
        order was withdrawn; ``None`` to ignore orders
    """

    # Length of the grace period after the store has recovered. Expired entries
    # of running servers return within it.
    EXPIRY_GRACE_S = 2.2
    # The same after another router has provided rows during an outage.
    PEER_EXPIRY_GRACE_S = 1.2
    # Longest time for which a server is kept without an entry.
    MAX_KEPT_S = 1.7
    # Longest time for which rows are in force that the store has lost. Servers
    # write their entries again with their next heartbeat.
    RETENTION_S_BY_TABLE = {Table.SERVERS: 6.0, Table.OPERATORS: 60.0}
    MAX_UNREADABLE_KEYS = 1000

    def __init__(self, decoder, clock):
        self.decoder = decoder
        self.clock = clock
        self.mirrors = {table: Mirror() for table in Table}
        self.configuration = None
        self.servers_by_id = {}
        self.evacuated_zones = set()
        self.expiry_grace_until_s = float("-inf")
        self.version_history = VersionHistory(clock)
        self.retained_until_s_by_table = {}
        self.unreadable_keys = set()
        self.on_rollout_order = None

    def apply(self, table, change_set):
        """Apply changes of a table.

        :param table: :class:`~boragetrail.direct.interfaces.Table`
        :param change_set: :class:`~boragetrail.direct.interfaces.ChangeSet`
        :returns: list of the rows that changed
        """
        mirror = self.mirrors[table]
        self._log_unreadable(table, change_set.unreadable)
        epoch = mirror.epoch
        was_read = mirror.version >= 0
        changed = mirror.apply(change_set)
        if was_read and mirror.epoch != epoch:
            log_event(
                Event.STORE_EPOCH_CHANGED,
                table=table.value,
                epoch=mirror.epoch,
                before=epoch,
                retained=len(mirror.retained),
            )
            self.start_expiry_grace()
            self._retain(table, self.RETENTION_S_BY_TABLE[table])
        elif change_set.retained:
            self._retain(table, change_set.retained_s)
        self._rows_changed(table, changed)
        return changed

    def epoch(self, table):
        """Return the epoch of the store to which the rows of a table belong.

        :param table: :class:`~boragetrail.direct.interfaces.Table`
        """
        return self.mirrors[table].epoch

    def latest_epoch(self):
        """Return the latest epoch of the store that is known."""
        return max(mirror.epoch for mirror in self.mirrors.values())

    def changes_since(self, table, position):
        """Return what another router has to know of a table.

        :param table: :class:`~boragetrail.direct.interfaces.Table`
        :param position:
            :class:`~boragetrail.direct.knowledge.epochs.RowPosition` of the
            other router
        :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`
        """
        self._end_retention()
        changes = self.mirrors[table].since(position)
        until_s = self.retained_until_s_by_table.get(table, 0.0)
        changes.retained_s = max(0.0, until_s - self.clock())
        return changes

    def _rows_changed(self, table, changed):
        for row in changed:
            if table is Table.SERVERS:
                self._server_changed(row)
            else:
                self._operators_row_changed(row)

    def _log_unreadable(self, table, unreadable):
        """Log each key once whose row could not be read."""
        for key, error in unreadable:
            if (table, key) in self.unreadable_keys:
                continue
            if len(self.unreadable_keys) >= self.MAX_UNREADABLE_KEYS:
                self.unreadable_keys.clear()
            self.unreadable_keys.add((table, key))
            log_event(
                Event.ROW_INVALID, table=table.value, key=key, error=error
            )

    def _retain(self, table, retained_s):
        """Retain rows of a table for some seconds from now on."""
        retained_s = min(retained_s, self.RETENTION_S_BY_TABLE[table])
        until_s = self.clock() + retained_s
        self.retained_until_s_by_table[table] = until_s

    def _end_retention(self):
        """Put the rows of the store in force whose time has come.

        The configuration is retained, since it must not go back.
        """
        now_s = self.clock()
        ended = [
            table
            for table, until_s in self.retained_until_s_by_table.items()
            if until_s <= now_s
        ]
        for table in ended:
            del self.retained_until_s_by_table[table]
            changed = self.mirrors[table].end_retention(
                self.decoder.is_configuration
            )
            self._rows_changed(table, changed)

    def start_expiry_grace(self):
        """Start the grace period after an outage of the store."""
        self.expiry_grace_until_s = self.clock() + self.EXPIRY_GRACE_S

    def in_expiry_grace(self):
        """Return whether servers may still write their entries again."""
        return self.clock() < self.expiry_grace_until_s

    def start_peer_expiry_grace(self):
        """Start the grace period for rows from a peer during an outage."""
        until_s = self.clock() + self.PEER_EXPIRY_GRACE_S
        self.expiry_grace_until_s = max(self.expiry_grace_until_s, until_s)

    def versions(self):
        """Return the numbers that tell other routers which rows are known.

        See :func:`~boragetrail.direct.knowledge.epochs.told_numbers`.
        """
        return told_numbers(
            {table.value: mirror for table, mirror in self.mirrors.items()}
        )

    def is_complete(self):
        """Return whether the configuration and the servers are known."""
        has_list = self.mirrors[Table.SERVERS].version >= 0
        return self.configuration is not None and has_list

    def servers_of(self, service):
        """Return the servers of a service.

        :param service: name of the service
        :returns: list of :class:`ListedServer`
        """
        self._remove_expired()
        return [
            known
            for known in self.servers_by_id.values()
            if known.record.service == service
        ]

    def remove(self, server_id):
        """Remove a server whose address now belongs to another server."""
        self._record_version(self.servers_by_id.pop(server_id, None))

    def _record_version(self, known):
        """Record that the version of a server was in service until now."""
        if known is not None:
            record = known.record
            self.version_history.record(record.service, record.version)

    def _operators_row_changed(self, row):
        zone = self.decoder.evacuated_zone(row.key)
        if zone is not None:
            self._zone_changed(zone, row.data is not None, row.version)
        elif self.decoder.is_configuration(row.key) and row.data is not None:
            self._configuration_changed(row)
        elif self.on_rollout_order is not None:
            self._rollout_changed(row)

    def _rollout_changed(self, row):
        """Pass on an order; one that is invalid changes nothing."""
        service = self.decoder.rollout_service(row.key)
        if service is None:
            return
        order = None
        if row.data is not None:
            epoch = self.epoch(Table.OPERATORS)
            order = self.decoder.rollout_order(row, epoch)
            if order is None:
                return
        self.on_rollout_order(service, order)

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
        current = self.configuration
        if current is not None and loaded.version <= current.version:
            return
        self.configuration = loaded
        log_event(
            Event.CONFIG_APPLIED,
            version=loaded.version,
            row_version=row.version,
        )

    def _server_changed(self, row):
        if row.data is None:
            self._server_removed(row)
            return
        record = self.decoder.server(row)
        self._record_version(self.servers_by_id.get(row.key))
        if record is None:
            self.servers_by_id.pop(row.key, None)
            return
        now_s = self.clock()
        known = ListedServer(record, now_s + record.cold_s)
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

    def _server_removed(self, row):
        known = self.servers_by_id.get(row.key)
        if known is None:
            return
        self._record_version(known)
        now_s = self.clock()
        kept = self.in_expiry_grace() and known.record.ready
        if kept:
            max_kept_until_s = now_s + self.MAX_KEPT_S
            known.kept_until_s = min(
                self.expiry_grace_until_s, max_kept_until_s
            )
        else:
            del self.servers_by_id[row.key]
        log_event(
            Event.SERVER_RECORD_REMOVED,
            server=row.key,
            kept=kept,
            row_version=row.version,
        )

    def _remove_expired(self):
        self._end_retention()
        now_s = self.clock()
        expired = [
            key
            for key, known in self.servers_by_id.items()
            if known.kept_until_s and known.kept_until_s <= now_s
        ]
        for key in expired:
            self._record_version(self.servers_by_id.pop(key))
