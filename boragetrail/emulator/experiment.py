"""Compare placement policies on the same workload."""

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
from boragetrail.emulator.workload import CallerClass, Workload
from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = ["Experiment", "load_experiment", "run_experiment", "run_once"]

SCHEMA_FILE = "experiment.json"
SAMPLE_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.3
MAX_ATTEMPTS = 2
# Time to finish requests that were sent before the end of the experiment.
MAX_DRAIN_S = 15.0


@dataclasses.dataclass(slots=True)
class Experiment:
    """Parameters of an experiment; times in seconds.

    :param classes: list of :class:`~boragetrail.emulator.CallerClass`
    :param profile: :class:`~boragetrail.emulator.EngineProfile`
    :param zone_out: zone, from_s and to_s of a zone outage, or ``None``
    :param surge: factor, from_s and to_s of higher rates, or ``None``
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
        [CallerClass(**each) for each in data["classes"]],
        profile,
        data.get("seeds", [1, 2, 3]),
        data.get("policies", list(PLACEMENTS_BY_NAME)),
        data.get("zone_out"),
        data.get("surge"),
    )
    return experiment, []


class RunOutcomes:
    """Measurements of callers and engines in one run."""

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
            request.caller_class.name, []
        ).append(took_s)
        self.first_token_times.append((request.first_sent_s, took_s))

    def record_skew(self, engines):
        """Record the ratio of the engines' maximum and mean load."""
        loads = [engine.active for engine in engines]
        mean = statistics.fmean(loads)
        if mean >= 1:
            self.skews.append(max(loads) / mean)


class ExperimentRun:
    """One run of one placement policy with one seed."""

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
            self._rate,
        )

    def execute(self):
        """Run to the end; return :class:`RunOutcomes`."""
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

    def _rate(self, now_s):
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
        caller_class = request.caller_class
        events = []

        def on_first_event():
            events.append("first")
            self.outcomes.record_first_token(request, self.clock())
            took_s = self.clock() - request.first_sent_s
            self.outcomes.on_time += took_s <= caller_class.goal_s

        def on_complete():
            events.append("end")
            self.outcomes.served += 1

        cancel = self.fleet.send(
            router, request, caller_class.priority, on_first_event, on_complete
        )
        if cancel is None:
            self._retry_refused(request)
            return

        def cancel_if_incomplete():
            if "end" not in events:
                cancel()

        left_s = request.first_sent_s + caller_class.deadline_s - self.clock()
        self.clock.call_later(max(0.0, left_s), cancel_if_incomplete)

    def _retry_refused(self, request):
        self.outcomes.refused += 1
        end_s = request.first_sent_s + request.caller_class.deadline_s
        if (
            request.attempts < MAX_ATTEMPTS
            and self.clock() + RETRY_DELAY_S < end_s
        ):
            self.clock.call_later(
                RETRY_DELAY_S, lambda: self._attempt(request)
            )


def run_once(experiment, policy, seed):
    """Run one placement policy with one seed.

    :returns: results of the run as a dictionary; times in milliseconds
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
    """Run all policies with all seeds; return a list of results."""
    return [
        run_once(experiment, policy, seed)
        for policy in experiment.policies
        for seed in experiment.seeds
    ]


def _percentile_ms(ordered, fraction):
    if not ordered:
        return None
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return round(1000 * ordered[index], 1)
