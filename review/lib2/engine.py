"""Stand-in of a model engine, as far as the users' pages describe it.

It lists itself in the store with its heartbeats, answers its health path,
refuses requests that name another engine, streams events, and crashes if it
gets far more requests than it bears while it is cold.
"""

import asyncio
import json
import time

HEAD_END = b"\r\n\r\n"
HEARTBEAT_S = 1.2


class Engine:
    """One engine.

    :param case: :class:`review.lib2.harness.Case`
    :param name: its id
    :param service: name of its service
    :param zone: its zone
    :ivar arrivals: (time, id) of each request that reached it, without those
        that got 421
    :ivar reached: ids of the requests whose head it has read
    :ivar runs: ids of the requests that it began to run
    :ivar lost: ids of the requests that a crash cut off
    """

    def __init__(self, case, name, service, zone, **fields):
        self.case = case
        self.name = name
        self.service = service
        self.zone = zone
        self.events = fields.get("events", 3)
        self.event_s = fields.get("event_s", 0.02)
        self.first_s = fields.get("first_s", 0.02)
        self.cold_per_s = fields.get("cold_per_s", 13.0)
        self.crash_per_s = fields.get("crash_per_s")
        self.host = fields.get("host", "127.0.0.1")
        self.port = fields.get("port", 0)
        self.slots = fields.get("slots", 64)
        self.logs_events = fields.get("logs_events", False)
        self.version = fields.get("version", "v1")
        self.pauses = {}
        self.cold_until_s = 0.0
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.listed = False
        self.sequence = 0
        self.arrivals = []
        self.cold_arrivals = []
        self.reached = []
        self.runs = []
        self.ended = []
        self.lost = []
        self.crashes = 0
        self.writers = {}
        self.channels = set()
        self.server = None
        self.address = ""
        case.engines.append(self)

    async def open(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    def list(self):
        """Write the entry now, and with each heartbeat."""
        self.listed = True
        self.case.start(self._beat())

    def unlist(self):
        """Remove the entry; the engine serves on for a while."""
        self.listed = False
        self.case.store.remove("servers", self.name)

    def become_cold(self, cold_s):
        """Be cold from now on for some seconds."""
        self.cold_until_s = time.monotonic() + cold_s
        self.case.record.say(f"{self.name} is cold for {cold_s} s")
        if self.listed:
            self._write()

    def crash(self):
        """Be down: refuse channels, and cut those that are open.

        The store drops the entry after three heartbeats of silence.
        """
        self.case.record.say(f"{self.name} is down")
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.listed = False
        self.case.start(self._expire())

    async def restart(self, version):
        """Start again under the id and address, with other software."""
        self.version = version
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        await self.open()
        self.case.record.say(f"{self.name} is back with software {version}")
        self.list()

    async def _expire(self):
        born_ms = self.born_ms
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.born_ms == born_ms and not self.listed:
            self.case.store.remove("servers", self.name)

    def cold_left_ms(self):
        """Return the milliseconds for which it stays cold."""
        return max(0, int(1000 * (self.cold_until_s - time.monotonic())))

    def is_cold(self):
        """Return whether it is cold."""
        return self.cold_left_ms() > 0

    def close(self):
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def _entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms(),
            "sequence": self.sequence,
            "phase": "both",
            "modelList": [{"name": "m", "version": 1, "loras": []}],
            "born": self.born_ms,
        }

    def _write(self):
        """Write the entry, unless the store does not answer."""
        store = self.case.store
        if store.silent or store.status:
            return
        self.sequence += 1
        store.put("servers", self.name, self._entry())

    async def _beat(self):
        born_ms = self.born_ms
        while self.listed and self.born_ms == born_ms:
            self._write()
            await asyncio.sleep(HEARTBEAT_S)

    async def read_body(self, reader, headers, length):
        """Read the body of a request."""
        await reader.readexactly(length)

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                line, *fields = head.decode("latin-1").strip().split("\r\n")
                headers = {}
                for field in fields:
                    name, _, value = field.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                self.reached.append(
                    headers.get("x-boragetrail-attempt-id", "")
                )
                await self.read_body(reader, headers, length)
                await self._answer(line, headers, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.writers.pop(writer, None)
            self.channels.discard(writer)
            writer.close()

    async def _answer(self, line, headers, reader, writer):
        path = line.split()[1].partition("?")[0]
        if path == "/healthz":
            self._whole(writer, "200 OK", b"", self._health_fields())
            return
        if path.startswith("/-/"):
            self._query(path, writer)
            return
        attempt_id = headers.get("x-boragetrail-attempt-id", "")
        expected = headers.get("x-boragetrail-expect-instance", self.name)
        echo = [f"X-Boragetrail-Attempt-Id: {attempt_id}"]
        if expected != self.name:
            self._whole(writer, "421 Misdirected Request", b"", echo)
            return
        self._arrived(attempt_id)
        if self._crashes():
            raise ConnectionResetError("crashed")
        self.runs.append(attempt_id)
        self.writers[writer] = attempt_id
        last_id = int(headers.get("last-event-id") or 0)
        await self._stream(attempt_id, last_id, reader, writer)
        self.writers.pop(writer, None)

    def _arrived(self, attempt_id):
        now_s = time.monotonic()
        self.arrivals.append((now_s, attempt_id))
        cold = self.is_cold()
        if cold:
            self.cold_arrivals.append((now_s, attempt_id))
        text = " while cold" if cold else ""
        self.case.record.add(f"{self.name} gets {attempt_id}{text}")

    def _crashes(self):
        """Crash if it gets far more requests than it bears while cold."""
        if not self.crash_per_s or not self.is_cold():
            return False
        since_s = time.monotonic() - 1.0
        recent = [at_s for at_s, _ in self.cold_arrivals if at_s > since_s]
        if len(recent) <= self.crash_per_s:
            return False
        self.crashes += 1
        self.lost.extend(self.writers.values())
        self.case.record.say(
            f"{self.name} crashes with {len(self.writers)} requests, after"
            f" {len(recent)} requests in a second"
        )
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.server.close()
        self.listed = False
        self.case.start(self._expire())
        return True

    def _health_fields(self):
        return [
            f"X-Boragetrail-Instance-Id: {self.name}",
            f"X-Boragetrail-Cold-Ms: {self.cold_left_ms()}",
            self._load(),
        ]

    def _load(self):
        running = len(self.writers)
        return f"X-Boragetrail-Server-Load: {running},0,{self.slots}"

    def _query(self, path, writer):
        if path == "/-/report":
            content = {
                "phase": "both",
                "modelList": [{"name": "m", "version": 1, "loras": []}],
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": len(self.writers),
                "kvInUse": 0,
                "kvCapacityTotal": 366003,
                "cacheHandles": 0,
                "born": self.born_ms,
            }
        else:
            content = {
                "epoch": self.born_ms,
                "next": 0,
                "held": [],
                "lost": False,
                "events": [],
                "born": self.born_ms,
            }
        self._whole(writer, "200 OK", json.dumps(content).encode(), [])

    @staticmethod
    def _whole(writer, status, body, fields):
        lines = [
            f"HTTP/1.1 {status}",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        writer.write("\r\n".join(lines).encode() + HEAD_END + body)

    async def _stream(self, attempt_id, last_id, reader, writer):
        """Stream the events of an answer, with a pause if one is set."""
        await asyncio.sleep(self.first_s)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Boragetrail-Attempt-Id: {attempt_id}",
            f"X-Boragetrail-Response-Seal: seal-{attempt_id}",
            "X-Boragetrail-Weight-Versions: 1",
            self._load(),
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + HEAD_END)
        for number in range(last_id + 1, self.events + 1):
            text = f"{self.name} {self.version} {number}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if self.logs_events:
                self.case.record.add(
                    f"{self.name} {self.version} sends event {number}"
                    f" of {attempt_id}"
                )
            await asyncio.sleep(self.pauses.get(number, self.event_s))
            if writer.transport.is_closing() or reader.at_eof():
                self.case.record.add(
                    f"{self.name} drops {attempt_id}: its channel closed"
                )
                raise ConnectionResetError("the channel closed")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended.append(attempt_id)
        self.case.record.add(f"{self.name} has ended {attempt_id}")
