"""Tests of the warm-up limit."""

from boragetrail.policy import AdaptiveWarmup

COLD_S = 0.05
WARM_S = 0.012
# A warm server with a larger batch.
FULL_S = 0.016


class TestEvidenceRamp:
    """A cold server receives no more than it bears."""

    def setup_method(self):
        self.now = 0.0
        self.ramp = AdaptiveWarmup(16, lambda: self.now)

    def paces(self, pace_s, count, step=True):
        found = False
        for _ in range(count):
            if step:
                self.now += pace_s
            found = self.ramp.record_step_time(pace_s) or found
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
        for _ in range(AdaptiveWarmup.SLOW_REQUESTS):
            self.paces(COLD_S, 4)
            self.ramp.record_request_end()
        self.paces(COLD_S, 600)
        assert self.ramp.limit() == 16

    def test_events_that_arrive_in_bunches_teach_no_faster_pace(self):
        """After a hold-up of the agent all streams' events come at once."""
        self.warm()
        for _ in range(40):
            self.now += 0.024
            self.ramp.record_step_time(0.024)
            for _ in range(6):
                self.now += 0.0005
                self.ramp.record_step_time(0.0005)
            assert not self.paces(FULL_S, 4)
        assert not self.paces(FULL_S, 40)
        assert self.ramp.limit() == 16

    def test_bunches_do_not_raise_the_limit_of_a_cold_server(self):
        self.warm()
        self.paces(COLD_S, 12)
        for _ in range(20):
            self.paces(COLD_S, 3)
            for _ in range(4):
                self.ramp.record_step_time(0.0005)
        assert self.ramp.limit() == 1

    def test_single_stream_of_a_cold_server_is_not_a_full_warm_one(self):
        """A cold server with one stream is not 3 times a full warm one."""
        self.warm()
        self.paces(FULL_S, 200)
        self.ramp.record_failure()
        self.paces(0.044, 60)
        assert self.ramp.limit() == 1
        self.paces(FULL_S, 20)
        assert self.ramp.limit() == 16

    def test_server_that_stays_a_little_slower_is_learned_anew(self):
        self.warm()
        self.ramp.record_failure()
        for _ in range(AdaptiveWarmup.SLOW_REQUESTS):
            self.paces(2.5 * WARM_S, 4)
            self.ramp.record_request_end()
        self.paces(2.5 * WARM_S, 600)
        assert self.ramp.limit() == 16
