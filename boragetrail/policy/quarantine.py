"""Quarantine of prompt parts that crash servers.

A request may crash each server that begins to respond to it, a so-called
query of death [1]_. The cause is one part of its prompt, which other requests
contain as well. The quarantine finds that part from reports of crashes and of
responses, by any router, and keeps the part from the servers.

A request as a whole may be the cause as well; it counts as one more part,
which no other request contains, and is known by the same body, path and
customer when it comes again.

A report of a crash lists the parts of a request whose response the crash
ended. A part is suspect unless a server has survived the begin of a response
to it, about at that time or later. Common parts, such as system prompts, are
cleared in this way within moments. A part that stays suspect is convicted as
soon as it explains several crashes.

.. [1] B. Beyer, C. Jones, J. Petoff, N. Murphy, "Site Reliability
   Engineering", O'Reilly, 2016, chapter 22.
"""

import collections
import dataclasses
import math

from boragetrail.policy.crashevidence import CrashEvidence
from boragetrail.policy.crashrecords import (
    CrashReport,
    Survival,
    Trial,
    is_request_key,
)

__all__ = ["Admission", "PromptQuarantine"]


@dataclasses.dataclass(slots=True, frozen=True)
class Admission:
    """Say whether a request may be sent to a server.

    :param admitted: whether it may
    :param is_trial: whether it tries a quarantined part
    :param part: id of the quarantined part, or empty
    :param retry_after_s: seconds after which the caller may try again
    """

    admitted: bool
    is_trial: bool = False
    part: str = ""
    retry_after_s: float = 0.0


class PromptQuarantine:
    """Convict the prompt parts that crash servers, and try them later.

    The state is a set of records that routers exchange in any order, with
    duplicates. Routers with the same records convict the same parts.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    :param on_change: function that is called with the lists of the parts
        that were quarantined and of those that left the quarantine
    :ivar reports_by_key: :class:`CrashReport` by server and parts
    :ivar survived_s_by_part: time of the last known survival of each part
    :ivar survived_s_by_request: the same of whole requests, which must not
        push out the parts
    :ivar trial_s_by_part: time of the last known trial of each part
    :ivar held_until_s_by_part: time until which each convicted part is kept
        from all servers; then it may be tried
    :ivar suspect_parts: parts that some report counts against

    >>> import random
    >>> now_s = [100.0]
    >>> quarantine = PromptQuarantine(
    ...     lambda: now_s[0], random.Random(1), lambda held, released: None
    ... )
    >>> for server in (1, 2):
    ...     report = CrashReport(server, ("base", "odd"), True, now_s[0])
    ...     new = quarantine.add_crash(report)
    ...     now_s[0] += 0.5
    ...     survived = quarantine.survived(["base"])
    >>> list(quarantine.held_until_s_by_part)
    ['odd']
    >>> quarantine.admit(["base", "odd"], lambda part: 0).admitted
    False
    """

    # A part that servers survived within this time is known.
    KNOWN_S = 60.0
    # A crash does not count against a part that a server survived less than
    # this before, or at any time after.
    SURVIVAL_MARGIN_S = 1.0
    # A part is held for this long after its last crash. The time doubles
    # with each later crash that is no closer to the previous one than
    # MIN_TRIAL_GAP_S.
    HOLD_S = 30.0
    MAX_HOLD_S = 300.0
    MIN_TRIAL_GAP_S = 10.0
    # Routers take turns with trials. A trial without a result ends.
    TRIAL_TURN_S = 0.25
    TRIAL_TIMEOUT_S = 10.0
    # Callers that were refused return spread over this time.
    RETURN_SPREAD_S = 5.0
    # The same survival is told once in this time at most.
    TELL_INTERVAL_S = 1.0
    REPORT_TTL_S = 600.0
    MAX_REPORTS = 256
    MAX_REPORTS_PER_SERVER = 32
    MAX_PARTS_PER_REPORT = 16
    MAX_SURVIVALS = 4096

    def __init__(self, clock, random, on_change):
        self.clock = clock
        self.random = random
        self.on_change = on_change
        self.reports_by_key = collections.OrderedDict()
        self.survived_s_by_part = collections.OrderedDict()
        self.survived_s_by_request = collections.OrderedDict()
        self.trial_s_by_part = {}
        self.held_until_s_by_part = {}
        self.suspect_parts = frozenset()
        self.told_at_s_by_survival = {}
        self.untold_parts = set()

    def admit(self, parts, rank):
        """Decide whether a request may be sent to a server.

        :param parts: ids of the shared parts of its prompt
        :param rank: function that returns this router's rank for a part; the
            router with rank 0 tries the part first
        :returns: :class:`Admission`
        """
        held = [part for part in parts if part in self.held_until_s_by_part]
        if not held:
            return Admission(True)
        now_s = self.clock()
        part = max(held, key=lambda each: self._trial_due_s(each, rank))
        wait_s = self._trial_due_s(part, rank) - now_s
        if wait_s > 0:
            spread_s = self.random.uniform(0, self.RETURN_SPREAD_S)
            return Admission(False, False, part, wait_s + spread_s)
        for each in held:
            self.trial_s_by_part[each] = now_s
        return Admission(True, True, part)

    def holds(self, parts):
        """Return whether one of the parts is quarantined."""
        return any(part in self.held_until_s_by_part for part in parts)

    def are_known(self, parts):
        """Return whether servers recently survived all of the parts."""
        return all(self._is_known(part) for part in parts)

    def survived(self, parts, begun_s=None):
        """Record that a server survived the begin of a response.

        :param parts: ids of the shared parts of the prompt
        :param begun_s: monotonic time of that begin, now if it is ``None``
        """
        if begun_s is None:
            begun_s = self.clock()
        for part in parts:
            self.add_survival(Survival(part, begun_s))

    def add_survival(self, survival):
        """Add a survival.

        :returns: whether it changes what is known of a suspect part
        """
        part = survival.part
        if survival.survived_s <= self._survived_s(part):
            return False
        survived_s = self._survivals(part)
        survived_s[part] = survival.survived_s
        survived_s.move_to_end(part)
        if len(survived_s) > self.MAX_SURVIVALS:
            survived_s.popitem(last=False)
        if part not in self.suspect_parts:
            return False
        self.untold_parts.add(part)
        self._update()
        return True

    def add_crash(self, report):
        """Add a report of a crash.

        :param report: :class:`CrashReport`; its parts beyond
            ``MAX_PARTS_PER_REPORT`` are ignored
        :returns: whether the report is new
        """
        self._remove_expired()
        key = (report.server, report.parts)
        known = self.reports_by_key.get(key)
        if known is not None and known.begun >= report.begun:
            if not self._suspects(known):
                # The sender has missed why the report counts for nothing.
                self.untold_parts.update(known.parts)
            return False
        if known is None and self._is_full(report):
            return False
        self.reports_by_key[key] = report
        self._remember_survivals(report)
        self._update()
        return True

    def add_trial(self, trial):
        """Add a trial; returns whether it is newer than the last one."""
        known_s = self.trial_s_by_part.get(trial.part, -math.inf)
        # The clocks of two routers agree up to the delay of a datagram.
        if trial.started_s < known_s + self.SURVIVAL_MARGIN_S:
            return False
        if trial.part not in self.held_until_s_by_part:
            return False
        self.trial_s_by_part[trial.part] = trial.started_s
        return True

    def make_report(self, server, parts, begun, progressed=False):
        """Return the report of a crash that this router observed.

        Parts that a server has just survived are left out.

        :param server: key of one run of the server
        :param parts: ids of the shared parts of the prompt
        :param begun: whether the response had just begun
        :param progressed: whether an event, or all of a body, had arrived
        :returns: :class:`CrashReport`, or ``None`` if no part is suspect
        """
        now_s = self.clock()
        suspects = [
            part
            for part in parts
            if now_s - self._survived_s(part) > self.SURVIVAL_MARGIN_S
        ]
        if not suspects:
            return None
        suspects = tuple(suspects[-self.MAX_PARTS_PER_REPORT :])
        return CrashReport(server, suspects, begun, now_s, progressed)

    def take_survivals(self):
        """Return the survivals that other routers have to know.

        :returns: list of :class:`Survival`
        """
        parts, self.untold_parts = self.untold_parts, set()
        now_s = self.clock()
        oldest_s = now_s - self.TELL_INTERVAL_S
        recent = {
            survival: told_at_s
            for survival, told_at_s in self.told_at_s_by_survival.items()
            if told_at_s > oldest_s
        }
        survivals = {Survival(part, self._survived_s(part)) for part in parts}
        untold = [each for each in survivals if each not in recent]
        recent.update((each, now_s) for each in untold)
        self.told_at_s_by_survival = recent
        return untold

    def suspected(self, report):
        """Return a report without the parts that it does not count against.

        :returns: :class:`CrashReport`, or ``None`` if no part is suspect or
            the report has expired
        """
        parts = tuple(self._suspects(report))
        is_old = report.crashed_s < self.clock() - self.REPORT_TTL_S
        if not parts or is_old:
            return None
        return dataclasses.replace(report, parts=parts)

    def active_reports(self):
        """Return the reports that count against a part, as a list."""
        return [
            report
            for report in self.reports_by_key.values()
            if self._suspects(report)
        ]

    def active_trials(self):
        """Return the last :class:`Trial` of each convicted part."""
        return [
            Trial(part, started_s)
            for part, started_s in self.trial_s_by_part.items()
        ]

    def remove_expired(self):
        """Remove old reports; call this at intervals."""
        if self._remove_expired():
            self._update()

    def _survivals(self, part):
        if is_request_key(part):
            return self.survived_s_by_request
        return self.survived_s_by_part

    def _survived_s(self, part):
        return self._survivals(part).get(part, -math.inf)

    def _is_known(self, part):
        return self._survived_s(part) >= self.clock() - self.KNOWN_S

    def _trial_due_s(self, part, rank):
        """Return from when on this router may try a convicted part."""
        due_s = self.held_until_s_by_part[part]
        due_s += rank(part) * self.TRIAL_TURN_S
        trial_s = self.trial_s_by_part.get(part, -math.inf)
        return max(due_s, trial_s + self.TRIAL_TIMEOUT_S)

    def _is_full(self, report):
        """Return whether there is no room for a report.

        The oldest report without a convicted part gives way.
        """
        of_server = sum(
            1 for server, _ in self.reports_by_key if server == report.server
        )
        if of_server >= self.MAX_REPORTS_PER_SERVER and not report.begun:
            return True
        if len(self.reports_by_key) < self.MAX_REPORTS:
            return False
        for key, known in self.reports_by_key.items():
            if not self.holds(known.parts):
                del self.reports_by_key[key]
                return False
        return True

    def _remember_survivals(self, report):
        """Queue known survivals that matter for a report."""
        oldest_s = report.crashed_s - self.KNOWN_S
        for part in report.parts:
            if self._survived_s(part) >= oldest_s:
                self.untold_parts.add(part)

    def _remove_expired(self):
        oldest_s = self.clock() - self.REPORT_TTL_S
        expired = [
            key
            for key, report in self.reports_by_key.items()
            if report.crashed_s < oldest_s
        ]
        for key in expired:
            del self.reports_by_key[key]
        return bool(expired)

    def _suspects(self, report):
        """Return the parts of a report that it counts against."""
        latest_s = report.crashed_s - self.SURVIVAL_MARGIN_S
        return [
            part for part in report.parts if self._survived_s(part) < latest_s
        ]

    def _update(self):
        """Convict the parts that explain the crashes best."""
        evidence = CrashEvidence()
        for report in self.reports_by_key.values():
            evidence.add(report, self._suspects(report))
        self.suspect_parts = frozenset(evidence.crashes_by_part)
        holds = {
            part: self._held_until_s(evidence.times(part))
            for part in evidence.convict(self._is_known)
        }
        known_holds, self.held_until_s_by_part = (
            self.held_until_s_by_part,
            holds,
        )
        held = sorted(holds.keys() - known_holds.keys())
        released = sorted(known_holds.keys() - holds.keys())
        if held or released:
            self.on_change(held, released)
        self.trial_s_by_part = {
            part: started_s
            for part, started_s in self.trial_s_by_part.items()
            if part in holds
        }

    def _held_until_s(self, times_s):
        """Return until when a part is held after crashes, given in order."""
        repeats = sum(
            1
            for earlier_s, later_s in zip(times_s, times_s[1:])
            if later_s - earlier_s >= self.MIN_TRIAL_GAP_S
        )
        hold_s = min(self.MAX_HOLD_S, self.HOLD_S * 2**repeats)
        return times_s[-1] + hold_s
