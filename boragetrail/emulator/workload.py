"""Random requests of callers, some of which repeat earlier prompts."""

import dataclasses
import itertools

__all__ = ["CallerClass", "CallerRequest", "Workload"]

SHARED_PARTS = 3


@dataclasses.dataclass(slots=True)
class CallerClass:
    """Class of requests with the same parameters; times in seconds.

    :param rate: requests per second
    :param shared_tokens: tokens of the prompt parts that requests share
    :param own_tokens: tokens of a request's own prompt part
    :param output_tokens: mean number of tokens of a response
    :param goal_s: target for the time to the first token
    :param deadline_s: maximum time that a caller waits for a response
    :param subjects: number of different shared prompts
    :param priority: priority; 0 is served first
    """

    name: str
    rate: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    goal_s: float
    deadline_s: float
    subjects: int = 48
    priority: int = 5


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller.

    :param prompt: parts of the prompt as (id, tokens)
    :param first_sent_s: time of the first attempt
    :param attempts: number of attempts so far
    """

    caller_class: CallerClass
    prompt: list
    output_tokens: int
    first_sent_s: float
    attempts: int = 0


class Workload:
    """Generate requests by Poisson processes, one for each class.

    A subject's shared prompt consists of a part common to its class and parts
    of its own. The popularity of subjects follows Zipf's law with exponent 1.

    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param random: random generator
    :param classes: list of :class:`CallerClass`
    :param send: function that is called with each :class:`CallerRequest`
    :param surge: function from a time to the factor of all rates
    """

    # Probability that a request has the own part of an earlier request.
    RETURN_PROBABILITY = 0.3

    def __init__(self, clock, random, classes, send, surge=lambda now_s: 1.0):
        self.clock = clock
        self.random = random
        self.classes = classes
        self.send = send
        self.surge = surge
        self.part_numbers = itertools.count()
        self.sessions_by_subject = {}

    def start(self):
        """Schedule the first request of each class."""
        for caller_class in self.classes:
            self._schedule_next(caller_class)

    def _schedule_next(self, caller_class):
        rate = caller_class.rate * self.surge(self.clock())
        interval_s = self.random.expovariate(rate)

        def on_arrival():
            self.send(self._make_request(caller_class))
            self._schedule_next(caller_class)

        self.clock.call_later(interval_s, on_arrival)

    def _make_request(self, caller_class):
        ranks = range(1, caller_class.subjects + 1)
        subject = self.random.choices(ranks, [1 / rank for rank in ranks])[0]
        shared = caller_class.shared_tokens // SHARED_PARTS
        prompt = [(f"{caller_class.name}", shared)]
        for level in range(1, SHARED_PARTS):
            prompt.append((f"{caller_class.name}.{subject}.{level}", shared))
        prompt.append(
            (self._own_part(caller_class, subject), caller_class.own_tokens)
        )
        mean = caller_class.output_tokens
        tokens = max(2, int(self.random.gauss(mean, mean / 3)))
        return CallerRequest(caller_class, prompt, tokens, self.clock())

    def _own_part(self, caller_class, subject):
        sessions = self.sessions_by_subject.setdefault(
            (caller_class.name, subject), []
        )
        if sessions and self.random.random() < self.RETURN_PROBABILITY:
            return self.random.choice(sessions)
        part = f"own-{next(self.part_numbers)}"
        sessions.append(part)
        del sessions[:-8]
        return part
