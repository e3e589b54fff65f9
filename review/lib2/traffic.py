"""Streams of callers, and the busiest second of an engine."""

import collections
import itertools

from review.lib2 import harness

DEADLINE_MS = 3000
_ids = itertools.count()


async def send(case, router, answers):
    """Send one stream, and keep its answer.

    :param answers: :class:`review.lib2.harness.Answer` by attempt id
    """
    number = next(_ids)
    attempt_id = f"locale-{number}"
    case.record.add(f"{attempt_id} is sent to {router.name}")
    answer = await harness.call(
        router.callers,
        f"/locale-pass/{number}",
        attempt_id,
        DEADLINE_MS,
        {
            "X-Boragetrail-Model": "m",
            "X-Boragetrail-Token-Count": "2401,48",
            "X-Boragetrail-Prefix-Hash": prompt(number),
        },
        b"x" * 400,
    )
    answers[attempt_id] = answer
    case.record.add(
        f"{attempt_id} is answered {answer.status}"
        f" complete {answer.complete} {answer.error}"
    )


def prompt(number):
    """Return the parts of a prompt: two that others share, and its own.

    There are 8 first parts and 38 second ones, as in the site file.
    """
    brand, market = number * 5 % 8, number * 7 % 38
    return f"a{brand:x}:341,b{market:x}:1700,{number:x}:360"


def busiest_second(arrivals):
    """Return the largest number of arrivals in one second.

    :param arrivals: list of (time, id)
    """
    recent = collections.deque()
    most = 0
    for at_s, _ in arrivals:
        recent.append(at_s)
        while recent[0] <= at_s - 1.0:
            recent.popleft()
        most = max(most, len(recent))
    return most
