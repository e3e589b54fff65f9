"""Tests of the gossip protocol."""

from boragetrail.configuration import Change
from boragetrail.gossip.simulation import GossipSimulation
from boragetrail.wire.datagrams import NewChanges


class TestGossipProtocol:
    """A change reaches every process, and no version decreases."""

    def test_change_reaches_all_within_four_seconds_of_rounds(self):
        simulation = GossipSimulation(routers=20, agents=60)
        simulation.commit_at("r3")
        rounds = 0
        while simulation.versions() != {1} and rounds < 8:
            simulation.run_round()
            rounds += 1
        assert simulation.versions() == {1}

    def test_rounds_make_up_for_lost_datagrams(self):
        simulation = GossipSimulation(routers=20, agents=60, loss_rate=0.1)
        simulation.commit_at("r3")
        for _ in range(8):
            simulation.run_round()
        assert simulation.versions() == {1}

    def test_process_that_was_down_catches_up(self):
        simulation = GossipSimulation(routers=6, agents=6)
        simulation.down_names = {"r1", "a1"}
        for _ in range(5):
            simulation.commit_at("r0")
            simulation.run_round()
        simulation.down_names = set()
        for _ in range(8):
            simulation.run_round()
        assert simulation.versions() == {5}

    def test_agent_ahead_of_a_router_causes_no_endless_exchange(self):
        simulation = GossipSimulation(routers=1, agents=1)
        router, agent = simulation.nodes["r0"], simulation.nodes["a0"]
        agent.doc.apply(Change(1, "c1", "", "zone", "z1", {}))
        replies = router.digest_received(agent.digest(False))
        replies += router.digest_received(agent.digest(False))
        assert len(replies) <= 1

    def test_older_changes_do_not_revert_the_document(self):
        simulation = GossipSimulation(routers=2, agents=1)
        simulation.commit_at("r0")
        simulation.commit_at("r0")
        node = simulation.nodes["r1"]
        old = Change(1, "c1", "", "zone", "z1", {"state": "old"})
        node.changes_received(NewChanges("r0", [old.to_list()]))
        assert node.doc.version == 2

    def test_digest_of_a_peer_that_is_ahead_does_not_count_as_a_report(self):
        simulation = GossipSimulation(routers=3, agents=0)
        behind, ahead = simulation.nodes["r0"], simulation.nodes["r1"]
        change = Change(1, "c1", "", "zone", "z1", {})
        ahead.doc.apply(change)
        behind.digest_received(ahead.digest(False))
        assert not behind.freshness.is_fresh(["z0", "z1", "z2"], 0)
