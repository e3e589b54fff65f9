"""Random requests of callers; some prompts are repeated."""

import dataclasses
import itertools

__all__ = ["RequestClass", "CallerRequest", "Workload"]

# Number of prompt parts that requests share, besides a request's own part.
SHARED_PROMPT_PARTS = 3


@dataclasses.dataclass(slots=True)
class RequestClass:
    """Class of requests with the same parameters; times in seconds.

    The attributes are keys of experiment files.

    :param rate: number of requests per second
    :param shared_tokens: number of tokens of all shared prompt parts together
    :param own_tokens: number of tokens of a request's own prompt part
    :param output_tokens: mean number of tokens of a response
    :param goal_s: target for the time to the first token
    :param deadline_s: maximum time that a caller waits for a response
    :param subjects: number of subjects, each with its own shared prompt
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
    """Request of a caller, over all its attempts.

    :param request_class: :class:`RequestClass`
    :param prompt: list of the prompt's parts as (id, number of tokens)
    :param output_tokens: number of tokens of the response
    :param first_sent_s: time of the first attempt
    :param attempts: number of attempts so far
    """

    request_class: RequestClass
    prompt: list
    output_tokens: int
    first_sent_s: float
    attempts: int = 0


class Workload:
    """Generator of requests by Poisson processes, one for each class.

    The shared prompt of a subject consists of one part that all subjects of
    the class share, and parts that only requests of this subject share. A
    request's own part follows. The popularity of subjects follows Zipf's law
    with exponent 1.

    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param random: random generator
    :param classes: list of :class:`RequestClass`
    :param send: function that is called with each :class:`CallerRequest`
    :param rate_factor: function that returns the factor by which the rates of
        all classes are multiplied at a simulated time
    """

    # Probability that a request repeats the whole prompt of an earlier request
    # of its subject.
    RETURN_PROBABILITY = 0.3

    def __init__(
        self, clock, random, classes, send, rate_factor=lambda now_s: 1.0
    ):
        self.clock = clock
        self.random = random
        self.classes = classes
        self.send = send
        self.rate_factor = rate_factor
        self.part_numbers = itertools.count()
        self.sessions_by_subject = {}

    def start(self):
        """Schedule the first request of each class."""
        for request_class in self.classes:
            self._schedule_next(request_class)

    def _schedule_next(self, request_class):
        rate = request_class.rate * self.rate_factor(self.clock())
        interval_s = self.random.expovariate(rate)

        def on_arrival():
            self.send(self._make_request(request_class))
            self._schedule_next(request_class)

        self.clock.call_later(interval_s, on_arrival)

    def _make_request(self, request_class):
        ranks = range(1, request_class.subjects + 1)
        subject = self.random.choices(ranks, [1 / rank for rank in ranks])[0]
        shared = request_class.shared_tokens // SHARED_PROMPT_PARTS
        prompt = [(f"{request_class.name}", shared)]
        for level in range(1, SHARED_PROMPT_PARTS):
            prompt.append((f"{request_class.name}.{subject}.{level}", shared))
        prompt.append(
            (self._own_part(request_class, subject), request_class.own_tokens)
        )
        mean = request_class.output_tokens
        tokens = max(2, int(self.random.gauss(mean, mean / 3)))
        return CallerRequest(request_class, prompt, tokens, self.clock())

    def _own_part(self, request_class, subject):
        sessions = self.sessions_by_subject.setdefault(
            (request_class.name, subject), []
        )
        if sessions and self.random.random() < self.RETURN_PROBABILITY:
            return self.random.choice(sessions)
        part = f"own-{next(self.part_numbers)}"
        sessions.append(part)
        del sessions[:-8]
        return part
