"""Gate that requests pass before a server is selected for them."""

import asyncio

from boragetrail.direct.admission.serviceadmission import ServiceAdmission
from boragetrail.direct.admission.ticket import AdmissionTicket
from boragetrail.direct.admission.waiting import WaitingRequest
from boragetrail.direct.phases import AttemptState
from boragetrail.errors import Refusal
from boragetrail.events import Event, log_event
from boragetrail.policy.prioritygate import (
    FLOOR_PART,
    longest_wait_s,
    start_delay_s,
)
from boragetrail.reasons import Executed, Reason

__all__ = ["AdmissionGate"]


class AdmissionGate:
    """Admit requests by priority, let them wait for a place, or refuse them.

    All decisions are made between two awaits. :meth:`offer`, :meth:`leave`,
    :meth:`poll` and :meth:`attempt_ended` need no event loop.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param metrics: :class:`AdmissionMetrics`
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar services_by_name: :class:`ServiceAdmission` by name of the service
    """

    CHECK_INTERVAL_S = 0.25
    # Interval at which waiting requests look for places that other routers'
    # requests have left.
    POLL_INTERVAL_S = 0.025
    # Usual age of the loads of other routers. Each of them sees a free place
    # for as long, so each takes its part of the free places once in this time.
    LOAD_AGE_S = 0.2
    # A wait that is shorter than this is not worth its cost.
    MIN_WAIT_S = 0.01
    # A class that gets this little above its floor is refused at once.
    MIN_CHANCE = 0.05

    def __init__(self, fleet, metrics, clock, random):
        self.fleet = fleet
        self.metrics = metrics
        self.clock = clock
        self.random = random
        self.services_by_name = {}

    async def enter(self, request, progress):
        """Admit a request, possibly after a wait.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :returns: :class:`~boragetrail.errors.Refusal`, or ``None`` if a
            server may be selected now
        """
        future = asyncio.get_running_loop().create_future()

        def wake(has_place):
            if not future.done():
                future.set_result(has_place)

        result = self.offer(request, progress, wake)
        if not isinstance(result, WaitingRequest):
            return result
        request.is_waiting = True
        try:
            while not future.done():
                self.poll(request.service)
                left_s = result.until_s - self.clock()
                timeout_s = min(self.POLL_INTERVAL_S, max(0.0, left_s))
                await asyncio.wait([future], timeout=timeout_s)
        finally:
            request.is_waiting = False
            self.leave(request, result)
        if future.result():
            return None
        return self.refuse(request, progress)

    def offer(self, request, progress, wake):
        """Decide about a request.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param wake: function that is called with whether the request has a
            place, once it need not wait any longer
        :returns: ``None`` if it is admitted,
            :class:`~boragetrail.errors.Refusal`, or :class:`WaitingRequest`,
            which the caller passes to :meth:`leave`
        """
        if progress.stream_begun:
            return None
        service = self._service(request.service.name)
        if service.update(request.service) is None:
            return None
        ticket = progress.admission
        if ticket is None:
            is_usual = service.admits_all() and not service.overloaded
            key = service.demand.record(request, is_usual)
            ticket = AdmissionTicket(key, self.random.random())
            progress.admission = ticket
        if self._can_end_in_time(service, request):
            if service.admits(ticket):
                ticket.load = service.load
                service.demand.record_admitted(ticket.key)
                return None
            waiting = self._try_wait(service, request, ticket, wake)
            if waiting is not None:
                return waiting
        return self.refuse(request, progress)

    def leave(self, request, waiting):
        """Take a request out of the queue that waits no longer.

        A place that it was promised is the selector's from now on.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param waiting: :class:`WaitingRequest`
        """
        service = self._service(request.service.name)
        service.queue.discard(waiting)
        if waiting.has_place:
            service.reserved -= 1
        self.metrics.record_queue_length(service.name, len(service.queue))

    def refuse(self, request, progress):
        """Return the refusal of a request, and count it.

        :returns: :class:`~boragetrail.errors.Refusal`
        """
        service = self._service(request.service.name)
        service.refused_s = self.clock()
        if not service.overloaded:
            service.overloaded = True
            self._log(Event.SERVICE_OVERLOADED, service)
        self.metrics.record_refused(service.name, request.priority)
        return Refusal(
            Reason.OVERLOADED,
            f"service {service.name!r}, priority {request.priority}",
            Executed.NO,
            service.retry_after_s(progress.admission.key),
        )

    def attempt_ended(self, request, progress):
        """Record that a server has finished with a request.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        """
        service = self._service(request.service.name)
        ticket, attempt = progress.admission, progress.attempt
        found_slot = (
            ticket is not None
            and ticket.load is not None
            and ticket.load <= 1.0
        )
        if found_slot and attempt.state is AttemptState.COMPLETE:
            # The caller may have read the response long after its end.
            work_s = progress.pending_work.ended_s - attempt.began_s
            service.demand.record_work(request.route, work_s)
        if service.queue and service.update(request.service) is not None:
            if service.load <= service.band.start:
                self._give_place(service)

    def poll(self, service):
        """Give free places to waiting requests, and end waits in time.

        :param service: :class:`~boragetrail.direct.model.Service`
        """
        state = self._service(service.name)
        state.queue.expire(self.clock())
        step_s = min(self.LOAD_AGE_S, self.clock() - state.polled_s)
        state.polled_s = self.clock()
        if not state.queue:
            state.place_budget = 0.0
            return
        if state.update(service) is None:
            while state.queue:
                self._give_place(state)
            return
        free = max(0.0, (1.0 - state.load) * state.capacity.slots)
        routers = self.fleet.peers.size()
        if routers > 1:
            free *= step_s / (self.LOAD_AGE_S * routers)
            state.place_budget = min(2.0, state.place_budget + free)
        else:
            state.place_budget = free
        while state.queue and state.place_budget >= 1.0:
            state.place_budget -= 1.0
            self._give_place(state)

    def check(self):
        """Follow the loads, and log services that are no longer overloaded.

        A router that gets few requests would else learn late that a service
        has places again.
        """
        self._remove_unconfigured()
        for service in self.services_by_name.values():
            if service.overloaded:
                service.update(service.last_service)
            quiet_s = self.clock() - service.refused_s
            if service.overloaded and quiet_s >= service.RELIEF_S:
                service.overloaded = False
                self._log(Event.SERVICE_RELIEVED, service)

    def dump(self):
        """Return the state of the services as basic values, by name."""
        return {
            name: {
                "load": service.load,
                "share": round(service.share.value, 3),
                "waiting": len(service.queue),
                "overloaded": service.overloaded,
                "work_s": round(service.demand.work_s, 3),
            }
            for name, service in self.services_by_name.items()
        }

    def _remove_unconfigured(self):
        """Remove the state of services and routes that are configured no more.

        A service in whose queue requests wait is removed later.
        """
        configuration = self.fleet.directory.configuration
        if configuration is None:
            return
        routes = {
            route.name
            for same_host in configuration.routes_by_host.values()
            for route in same_host
        }
        for name, service in list(self.services_by_name.items()):
            service.demand.remove_other_routes(routes)
            is_used = service.queue or service.reserved
            if name not in configuration.services_by_name and not is_used:
                del self.services_by_name[name]

    def _service(self, name):
        service = self.services_by_name.get(name)
        if service is None:
            service = ServiceAdmission(
                self.fleet, name, self.clock, self.random
            )
            self.services_by_name[name] = service
        return service

    def _can_end_in_time(self, service, request):
        """Return whether some server can end a request by its deadline."""
        if service.load <= service.band.start:
            return True
        demand = service.demand
        work_s = demand.work_s_by_route.get(request.route.name, 0.0)
        delay_s = start_delay_s(service.capacity.least_load, demand.work_s)
        return delay_s + work_s <= request.deadline_s - self.clock()

    def _try_wait(self, service, request, ticket, wake):
        """Return the :class:`WaitingRequest` of a request that may wait."""
        floor = FLOOR_PART * service.share.value
        chance = service.allocated(ticket.key) - floor
        if ticket.has_waited or chance < self.MIN_CHANCE:
            return None
        now_s = self.clock()
        wait_s = longest_wait_s(
            request.route.goal_s - (now_s - request.received_s),
            request.deadline_s - now_s,
            service.demand.work_s_by_route.get(request.route.name, 0.0),
        )
        if wait_s < self.MIN_WAIT_S:
            return None
        size = len(request.body)
        waiting = WaitingRequest(ticket.key, now_s + wait_s, size, wake)
        if not service.queue.try_add(waiting):
            return None
        ticket.has_waited = True
        self.metrics.record_waiting(service.name, request.priority)
        self.metrics.record_queue_length(service.name, len(service.queue))
        return waiting

    def _give_place(self, service):
        waiting = service.queue.pop()
        if waiting is not None:
            waiting.has_place = True
            service.demand.record_admitted(waiting.key)
            service.reserved += 1
            waiting.wake(True)

    def _log(self, event, service):
        log_event(
            event,
            service=service.name,
            load=service.load and round(service.load, 2),
            share=round(service.share.value, 2),
        )
