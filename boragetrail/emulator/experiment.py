"""Play placements side by side on one workload."""

import dataclasses
import importlib.resources
import json
import random
import statistics

import fastjsonschema

from boragetrail.emulator.baselines import PLACEMENTS_BY_NAME
from boragetrail.emulator.engine import EngineShape
from boragetrail.emulator.fleet import EmulatedFleet
from boragetrail.emulator.virtualclock import VirtualClock
from boragetrail.emulator.workload import CallerClass, Workload
from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = ["Experiment", "load_experiment", "run_experiment", "run_once"]

SCHEMA = "experiment.json"
SAMPLE_S = 0.25
RETRY_PAUSE_S = 0.3
MOST_TRIES = 2
# Answers of callers whose time ended are waited for no longer than this.
TAIL_S = 15.0


@dataclasses.dataclass(slots=True)
class Experiment:
    """What is played; times in seconds.

    :param classes: list of :class:`~boragetrail.emulator.CallerClass`
    :param shape: :class:`~boragetrail.emulator.EngineShape`
    :param zone_out: zone, from_s and to_s of a zone's absence, or ``None``
    :param surge: factor, from_s and to_s of higher rates, or ``None``
    """

    name: str
    seconds: float
    engines: int
    routers: int
    zones: list
    classes: list
    shape: EngineShape
    seeds: list
    policies: list
    zone_out: dict | None
    surge: dict | None


def load_experiment(path):
    """Read an experiment.

    :param path: path of a file of JSON with comments
    :returns: (:class:`Experiment` or ``None``, list of
        :class:`~boragetrail.settings.errors.SettingsError`)
    """
    data, error = read_settings(path)
    if error is not None:
        return None, [error]
    text = importlib.resources.files(__package__).joinpath(SCHEMA).read_text()
    try:
        fastjsonschema.compile(json.loads(text))(data)
        shape = EngineShape(**data.get("engine", {}))
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
        shape,
        data.get("seeds", [1, 2, 3]),
        data.get("policies", list(PLACEMENTS_BY_NAME)),
        data.get("zone_out"),
        data.get("surge"),
    )
    return experiment, []


class Outcomes:
    """Collect what callers and engines saw in one run."""

    def __init__(self):
        self.asked = 0
        self.served = 0
        self.on_time = 0
        self.refused = 0
        self.firsts_by_class = {}
        self.firsts = []
        self.skews = []

    def first(self, request, now_s):
        """Note a first token."""
        took_s = now_s - request.first_sent_s
        self.firsts_by_class.setdefault(request.kind.name, []).append(took_s)
        self.firsts.append((request.first_sent_s, took_s))

    def sample(self, engines):
        """Note how unequal the engines' loads are."""
        loads = [engine.active for engine in engines]
        mean = statistics.fmean(loads)
        if mean >= 1:
            self.skews.append(max(loads) / mean)


class Run:
    """One run of one placement with one seed."""

    def __init__(self, experiment, policy, seed):
        self.experiment = experiment
        self.time = VirtualClock()
        self.random = random.Random(seed)
        self.outcomes = Outcomes()
        self.fleet = EmulatedFleet(
            self.time,
            experiment.shape,
            experiment.engines,
            experiment.routers,
            experiment.zones,
            seed,
            PLACEMENTS_BY_NAME[policy],
        )
        self.workload = Workload(
            self.time, self.random, experiment.classes, self._come, self._rate
        )

    def play(self):
        """Return :class:`Outcomes`."""
        self.fleet.start()
        self.workload.start()
        self._sample()
        zone_out = self.experiment.zone_out
        if zone_out is not None:
            for at, out in (("from_s", True), ("to_s", False)):
                self.time.after(
                    zone_out[at],
                    lambda out=out: self.fleet.set_zone(zone_out["zone"], out),
                )
        self.time.run(self.experiment.seconds + TAIL_S)
        return self.outcomes

    def _rate(self, now_s):
        surge = self.experiment.surge
        if surge is None or not surge["from_s"] <= now_s < surge["to_s"]:
            return 1.0
        return surge["factor"]

    def _sample(self):
        if self.time() <= self.experiment.seconds:
            self.outcomes.sample(self.fleet.engines_by_id.values())
            self.time.after(SAMPLE_S, self._sample)

    def _come(self, request):
        if self.time() > self.experiment.seconds:
            return
        self.outcomes.asked += 1
        self._try(request)

    def _try(self, request):
        request.tries += 1
        router = self.random.choice(self.fleet.routers)
        kind = request.kind
        done = []

        def first():
            done.append("first")
            self.outcomes.first(request, self.time())
            took_s = self.time() - request.first_sent_s
            self.outcomes.on_time += took_s <= kind.goal_s

        def end():
            done.append("end")
            self.outcomes.served += 1

        cancel = self.fleet.send(router, request, kind.priority, first, end)
        if cancel is None:
            self._refused(request)
            return

        def late():
            if "end" not in done:
                cancel()

        left_s = request.first_sent_s + kind.deadline_s - self.time()
        self.time.after(max(0.0, left_s), late)

    def _refused(self, request):
        self.outcomes.refused += 1
        end_s = request.first_sent_s + request.kind.deadline_s
        if request.tries < MOST_TRIES and self.time() + RETRY_PAUSE_S < end_s:
            self.time.after(RETRY_PAUSE_S, lambda: self._try(request))


def run_once(experiment, policy, seed):
    """Play one placement once.

    :returns: figures of the run as a dictionary; times in milliseconds
    """
    run = Run(experiment, policy, seed)
    seen = run.play()
    engines = run.fleet.engines_by_id.values()
    read = sum(engine.tokens_read for engine in engines)
    asked = max(1, seen.asked)
    firsts = sorted(took_s for _, took_s in seen.firsts)
    return {
        "policy": policy,
        "seed": seed,
        "asked": seen.asked,
        "served": round(seen.served / asked, 4),
        "on_time": round(seen.on_time / asked, 4),
        "refused": seen.refused,
        "tokens_read_each": round(read / asked, 1),
        "tokens_copied_each": round(
            sum(engine.tokens_copied for engine in engines) / asked, 1
        ),
        "over_limit": round(
            run.fleet.over_limit / max(1, run.fleet.arrivals), 4
        ),
        "skew": round(statistics.fmean(seen.skews), 3) if seen.skews else 0,
        "first_p50_ms": _percentile_ms(firsts, 0.50),
        "first_p95_ms": _percentile_ms(firsts, 0.95),
        "first_p99_ms": _percentile_ms(firsts, 0.99),
        "first_p95_ms_by_class": {
            name: _percentile_ms(sorted(times), 0.95)
            for name, times in sorted(seen.firsts_by_class.items())
        },
        "firsts": [
            (round(at, 3), round(took_s, 4)) for at, took_s in seen.firsts
        ],
    }


def run_experiment(experiment):
    """Play all placements with all seeds; returns a list of figures."""
    return [
        run_once(experiment, policy, seed)
        for policy in experiment.policies
        for seed in experiment.seeds
    ]


def _percentile_ms(ordered, part):
    if not ordered:
        return None
    index = min(len(ordered) - 1, int(part * len(ordered)))
    return round(1000 * ordered[index], 1)
