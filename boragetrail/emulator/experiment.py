"""Experiments that compare placement policies on the same workload."""

import dataclasses
import importlib.resources
import json
import random
import statistics

import fastjsonschema

from boragetrail.emulator.baselines import PLACEMENTS_BY_NAME
from boragetrail.emulator.engine import EngineProfile
from boragetrail.emulator.fleet import EmulatedFleet
from boragetrail.emulator.virtualclock import VirtualClock
from boragetrail.emulator.workload import RequestClass, Workload
from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = ["Experiment", "load_experiment", "run_experiment", "run_once"]

SCHEMA_FILE = "experiment.json"
SAMPLE_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.3
MAX_ATTEMPTS = 2
# Requests sent before the end of the experiment have this time to finish.
MAX_DRAIN_S = 15.0


@dataclasses.dataclass(slots=True)
class Experiment:
    """Parameters of an experiment; times in seconds.

    :param seconds: simulated time in which callers send requests
    :param engines: number of engines
    :param routers: number of routers
    :param zones: names of the availability zones
    :param classes: list of :class:`~boragetrail.emulator.RequestClass`
    :param profile: :class:`~boragetrail.emulator.EngineProfile`
    :param seeds: list of seeds; each policy is run once with each seed
    :param policies: list of keys of ``baselines.PLACEMENTS_BY_NAME``
    :param zone_out: zone outage as a dictionary with the keys ``zone``,
        ``from_s`` and ``to_s``, or ``None``
    :param surge: period of higher request rates as a dictionary with the keys
        ``factor``, ``from_s`` and ``to_s``, or ``None``
    """

    name: str
    seconds: float
    engines: int
    routers: int
    zones: list
    classes: list
    profile: EngineProfile
    seeds: list
    policies: list
    zone_out: dict | None
    surge: dict | None


def load_experiment(path):
    """Read an experiment file.

    :param path: path of a JSON file with comments
    :returns: (:class:`Experiment` or ``None``, list of
        :class:`~boragetrail.settings.errors.SettingsError`)
    """
    data, error = read_settings(path)
    if error is not None:
        return None, [error]
    text = (
        importlib.resources.files(__package__)
        .joinpath(SCHEMA_FILE)
        .read_text()
    )
    try:
        fastjsonschema.compile(json.loads(text))(data)
        profile = EngineProfile(**data.get("engine", {}))
    except fastjsonschema.JsonSchemaValueException as exc:
        return None, [SettingsError(exc.name, exc.message)]
    except TypeError as exc:
        return None, [SettingsError("data.engine", str(exc))]
    experiment = Experiment(
        data["name"],
        data["seconds"],
        data["engines"],
        data["routers"],
        data["zones"],
        [RequestClass(**each) for each in data["classes"]],
        profile,
        data.get("seeds", [1, 2, 3]),
        data.get("policies", list(PLACEMENTS_BY_NAME)),
        data.get("zone_out"),
        data.get("surge"),
    )
    return experiment, []


class RunOutcomes:
    """Measurements of callers and engines in one run.

    :ivar asked: number of requests; a retry does not count
    :ivar served: number of requests whose response was complete before its
        deadline
    :ivar on_time: number of requests whose first token met the goal of their
        class
    :ivar refused: number of attempts for which a router found no engine
    :ivar first_token_times_by_class: list of times to the first token, in
        seconds, by the name of the class
    :ivar first_token_times: list of (time of the first attempt, time to the
        first token), in seconds
    :ivar skews: samples of the engines' maximum load divided by their mean
    """

    def __init__(self):
        self.asked = 0
        self.served = 0
        self.on_time = 0
        self.refused = 0
        self.first_token_times_by_class = {}
        self.first_token_times = []
        self.skews = []

    def record_first_token(self, request, now_s):
        """Record the time to the first token of a request."""
        took_s = now_s - request.first_sent_s
        self.first_token_times_by_class.setdefault(
            request.request_class.name, []
        ).append(took_s)
        self.first_token_times.append((request.first_sent_s, took_s))

    def record_skew(self, engines):
        """Record the engines' maximum load divided by their mean load.

        Samples with a mean below 1 are skipped.
        """
        loads = [engine.active for engine in engines]
        mean = statistics.fmean(loads)
        if mean >= 1:
            self.skews.append(max(loads) / mean)


class ExperimentRun:
    """Run of an experiment with one placement policy and one seed."""

    def __init__(self, experiment, policy, seed):
        self.experiment = experiment
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.outcomes = RunOutcomes()
        self.fleet = EmulatedFleet(
            self.clock,
            experiment.profile,
            experiment.engines,
            experiment.routers,
            experiment.zones,
            seed,
            PLACEMENTS_BY_NAME[policy],
        )
        self.workload = Workload(
            self.clock,
            self.random,
            experiment.classes,
            self._on_arrival,
            self._rate_factor,
        )

    def execute(self):
        """Run the experiment to its end; return :class:`RunOutcomes`."""
        self.fleet.start()
        self.workload.start()
        self._sample()
        zone_out = self.experiment.zone_out
        if zone_out is not None:
            for key, out in (("from_s", True), ("to_s", False)):
                self.clock.call_later(
                    zone_out[key],
                    lambda out=out: self.fleet.set_zone_out(
                        zone_out["zone"], out
                    ),
                )
        self.clock.run(self.experiment.seconds + MAX_DRAIN_S)
        return self.outcomes

    def _rate_factor(self, now_s):
        surge = self.experiment.surge
        if surge is None or not surge["from_s"] <= now_s < surge["to_s"]:
            return 1.0
        return surge["factor"]

    def _sample(self):
        if self.clock() <= self.experiment.seconds:
            self.outcomes.record_skew(self.fleet.engines_by_id.values())
            self.clock.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _on_arrival(self, request):
        if self.clock() > self.experiment.seconds:
            return
        self.outcomes.asked += 1
        self._attempt(request)

    def _attempt(self, request):
        request.attempts += 1
        router = self.random.choice(self.fleet.routers)
        request_class = request.request_class
        events = []

        def on_first_event():
            events.append("first")
            self.outcomes.record_first_token(request, self.clock())
            took_s = self.clock() - request.first_sent_s
            self.outcomes.on_time += took_s <= request_class.goal_s

        def on_complete():
            events.append("end")
            self.outcomes.served += 1

        cancel = self.fleet.send(
            router,
            request,
            request_class.priority,
            on_first_event,
            on_complete,
        )
        if cancel is None:
            self._retry_refused(request)
            return

        def cancel_if_incomplete():
            if "end" not in events:
                cancel()

        left_s = request.first_sent_s + request_class.deadline_s - self.clock()
        self.clock.call_later(max(0.0, left_s), cancel_if_incomplete)

    def _retry_refused(self, request):
        self.outcomes.refused += 1
        end_s = request.first_sent_s + request.request_class.deadline_s
        if (
            request.attempts < MAX_ATTEMPTS
            and self.clock() + RETRY_DELAY_S < end_s
        ):
            self.clock.call_later(
                RETRY_DELAY_S, lambda: self._attempt(request)
            )


def run_once(experiment, policy, seed):
    """Run an experiment with one placement policy and one seed.

    :param experiment: :class:`Experiment`
    :param policy: key of ``baselines.PLACEMENTS_BY_NAME``
    :param seed: seed of all random generators
    :returns: results of the run as a dictionary. Keys that end in ``_ms`` are
        in milliseconds; ``firsts`` holds (time of the first attempt, time to
        the first token) of each request, in seconds
    """
    run = ExperimentRun(experiment, policy, seed)
    outcomes = run.execute()
    engines = run.fleet.engines_by_id.values()
    prefill_tokens = sum(engine.prefill_tokens for engine in engines)
    asked = max(1, outcomes.asked)
    first_token_times = sorted(
        took_s for _, took_s in outcomes.first_token_times
    )
    return {
        "policy": policy,
        "seed": seed,
        "asked": outcomes.asked,
        "served": round(outcomes.served / asked, 4),
        "on_time": round(outcomes.on_time / asked, 4),
        "refused": outcomes.refused,
        "tokens_read_each": round(prefill_tokens / asked, 1),
        "tokens_copied_each": round(
            sum(engine.copied_tokens for engine in engines) / asked, 1
        ),
        "over_limit": round(
            run.fleet.over_limit / max(1, run.fleet.arrivals), 4
        ),
        "skew": round(statistics.fmean(outcomes.skews), 3)
        if outcomes.skews
        else 0,
        "first_p50_ms": _percentile_ms(first_token_times, 0.50),
        "first_p95_ms": _percentile_ms(first_token_times, 0.95),
        "first_p99_ms": _percentile_ms(first_token_times, 0.99),
        "first_p95_ms_by_class": {
            name: _percentile_ms(sorted(times), 0.95)
            for name, times in sorted(
                outcomes.first_token_times_by_class.items()
            )
        },
        "firsts": [
            (round(at, 3), round(took_s, 4))
            for at, took_s in outcomes.first_token_times
        ],
    }


def run_experiment(experiment):
    """Run each policy of an experiment with each seed.

    :returns: list of results, see :func:`run_once`
    """
    return [
        run_once(experiment, policy, seed)
        for policy in experiment.policies
        for seed in experiment.seeds
    ]


def _percentile_ms(sorted_s, fraction):
    if not sorted_s:
        return None
    index = min(len(sorted_s) - 1, int(fraction * len(sorted_s)))
    return round(1000 * sorted_s[index], 1)
