"""Tests of the warm-up limit."""

from boragetrail.policy import EvidenceRamp

COLD_S = 0.05
WARM_S = 0.012


class TestEvidenceRamp:
    """A cold server receives no more than it bears."""

    def setup_method(self):
        self.now = 0.0
        self.ramp = EvidenceRamp(16, lambda: self.now)

    def paces(self, pace_s, count, step=True):
        found = False
        for _ in range(count):
            if step:
                self.now += pace_s
            found = self.ramp.pace_seen(pace_s) or found
        return found

    def warm(self):
        self.paces(COLD_S, 8)
        self.paces(WARM_S, 20)
        assert not self.ramp.is_cold()

    def test_even_paces_of_a_cold_server_grow_the_limit_slowly(self):
        self.paces(COLD_S, 75)
        assert self.ramp.limit() <= 3

    def test_pace_that_becomes_faster_shows_warmth(self):
        self.warm()
        assert self.ramp.limit() == 16

    def test_server_that_turns_cold_falls_and_stays_low(self):
        self.warm()
        assert self.paces(COLD_S, 12)
        self.paces(COLD_S, 200)
        assert self.ramp.limit() == 1

    def test_one_slow_step_seen_by_many_streams_is_no_cold_turn(self):
        self.warm()
        self.now += 0.08
        assert not self.paces(0.08, 16, step=False)
        self.paces(WARM_S, 1)
        assert self.ramp.limit() == 16

    def test_server_that_warms_again_grows_at_once(self):
        self.warm()
        self.paces(COLD_S, 12)
        self.paces(WARM_S, 20)
        assert self.ramp.limit() == 16

    def test_server_that_is_slower_for_good_is_learned_anew(self):
        self.warm()
        self.paces(COLD_S, 12)
        for _ in range(EvidenceRamp.SLOW_REQUESTS):
            self.paces(COLD_S, 4)
            self.ramp.request_ended()
        self.paces(COLD_S, 600)
        assert self.ramp.limit() == 16
