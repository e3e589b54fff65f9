"""Interface of the parts that observe all attempts at servers."""

import abc

__all__ = ["AttemptObserver"]


class AttemptObserver(abc.ABC):
    """Observe attempts of requests at servers."""

    @abc.abstractmethod
    def attempt_began(self, request, attempt):
        """Observe that an attempt begins.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
        """

    @abc.abstractmethod
    def attempt_ended(self, request, attempt):
        """Observe that an attempt has ended, in whatever way.

        :param request: as in :meth:`attempt_began`
        :param attempt: as in :meth:`attempt_began`
        """
