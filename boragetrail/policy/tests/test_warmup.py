"""Tests of the warm-up limit."""

from boragetrail.policy import AdaptiveWarmup

# Step times of a cold and a warm server with a small batch.
COLD_S = 0.05
WARM_S = 0.012
# Step time of a warm server with a large batch.
LARGE_BATCH_S = 0.016


class TestAdaptiveWarmup:
    """The limit follows the observed step times."""

    def setup_method(self):
        self.now = 0.0
        self.warmup = AdaptiveWarmup(16, lambda: self.now)

    def run_steps(self, step_time_s, count, advance_clock=True):
        turned_cold = False
        for _ in range(count):
            if advance_clock:
                self.now += step_time_s
            turned_cold = (
                self.warmup.record_step_time(step_time_s) or turned_cold
            )
        return turned_cold

    def make_warm(self):
        self.run_steps(COLD_S, 8)
        self.run_steps(WARM_S, 20)
        assert not self.warmup.is_cold()

    def test_regular_steps_of_a_cold_server_raise_the_limit_slowly(self):
        self.run_steps(COLD_S, 75)
        assert self.warmup.limit() <= 3

    def test_steps_that_become_faster_raise_the_limit(self):
        self.make_warm()
        assert self.warmup.limit() == 16

    def test_limit_of_a_server_that_turns_cold_stays_low(self):
        self.make_warm()
        assert self.run_steps(COLD_S, 12)
        self.run_steps(COLD_S, 200)
        assert self.warmup.limit() == 1

    def test_one_slow_step_of_many_streams_keeps_the_limit(self):
        self.make_warm()
        self.now += 0.08
        assert not self.run_steps(0.08, 16, advance_clock=False)
        self.run_steps(WARM_S, 1)
        assert self.warmup.limit() == 16

    def test_server_that_warms_again_gets_its_limit_back(self):
        self.make_warm()
        self.run_steps(COLD_S, 12)
        self.run_steps(WARM_S, 20)
        assert self.warmup.limit() == 16

    def test_baseline_of_a_permanently_slower_server_is_reset(self):
        self.make_warm()
        self.run_steps(COLD_S, 12)
        for _ in range(AdaptiveWarmup.SLOW_REQUESTS_UNTIL_RESET):
            self.run_steps(COLD_S, 4)
            self.warmup.record_request_end()
        self.run_steps(COLD_S, 600)
        assert self.warmup.limit() == 16

    def test_bursts_of_events_do_not_lower_the_baseline(self):
        """Events arrive in a burst after each pause of the agent."""
        self.make_warm()
        for _ in range(40):
            self.now += 0.024
            self.warmup.record_step_time(0.024)
            for _ in range(6):
                self.now += 0.0005
                self.warmup.record_step_time(0.0005)
            assert not self.run_steps(LARGE_BATCH_S, 4)
        assert not self.run_steps(LARGE_BATCH_S, 40)
        assert self.warmup.limit() == 16

    def test_bursts_of_events_do_not_raise_the_limit_of_a_cold_server(self):
        self.make_warm()
        self.run_steps(COLD_S, 12)
        for _ in range(20):
            self.run_steps(COLD_S, 3)
            for _ in range(4):
                self.warmup.record_step_time(0.0005)
        assert self.warmup.limit() == 1

    def test_single_stream_of_a_cold_server_keeps_the_cold_limit(self):
        """With one stream, a cold server's step takes 44 ms.

        That is less than SLOW_FACTOR times the step time of a warm server
        with a large batch, and must not count as the step of a warm server.
        """
        self.make_warm()
        self.run_steps(LARGE_BATCH_S, 200)
        self.warmup.record_failure()
        self.run_steps(0.044, 60)
        assert self.warmup.limit() == 1
        self.run_steps(LARGE_BATCH_S, 20)
        assert self.warmup.limit() == 16

    def test_baseline_of_a_slightly_slower_server_is_reset(self):
        self.make_warm()
        self.warmup.record_failure()
        for _ in range(AdaptiveWarmup.SLOW_REQUESTS_UNTIL_RESET):
            self.run_steps(2.5 * WARM_S, 4)
            self.warmup.record_request_end()
        self.run_steps(2.5 * WARM_S, 600)
        assert self.warmup.limit() == 16
