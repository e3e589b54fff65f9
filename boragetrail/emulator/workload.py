"""Callers that come by chance and return to what they asked before."""

import dataclasses
import itertools

__all__ = ["CallerClass", "CallerRequest", "Workload"]

SUBJECT_PARTS = 3


@dataclasses.dataclass(slots=True)
class CallerClass:
    """Describe one kind of request; times in seconds.

    :param rate: requests a second
    :param shared_tokens: tokens of the parts that requests share
    :param own_tokens: tokens of a request's own part
    :param output_tokens: tokens of an answer
    :param goal_s: time to the first token within which it is on time
    :param deadline_s: longest time that a caller waits for its answer
    :param subjects: number of shared prompts
    :param priority: rank; 0 goes first
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
    :param first_sent_s: time of its first try
    :param tries: number of tries so far
    """

    kind: CallerClass
    prompt: list
    output_tokens: int
    first_sent_s: float
    tries: int = 0


class Workload:
    """Make requests with exponential pauses and unequal subjects.

    A subject's shared prompt has a common part for its kind, and parts of
    its own. Subjects are asked for in inverse proportion to their rank.

    :param time: :class:`~boragetrail.emulator.VirtualTime`
    :param random: random generator
    :param classes: list of :class:`CallerClass`
    :param send: function that gets each :class:`CallerRequest`
    :param surge: function from a time to the factor of all rates
    """

    # Part of requests that return to the caller's last prompt.
    RETURNING = 0.3

    def __init__(self, time, random, classes, send, surge=lambda now_s: 1.0):
        self.time = time
        self.random = random
        self.classes = classes
        self.send = send
        self.surge = surge
        self.numbers = itertools.count()
        self.sessions_by_subject = {}

    def start(self):
        """Plan the first request of each kind."""
        for kind in self.classes:
            self._plan(kind)

    def _plan(self, kind):
        rate = kind.rate * self.surge(self.time())
        pause_s = self.random.expovariate(rate)

        def come():
            self.send(self._request(kind))
            self._plan(kind)

        self.time.after(pause_s, come)

    def _request(self, kind):
        ranks = range(1, kind.subjects + 1)
        subject = self.random.choices(ranks, [1 / rank for rank in ranks])[0]
        shared = kind.shared_tokens // SUBJECT_PARTS
        prompt = [(f"{kind.name}", shared)]
        for level in range(1, SUBJECT_PARTS):
            prompt.append((f"{kind.name}.{subject}.{level}", shared))
        prompt.append((self._own_part(kind, subject), kind.own_tokens))
        mean = kind.output_tokens
        tokens = max(2, int(self.random.gauss(mean, mean / 3)))
        return CallerRequest(kind, prompt, tokens, self.time())

    def _own_part(self, kind, subject):
        sessions = self.sessions_by_subject.setdefault(
            (kind.name, subject), []
        )
        if sessions and self.random.random() < self.RETURNING:
            return self.random.choice(sessions)
        part = f"own-{next(self.numbers)}"
        sessions.append(part)
        del sessions[:-8]
        return part
