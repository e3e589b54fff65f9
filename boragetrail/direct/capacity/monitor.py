"""What attempts at servers tell of the servers' memory and speed."""

import collections

from boragetrail.direct.capacity.heldtokens import HeldTokens, TokenHold
from boragetrail.direct.capacity.loadheader import parse_figures
from boragetrail.direct.capacity.requestsize import request_size
from boragetrail.direct.capacity.speedexchange import SpeedExchange
from boragetrail.direct.capacity.speeds import SpeedTable
from boragetrail.direct.counts import server_key
from boragetrail.events import Event, log_event
from boragetrail.policy.enginememory import TokenMean, TokenRate

__all__ = ["CapacityMonitor"]

# Mean time for which a request holds its tokens before one has ended.
INITIAL_HOLD_S = 1.0
HOLD_MEAN_SAMPLES = 32
# Text of a header that is logged.
MAX_LOGGED_CHARS = 40


class ServiceTokens:
    """Hold the moving means of a service's requests at this router.

    :ivar mean: :class:`~boragetrail.policy.enginememory.TokenMean`
    :ivar rate: :class:`~boragetrail.policy.enginememory.TokenRate`
    :ivar hold_s: mean time in seconds for which a request holds its tokens
    """

    __slots__ = ("mean", "rate", "hold_s")

    def __init__(self):
        self.mean = TokenMean()
        self.rate = TokenRate()
        self.hold_s = INITIAL_HOLD_S


class CapacityMonitor:
    """Record the figures, times and tokens of attempts at servers.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param clock: function that returns monotonic seconds
    :ivar held: :class:`~boragetrail.direct.capacity.HeldTokens`
    :ivar speeds: :class:`~boragetrail.direct.capacity.SpeedTable`
    :ivar exchange: :class:`~boragetrail.direct.capacity.SpeedExchange`
    :ivar malformed_ids: ids of the listed servers whose malformed figures
        were logged
    """

    def __init__(self, fleet, names, clock):
        self.fleet = fleet
        self.names = names
        self.clock = clock
        self.held = HeldTokens()
        self.speeds = SpeedTable(fleet.directory, clock)
        self.exchange = SpeedExchange(self.speeds, fleet.peers, clock)
        self.tokens_by_service = collections.defaultdict(ServiceTokens)
        self.malformed_ids = set()

    def record_header(self, record, text):
        """Record the load header of a response.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :param text: value of the header, or empty
        :returns: running and waiting requests, or ``None`` if unknown
        """
        figures = parse_figures(text, record.slots)
        if figures.malformed and record.id not in self.malformed_ids:
            self.malformed_ids.add(record.id)
            log_event(
                Event.LOAD_FIGURE_INVALID,
                server=record.id,
                text=text[:MAX_LOGGED_CHARS],
            )
        if figures.percent is not None:
            self.exchange.record_figure(record.id, figures.percent)
        return figures.requests

    def size(self, request, prompt):
        """Return the tokens of a request.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param prompt: parts of its prompt as (id, tokens)
        :returns: :class:`~boragetrail.policy.enginememory.RequestSize`
        """
        return request_size(request.http_request.headers, self.names, prompt)

    def record_demand(self, service, size):
        """Count the tokens for which a request asks, sent or refused.

        :param service: :class:`~boragetrail.direct.model.Service`
        :param size: :class:`~boragetrail.policy.enginememory.RequestSize`
        """
        rate = self.tokens_by_service[service.name].rate
        rate.add(size.expected(), self.clock())

    def hold(self, request, progress, state):
        """Count the tokens of an attempt until :meth:`release`.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param state: :class:`~boragetrail.direct.serverstate.ServerState`
        :returns: :class:`~boragetrail.direct.capacity.heldtokens.TokenHold`,
            or ``None`` at a service of unknown capacity
        """
        if not request.service.token_capacity:
            return None
        size = self.size(request, progress.prompt)
        now_s = self.clock()
        tokens = self.tokens_by_service[request.service.name]
        tokens.mean.add(size.expected())
        hold = TokenHold(state.record.id, progress.prompt, size, now_s)
        self.held.add(hold)
        return hold

    def release(self, request, hold):
        """End what :meth:`hold` has begun.

        :param hold: its result
        """
        if hold is None:
            return
        self.held.remove(hold)
        tokens = self.tokens_by_service[request.service.name]
        held_s = self.clock() - hold.began_s
        tokens.hold_s += (held_s - tokens.hold_s) / HOLD_MEAN_SAMPLES

    def record_attempt(self, request, attempt):
        """Record the time of an attempt that has ended.

        It is the time to the first event of a stream, else that to the whole
        response. Attempts that failed before have none.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
        """
        if attempt.progressed_s is None or not attempt.response.ok:
            return
        took_s = attempt.progressed_s - attempt.sent_s
        key = server_key(attempt.server.record.id)
        self.speeds.record_time(key, request.route.name, took_s)

    def mean_tokens(self, service):
        """Return the mean tokens of a service's requests at this router."""
        return self.tokens_by_service[service.name].mean.value

    def token_rate(self, service):
        """Return the tokens per second for which requests ask."""
        return self.tokens_by_service[service.name].rate.per_s(self.clock())

    def hold_s(self, service):
        """Return the mean seconds for which a request holds its tokens."""
        return self.tokens_by_service[service.name].hold_s

    def remove_unlisted(self):
        """Remove what is known of servers and services that are gone."""
        configuration = self.fleet.directory.configuration
        if configuration is not None:
            services = configuration.services_by_name
            for name in self.tokens_by_service.keys() - services.keys():
                del self.tokens_by_service[name]
        listed = self.fleet.directory.servers_by_id
        self.malformed_ids &= listed.keys()
        self.speeds.remove_unlisted()
        self.exchange.remove_unlisted(listed)

    def state(self):
        """Return held tokens and slowness by server id, for operators."""
        return {
            "held_tokens": dict(self.held.tokens_by_id),
            "slowness": self.speeds.slowness_by_id(),
        }
