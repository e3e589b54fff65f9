"""Interface of the parts that restrict which servers a request may get."""

import abc

__all__ = ["ServerFilter"]


class ServerFilter(abc.ABC):
    """Restrict the servers among which a request is placed."""

    @abc.abstractmethod
    def select(self, request, progress, states, views_by_id):
        """Return the servers among which a request may be placed.

        A filter that leaves none sets ``progress.room_wait_s`` to the seconds
        until a retry may succeed, or ``progress.refusal``. The request is then
        refused at once.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param states: list of usable
            :class:`~boragetrail.direct.serverstate.ServerState`, which earlier
            filters have left
        :param views_by_id:
            :class:`~boragetrail.policy.prefix.EngineView` by server id, of all
            listed servers of the service
        :returns: list of some of the states, in the same order
        """
