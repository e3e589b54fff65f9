"""Tests of the freshness of a configuration."""

from boragetrail.configuration import Freshness

ZONES = ["z1", "z2", "z3"]


class TestFreshness:
    """Freshness needs a store read or reports from a majority of zones."""

    def setup_method(self):
        self.now = 0.0
        self.freshness = Freshness("z1", lambda: self.now)

    def test_process_without_reports_is_stale(self):
        assert not self.freshness.is_fresh(ZONES, 1)

    def test_store_read_expires(self):
        self.freshness.record_store_read()
        self.now = 2.9
        assert self.freshness.is_fresh(ZONES, 1)
        self.now = 3.1
        assert not self.freshness.is_fresh(ZONES, 1)

    def test_majority_of_zones_counts(self):
        self.freshness.record_peer_report("z2", None, {})
        assert self.freshness.is_fresh(ZONES, 1)

    def test_own_zone_alone_does_not_count(self):
        self.freshness.record_peer_report("z1", None, {})
        assert not self.freshness.is_fresh(ZONES, 1)

    def test_two_cut_off_processes_do_not_keep_each_other_fresh(self):
        other = Freshness("z1", lambda: self.now)
        self.freshness.record_store_read()
        for _ in range(20):
            self.now += 0.5
            for receiver, sender in (
                (self.freshness, other),
                (other, self.freshness),
            ):
                receiver.record_peer_report(
                    "z1", sender.store_age_s(), sender.ages_s_by_zone()
                )
        assert not self.freshness.is_fresh(ZONES, 1)
        assert not other.is_fresh(ZONES, 1)

    def test_reports_from_before_the_start_do_not_count(self):
        self.freshness.record_peer_report("z1", 0.5, {"z2": 0.5, "z3": 0.5})
        assert not self.freshness.is_fresh(ZONES, 1)

    def test_newer_version_must_be_reached_first_after_a_start(self):
        self.freshness.record_store_read()
        self.freshness.record_newer_version(7)
        assert not self.freshness.is_fresh(ZONES, 6)
        assert self.freshness.is_fresh(ZONES, 7)

    def test_running_process_has_a_short_time_to_catch_up(self):
        self.freshness.record_store_read()
        assert self.freshness.is_fresh(ZONES, 6)
        self.freshness.record_newer_version(7)
        self.now = 0.9
        assert self.freshness.is_fresh(ZONES, 6)
        self.now = 1.1
        assert not self.freshness.is_fresh(ZONES, 6)
