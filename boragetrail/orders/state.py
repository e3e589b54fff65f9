"""State machine of an order, used by routers and agents.

The models in ``specification/`` use the same state names.
"""

import enum

__all__ = ["OrderState", "TRANSITIONS", "advance"]


class OrderState(str, enum.Enum):
    """State of an order, as stored and sent on the wire."""

    PROPOSED = "proposed"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_S = OrderState

TRANSITIONS = {
    _S.PROPOSED: {_S.CLAIMED, _S.REFUSED},
    # Another request for the order can take over a claim that was never
    # dispatched.
    _S.CLAIMED: {_S.CLAIMED, _S.DISPATCHED, _S.REFUSED, _S.UNKNOWN},
    _S.DISPATCHED: {_S.RUNNING, _S.FINISHED, _S.REFUSED, _S.UNKNOWN},
    # If the connection was never made, the order was not executed.
    _S.RUNNING: {_S.FINISHED, _S.UNKNOWN, _S.REFUSED},
    # A refused order was not executed, so another request may claim it.
    _S.REFUSED: {_S.CLAIMED},
    _S.FINISHED: set(),
    _S.UNKNOWN: set(),
}


def advance(state, target):
    """Return the target state if the transition is allowed.

    :raises ValueError: if the transition does not exist

    >>> advance(OrderState.CLAIMED, OrderState.DISPATCHED).value
    'dispatched'
    """
    if target not in TRANSITIONS[state]:
        raise ValueError(f"no transition from {state.value} to {target.value}")
    return target
