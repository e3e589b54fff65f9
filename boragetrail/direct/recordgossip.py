"""Exchange of records of single observations with other routers."""

import collections

from boragetrail.direct.knowledge.leaving import Leaving
from boragetrail.direct.knowledge.streams import (
    StreamOrigin,
    StreamQuery,
    StreamUnknown,
)
from boragetrail.direct.recordmessages import decode_records, encode_records
from boragetrail.policy.crashrecords import CrashReport, Survival, Trial
from boragetrail.policy.outcomes import OutcomeReport
from boragetrail.policy.rollout import RolloutEvidence
from boragetrail.policy.serverlimits import LimitReport
from boragetrail.policy.speed import SpeedReport

__all__ = ["RecordGossip"]

STREAM_RECORDS = (StreamOrigin, StreamQuery, StreamUnknown)


class RecordGossip:
    """Queue records for peers and apply those of peers.

    A record that other routers need at once is sent to all peers, then once
    more like other records: to all peers in a small fleet, to some in a large
    one, which forward records that are new to them [1]_. Besides, each router
    regularly sends all records that still matter to a few peers, and to each
    peer that has just started.

    :param quarantine: :class:`~boragetrail.policy.quarantine.PromptQuarantine`
    :param knowledge:
        :class:`~boragetrail.direct.knowledge.ServerKnowledge`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param clock: function that returns monotonic seconds
    :ivar queue: (record, number of times that it is still to be sent)
    :ivar speeds: :class:`~boragetrail.direct.capacity.SpeedExchange`, or
        ``None`` if figures about the speed of servers are ignored
    :ivar send: function that sends a message to all peers
    :ivar send_to: function that sends a message to a list of addresses
    :ivar outcomes: :class:`~boragetrail.direct.ejection.EjectionMonitor`, or
        ``None`` without ejection
    :ivar add_rollout_evidence: function that gets a
        :class:`~boragetrail.policy.rollout.RolloutEvidence` and returns
        whether other routers need it
    :ivar rollout_snapshot: function that returns a list of such records

    .. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
       Maintenance", PODC 1987.
    """

    # Each record is sent twice to tolerate the loss of a datagram.
    SEND_COUNT = 2
    # A datagram with this many records fits into one network packet.
    MAX_PER_DATAGRAM = 12
    MAX_QUEUED = 256

    def __init__(self, quarantine, knowledge, peers, clock):
        self.quarantine = quarantine
        self.knowledge = knowledge
        self.peers = peers
        self.clock = clock
        self.queue = collections.deque(maxlen=self.MAX_QUEUED)
        self.speeds = None
        self.send = None
        self.send_to = None
        self.outcomes = None
        self.add_rollout_evidence = lambda record: False
        self.rollout_snapshot = list
        knowledge.tell = self.send_now
        knowledge.streams.send_to = self._send_to

    def add(self, record):
        """Queue a record."""
        self.queue.append((record, self.SEND_COUNT))

    def send_now(self, record):
        """Send a record of this router to all peers, and later again."""
        for message in self._messages([record]):
            self.send(message)
        self.queue.append((record, self.SEND_COUNT - 1))

    def tell(self, record, addresses):
        """Send a record of this router to some peers.

        :param addresses: their (host, port)
        """
        self._send_to(record, addresses)

    def apply(self, message, sender):
        """Apply the records of a peer.

        :param message:
            :class:`~boragetrail.direct.recordmessages.RecordMessage`
        :param sender: (host, port) of the peer
        """
        add_by_type = {
            CrashReport: self.quarantine.add_crash,
            Survival: self.quarantine.add_survival,
            Trial: self.quarantine.add_trial,
            Leaving: self.knowledge.apply,
            LimitReport: self.knowledge.apply,
            RolloutEvidence: self.add_rollout_evidence,
        }
        for record in decode_records(message, self.clock()):
            if isinstance(record, STREAM_RECORDS):
                self.knowledge.streams.apply(record, sender)
                continue
            if isinstance(record, OutcomeReport):
                if self.outcomes is not None:
                    self.outcomes.apply(record)
                continue
            if isinstance(record, SpeedReport):
                if self.speeds is not None:
                    self.speeds.apply(record, sender)
                continue
            is_new = add_by_type[type(record)](record)
            if is_new and self.peers.needs_relaying():
                self.add(record)

    def take_messages(self):
        """Return the messages that are due for many peers, as a list."""
        for survival in self.quarantine.take_survivals():
            self.add(survival)
        batch = list(self.queue)
        self.queue.clear()
        for record, sends_left in batch:
            if sends_left > 1:
                self.queue.append((record, sends_left - 1))
        if self.speeds is not None:
            self._send_speeds()
        return self._messages([record for record, _ in batch])

    def snapshot(self, count=None):
        """Return messages with all records that still matter.

        :param count: size of a random sample of those about servers, or
            ``None`` for all
        :returns: list of messages
        """
        quarantine = self.quarantine
        quarantine.remove_expired()
        return self._messages(
            quarantine.active_reports()
            + quarantine.active_trials()
            + self.knowledge.snapshot(count)
            + self._outcome_reports(count)
            + self.rollout_snapshot()
        )

    def _outcome_reports(self, count):
        """Return this router's reports, and without a count those of all."""
        if self.outcomes is None:
            return []
        return self.outcomes.snapshot(includes_peers=count is None)

    def _send_speeds(self):
        """Send the figures that are due, once, as they are soon outdated."""
        reports, addresses = self.speeds.take_due()
        for message in self._messages(reports):
            self.send_to(message, addresses)

    def _send_to(self, record, addresses):
        for message in self._messages([record]):
            self.send_to(message, addresses)

    def _messages(self, records):
        now_s = self.clock()
        size = self.MAX_PER_DATAGRAM
        return [
            encode_records(records[start : start + size], now_s)
            for start in range(0, len(records), size)
        ]
