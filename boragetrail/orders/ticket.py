"""Tickets that bind an order to one incarnation of an agent.

An order with a ticket is executed at most once without use of the table
service: only the incarnation in the ticket executes the order, and its ledger
detects duplicates. A ticket also holds the agent's uptime at the time of
issue. From it the agent knows when the ledger may have removed the order's
entry, and refuses the ticket from then on.
"""

import base64
import binascii
import secrets

import cbor2

from boragetrail.errors import Refusal
from boragetrail.reasons import Reason

__all__ = ["Ticket", "issue_ticket", "parse_ticket"]

PREFIX = "bt1."


class Ticket:
    """Fields of a ticket.

    :param server: name of the backend server
    :param incarnation: incarnation of its agent
    :param issue_uptime_ms: uptime of the agent when the ticket was issued
    :param nonce: random text that makes the ticket unique
    """

    __slots__ = ("server", "incarnation", "issue_uptime_ms", "nonce")

    def __init__(self, server, incarnation, issue_uptime_ms, nonce):
        self.server = server
        self.incarnation = incarnation
        self.issue_uptime_ms = issue_uptime_ms
        self.nonce = nonce

    def encode(self):
        """Return the ticket as text that is valid in a header field."""
        fields = [
            self.server,
            self.incarnation,
            self.issue_uptime_ms,
            self.nonce,
        ]
        data = base64.urlsafe_b64encode(cbor2.dumps(fields))
        return PREFIX + data.decode().rstrip("=")


def issue_ticket(server, incarnation, issue_uptime_ms):
    """Return a new ticket.

    :param server: name of the backend server
    :param incarnation: incarnation of its agent
    :param issue_uptime_ms: present uptime of that agent
    """
    return Ticket(server, incarnation, issue_uptime_ms, secrets.token_hex(12))


def parse_ticket(text):
    """Parse a ticket.

    :returns: :class:`Ticket`, ``None`` if the text is an ordinary
        idempotency key, or :class:`Refusal`

    >>> ticket = issue_ticket("s1", "ab", 5)
    >>> parse_ticket(ticket.encode()).server
    's1'
    >>> parse_ticket("my key") is None
    True
    """
    if not text.startswith(PREFIX):
        return None
    body = text[len(PREFIX) :]
    try:
        data = base64.urlsafe_b64decode(body + "=" * (-len(body) % 4))
        server, incarnation, issue_uptime_ms, nonce = cbor2.loads(data)
        return Ticket(
            str(server), str(incarnation), int(issue_uptime_ms), nonce
        )
    except (ValueError, TypeError, binascii.Error, cbor2.CBORDecodeError):
        return Refusal(Reason.BAD_TICKET, f"ticket {text!r} is malformed")
