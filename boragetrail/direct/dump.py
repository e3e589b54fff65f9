"""State of a router for operators."""

__all__ = ["dump_state"]


def dump_state(daemon):
    """Return the state of a router as basic values.

    :param daemon: :class:`~boragetrail.direct.daemon.DirectDaemon`
    """
    configuration = daemon.directory.configuration
    return {
        "name": daemon.settings.name,
        "incarnation": daemon.incarnation,
        "ready": daemon.is_ready(),
        "active": daemon.frontend.active,
        "configuration": configuration and configuration.version,
        "evacuated_zones": sorted(daemon.directory.evacuated_zones),
        "tables": {
            feed.table.value: {
                "version": daemon.directory.mirrors[feed.table].version,
                "epoch": daemon.directory.epoch(feed.table),
                "age_s": feed.liveness.age_s(),
                "lost": feed.lost,
            }
            for feed in daemon.feeds_by_table.values()
        },
        "servers": {
            key: {
                "service": listed.record.service,
                "zone": listed.record.zone,
                "ready": listed.record.ready,
            }
            for key, listed in daemon.directory.servers_by_id.items()
        },
        "loads": daemon.fleet.loads_by_id(),
        "routers": daemon.peers.size(),
        "max_routers": daemon.peers.max_size(),
        "peers": daemon.peers.counts(),
        "datagrams_refused": daemon.socket.datagrams_refused,
        "store_calls": daemon.store.calls,
        "ejected_servers": daemon.parts.ejected_servers(),
        "quarantined_parts": sorted(daemon.quarantine.held_until_s_by_part),
        **daemon.parts.state(),
    }
