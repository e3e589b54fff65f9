"""Tests of the order of servers by load."""

import random

import pytest

from boragetrail.policy.leastloaded import LeastLoadedOrder, ServerView
from boragetrail.policy.suspicion import Standing


def first(*views):
    """Return the id of the server that comes first.

    :param views: (id, load, standing) of each server
    """
    order = LeastLoadedOrder(random.Random(1))
    servers = [
        ServerView(key, load, True, standing) for key, load, standing in views
    ]
    return order.order(servers)[0].id


class TestStanding:
    """A suspicion does not crowd the servers that are not suspect."""

    # One server of three got everything while the others were suspect.
    @pytest.mark.parametrize(("load", "expected"), [(2, "a"), (12, "b")])
    def test_servers_on_trial_come_before_a_crowded_one(self, load, expected):
        assert expected == first(
            ("a", load, Standing.TRUSTED),
            ("b", 0, Standing.ON_TRIAL),
            ("c", 1, Standing.ON_TRIAL),
        )

    def test_avoided_servers_come_last(self):
        assert "a" == first(
            ("a", 30, Standing.TRUSTED),
            ("b", 0, Standing.AVOIDED),
            ("c", 0, Standing.AVOIDED),
        )
