"""Proofs of the protocol's properties, and of the need for its rules.

Each weakened variant of the protocol lacks or relaxes one rule. A variant must
have a counterexample, which shows that the rule is needed and that the model
can detect a violation.
"""

import pytest

from boragetrail.orders.state import OrderState
import specification as spec
from specification import orders

ORDER_PROPERTIES = ("at most once", "not-run reports are true")
SEARCH_DEPTH = 10


class TestOrders:
    """Orders with an idempotency key.

    An order is executed at most once, and a report that it was not executed is
    never wrong.
    """

    @pytest.mark.parametrize("property_name", ORDER_PROPERTIES)
    def test_proof(self, property_name):
        assert spec.prove(spec.order_model(), property_name)

    @pytest.mark.parametrize("weakening", spec.ORDER_WEAKENINGS)
    def test_weakening_has_a_counterexample(self, weakening):
        model = spec.order_model(weakening, count=2)
        traces = [
            spec.find_trace(model, property_name, SEARCH_DEPTH)
            for property_name in ORDER_PROPERTIES
        ]
        assert any(traces)

    def test_state_names_match_the_code(self):
        for state in OrderState:
            assert hasattr(orders, state.name)


class TestTickets:
    """Orders with a ticket have the same properties as those with a key.

    They hold without the table service.
    """

    @pytest.mark.parametrize("property_name", ORDER_PROPERTIES)
    def test_proof(self, property_name):
        assert spec.prove(spec.ticket_model(), property_name)

    @pytest.mark.parametrize("weakening", spec.TICKET_WEAKENINGS)
    def test_weakening_has_a_counterexample(self, weakening):
        model = spec.ticket_model(weakening)
        traces = [
            spec.find_trace(model, property_name, SEARCH_DEPTH)
            for property_name in ORDER_PROPERTIES
        ]
        assert any(traces)


class TestVersions:
    """The configuration version at a process.

    No request is admitted under a version older than an earlier request's, and
    no process holds a version that the store has not held.
    """

    @pytest.mark.parametrize(
        "property_name", ["never reverts", "never ahead of the store"]
    )
    def test_proof(self, property_name):
        assert spec.prove(spec.version_model(), property_name)

    @pytest.mark.parametrize("weakening", spec.VERSION_WEAKENINGS)
    def test_weakening_has_a_counterexample(self, weakening):
        model = spec.version_model(weakening)
        assert spec.find_trace(model, "never reverts", SEARCH_DEPTH)
