"""Caps on a server's load relative to the mean load of its service."""

import abc
import math

__all__ = ["LoadCap", "MeanMultipleCap", "NoCap", "load_bound", "max_load"]

# Load that routers aim at, and load that no server should have: multiples of
# the mean load of a service, and requests.
MEAN_LOAD_MULTIPLE = 1.6
LOAD_SLACK_REQUESTS = 2.0
MAX_MEAN_LOAD_MULTIPLE = 2.0
MAX_LOAD_SLACK_REQUESTS = 3.0


def load_bound(mean):
    """Return the load above which a server ranks behind the others.

    :param mean: mean number of requests of a service's servers

    >>> load_bound(10.0)
    18.0
    """
    return MEAN_LOAD_MULTIPLE * mean + LOAD_SLACK_REQUESTS


def max_load(mean):
    """Return the load above which a server gets no request for now.

    It applies where another server takes the request in a moment.

    :param mean: mean number of requests of a service's servers

    >>> max_load(10.0)
    23.0
    """
    return MAX_MEAN_LOAD_MULTIPLE * mean + MAX_LOAD_SLACK_REQUESTS


class LoadCap(abc.ABC):
    """Interface of load caps."""

    @abc.abstractmethod
    def limit(self, total_load, total_share, share):
        """Return the largest load that a server may have.

        :param total_load: requests admitted at all servers of the service,
            without the request to be admitted
        :param total_share: sum of the capacity shares of these servers; a
            warm server has a share of 1
        :param share: capacity share of this server, 0 to 1
        :returns: largest number of requests, including the one to be
            admitted
        """


class MeanMultipleCap(LoadCap):
    """Cap a server at a multiple of the mean load.

    The mean includes the request to be admitted, and the cap is rounded
    up, so that an idle service still admits one request [1]_.

    :param multiple: multiple of the mean, at least 1

    .. [1] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing
       with Bounded Loads", SODA 2018.

    >>> MeanMultipleCap(1.25).limit(0, 5.0, 1.0)
    1
    >>> MeanMultipleCap(1.25).limit(39, 5.0, 1.0)
    10
    """

    def __init__(self, multiple):
        self.multiple = multiple

    def limit(self, total_load, total_share, share):
        """Return the cap; see :meth:`LoadCap.limit`."""
        servers = max(total_share, share, 0.01)
        mean = (total_load + 1) / servers
        return max(1, math.ceil(self.multiple * mean * share - 1e-9))


class NoCap(LoadCap):
    """Baseline that does not limit the load."""

    def limit(self, total_load, total_share, share):
        """Return infinity."""
        return math.inf
