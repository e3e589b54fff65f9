"""What the gate has found out about one request."""

__all__ = ["AdmissionTicket"]


class AdmissionTicket:
    """Hold what stays the same at all decisions about one request.

    :param key: :class:`~boragetrail.policy.prioritygate.RequestClass`
    :param draw: random number from 0 to 1; the request is admitted if it is
        below the probability, so that a retry is not drawn for again
    :ivar has_waited: whether it has waited, since no request waits twice
    :ivar load: known requests per slot of the service when the request was
        last admitted, or ``None``
    """

    __slots__ = ("key", "draw", "has_waited", "load")

    def __init__(self, key, draw):
        self.key = key
        self.draw = draw
        self.has_waited = False
        self.load = None
