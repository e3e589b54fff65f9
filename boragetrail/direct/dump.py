"""State of a router for operators."""

__all__ = ["dump_state"]


def dump_state(daemon):
    """Return the state of a router as basic values.

    :param daemon: :class:`~boragetrail.direct.daemon.DirectDaemon`
    """
    return {**_basic_state(daemon), **_feature_states(daemon)}


def _basic_state(daemon):
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
        "datagrams_refused": daemon.socket.datagrams_refused,
        "store_calls": daemon.store.calls,
        "ejected_servers": daemon.ejected_servers(),
        "quarantined_parts": sorted(daemon.quarantine.held_until_s_by_part),
    }


def _feature_states(daemon):
    """Return the states of the features that are on."""
    states = {}
    if daemon.capacity is not None:
        states["capacity"] = daemon.capacity.state()
    if daemon.rollouts is not None:
        states["rollouts"] = daemon.rollouts.dump()
    if daemon.dispatcher.gate is not None:
        states["admission"] = daemon.dispatcher.gate.dump()
    zones = daemon.selector.zones
    if zones is not None:
        states["zone_shares"] = {
            service: {
                "share": share.flow.share,
                "weights": share.flow.weights_by_zone,
            }
            for service, share in zones.shares_by_service.items()
        }
    return states
