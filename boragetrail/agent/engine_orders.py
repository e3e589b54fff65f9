"""Engine orders: instructions to load models, with fencing tokens.

A router that holds the lease of a service sends engine orders to the agents
of the service.
"""

import asyncio

from boragetrail.events import Event, log_event
from boragetrail.reasons import Reason
from boragetrail.wire.messages import EngineOrderResult

__all__ = ["EngineOrderController"]


class EngineOrderController:
    """Run engine orders and refuse those of an earlier holder of the lease.

    The highest known fencing token is kept in memory. A new incarnation
    therefore reads the token from the lease's row before its first order.

    :param incarnation: incarnation of the agent
    :param backend: client of the backend server
    :param read_fencing_token: coroutine function that returns the fencing
        token in the lease's row, or ``None`` if the row cannot be read
    """

    def __init__(self, incarnation, backend, read_fencing_token):
        self.incarnation = incarnation
        self.backend = backend
        self.read_fencing_token = read_fencing_token
        self.highest_fencing_token = None
        self.lock = asyncio.Lock()
        self.results_by_id = {}

    async def run(self, order):
        """Run an order once; return the first result for a duplicate.

        :param order: :class:`~boragetrail.wire.messages.EngineOrder`
        :returns: :class:`~boragetrail.wire.messages.EngineOrderResult`
        """
        async with self.lock:
            result = self.results_by_id.get(order.order_id)
            if result is None:
                result = await self._run_new(order)
                self.results_by_id[order.order_id] = result
            return result

    async def _run_new(self, order):
        if order.incarnation != self.incarnation:
            return _failed_result(order, Reason.WRONG_INCARNATION, "")
        if self.highest_fencing_token is None:
            self.highest_fencing_token = await self.read_fencing_token()
        if self.highest_fencing_token is None:
            detail = "the fencing token of the lease cannot be read"
            return _failed_result(order, Reason.STORE_DOWN, detail)
        if order.fencing < self.highest_fencing_token:
            detail = (
                f"fencing token {order.fencing} is below "
                f"{self.highest_fencing_token}"
            )
            log_event(Event.ORDER_FENCED, order=order.order_id, detail=detail)
            return _failed_result(order, Reason.FENCED, detail)
        self.highest_fencing_token = order.fencing
        body = {**order.arguments, "fencing": order.fencing}
        answer = await self.backend.post_json(f"/orders/{order.action}", body)
        if answer is None:
            return _failed_result(
                order, Reason.BACKEND_FAILED, "no answer from the server"
            )
        if answer["status"] != 200:
            return _failed_result(order, Reason.BACKEND_FAILED, str(answer))
        return EngineOrderResult(order.order_id, "", "")


def _failed_result(order, reason, detail):
    return EngineOrderResult(order.order_id, reason.code, detail)
