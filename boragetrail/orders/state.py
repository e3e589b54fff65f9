"""State machine of an order, used by routers and agents.

The models in ``specification/`` use the same state names.
"""

import enum

__all__ = ["OrderState", "TRANSITIONS", "advance"]


class OrderState(str, enum.Enum):
    """State of an order, as stored and sent on the wire.

    An order is PROPOSED by a caller's request and CLAIMED for one server by a
    router. It is DISPATCHED when the agent has it, and RUNNING when the agent
    sends it to the backend server. FINISHED means executed, REFUSED not
    executed, and UNKNOWN that the outcome cannot be determined.
    """

    PROPOSED = "proposed"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_State = OrderState

TRANSITIONS = {
    _State.PROPOSED: {_State.CLAIMED, _State.REFUSED},
    # A later request for the same order can take over a claim that was never
    # dispatched.
    _State.CLAIMED: {
        _State.CLAIMED,
        _State.DISPATCHED,
        _State.REFUSED,
        _State.UNKNOWN,
    },
    _State.DISPATCHED: {
        _State.RUNNING,
        _State.FINISHED,
        _State.REFUSED,
        _State.UNKNOWN,
    },
    # An order is REFUSED if the agent could not connect to the backend server,
    # because then the order was not executed.
    _State.RUNNING: {_State.FINISHED, _State.UNKNOWN, _State.REFUSED},
    # A refused order was not executed, so another request may claim it.
    _State.REFUSED: {_State.CLAIMED},
    _State.FINISHED: set(),
    _State.UNKNOWN: set(),
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
