"""Records of crashes of servers that routers exchange."""

import dataclasses

__all__ = [
    "REQUEST_PREFIX",
    "CrashReport",
    "Survival",
    "Trial",
    "is_request_key",
]

# Begin of the id that stands for a request as a whole. It is reported as the
# last of the request's parts.
REQUEST_PREFIX = "request:"


def is_request_key(part):
    """Return whether an id stands for a whole request.

    :param part: id of a part of a request
    """
    return part.startswith(REQUEST_PREFIX)


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """Describe a request whose response was ended by a server's crash.

    :param server: key of one run of the server
    :param parts: ids of the shared parts of the prompt, in order, then the
        one of the request as a whole
    :param begun: whether the response had just begun: its head had arrived,
        and an event not at all or a moment ago
    :param crashed_s: monotonic time of the crash
    :param progressed: whether an event, or all of a body, had arrived, not
        long enough ago to be a survival
    """

    server: int
    parts: tuple
    begun: bool
    crashed_s: float
    progressed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Survival:
    """Tell that a server survived the begin of a response to a part.

    :param part: id of the part
    :param survived_s: monotonic time of that begin
    """

    part: str
    survived_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Trial:
    """Tell that a request was admitted to try whether a part still crashes.

    :param part: id of the part
    :param started_s: monotonic time of the admission
    """

    part: str
    started_s: float
