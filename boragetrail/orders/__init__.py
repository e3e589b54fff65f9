"""At-most-once execution of orders: states, tickets and the ledger."""

from boragetrail.orders.ledger import Ledger, LedgerEntry
from boragetrail.orders.state import OrderState, advance
from boragetrail.orders.ticket import Ticket, issue_ticket, parse_ticket

__all__ = [
    "Ledger",
    "LedgerEntry",
    "OrderState",
    "Ticket",
    "advance",
    "issue_ticket",
    "parse_ticket",
]
