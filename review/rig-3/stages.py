"""Stand-ins for replicas of a stage and for model replicas."""

import asyncio
import json
import random

from rig import Replica, encode_response


class StageReplica(Replica):
    """A replica of a stage's service. It does one call at a time."""

    def __init__(self, record, store, ip, service, zone, pieces, speed=1.0):
        super().__init__(record, store, ip, service, zone, slots=1, queue=2)
        self.pieces, self.speed = pieces, speed
        self.held = {}  # handle -> (Attempt-Id, stage, piece, expiry)
        self.made = {}  # the same of all handles, also of those that are gone
        # Returns whether the last answer on a channel comes once more, in front of the
        # answer to this call: called with its time, its handles and this call's items.
        self.sends_copy = lambda made_at, handles, items: False
        self.calls = []  # (time, number of pieces); may be shared by replicas
        self.last = {}  # channel -> (time, handles, answer)

    def holds(self, handle):
        owner = self.held.get(handle)
        return owner if owner and owner[3] > self.record.now() else None

    async def serve(self, reader, writer):
        self.channel_of = getattr(self, "channel_of", {})
        self.channel_of[asyncio.current_task()] = writer
        await super().serve(reader, writer)
        self.last.pop(writer, None)

    async def handle(self, line, fields, body):
        writer = self.channel_of.get(asyncio.current_task())
        common = [
            ("Content-Type", "application/json"),
            ("Instance-Id", self.id),
            ("Instance-Load", f"{self.running},{self.waiting},{self.slots}"),
            ("Keep-Alive", "timeout=8"),
        ]
        if fields.get("expect-instance") != self.id:
            return encode_response(421, "Misdirected", common + [("Not-Executed", "1")], b""), False
        if "/verbenahub/stage-free" in line:
            for handle in json.loads(body)["Handles"]:
                if self.held.pop(handle, None):
                    self.record.write(f"stage: {self.id} freed {handle}")
            return encode_response(200, "OK", common, b""), False
        items = json.loads(body)["Items"]
        if self.waiting + self.running > self.queue:
            return encode_response(503, "Full", common + [("Not-Executed", "1")], b""), False
        before = self.last.get(writer)
        if before and self.sends_copy(before[0], before[1], items):
            self.record.write(f"stage: {self.id} sends its last answer on this channel once more, "
                              f"made {self.record.now() - before[0]:.3f} s ago")
            writer.write(before[2])
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            try:
                seconds = (self.pieces["CallMs"] + self.pieces["ItemMs"] * len(items)) / 1000
                await asyncio.sleep(seconds * self.speed)
            finally:
                self.running -= 1
        answers = []
        for item in items:
            handle = f"{self.address}/{random.getrandbits(48):012x}"
            expiry = self.record.now() + self.pieces["HandleS"]
            self.held[handle] = self.made[handle] = (item["Id"], item["Stage"], item["Piece"], expiry)
            answers.append({"Handle": handle})
        self.calls.append((self.record.now(), len(items)))
        requests = sorted({item["Id"] for item in items})
        self.record.write(f"stage: {self.id} made {len(items)} pieces for {' '.join(requests)}")
        response = encode_response(200, "OK", common, json.dumps({"Items": answers}).encode())
        self.last[writer] = (self.record.now(), [answer["Handle"] for answer in answers], response)
        return response, False


class ModelReplica(Replica):
    """A model replica. It fetches a request's inputs before it reads the prompt, and reads
    prompts one after the other. Its stream names the requests whose inputs it read."""

    def __init__(self, record, store, ip, service, zone, makers, read_s, slots=96):
        super().__init__(record, store, ip, service, zone, slots=slots, queue=200)
        self.makers, self.read_s = makers, read_s
        self.reading = asyncio.Lock()
        self.given = []  # (Attempt-Id, owners of the inputs)

    def entry(self):
        return {**super().entry(), "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}

    async def handle(self, line, fields, body):
        attempt = fields.get("attempt-id", "")
        common = [("Attempt-Id", attempt), ("Instance-Id", self.id), ("Keep-Alive", "timeout=8")]
        refused = common + [("Not-Executed", "1")]
        if fields.get("expect-instance") != self.id:
            return encode_response(421, "Misdirected", refused, b""), False
        if "inputs" not in fields:
            return encode_response(400, "No inputs", refused, b""), False
        self.waiting += 1
        self.record.write(f"model: {self.id} got {attempt}")
        async with self.reading:
            self.waiting -= 1
            self.running += 1
            try:
                handles = list(filter(None, fields["inputs"].split(",")))
                makers = [self.makers[handle.split("/")[0]] for handle in handles]
                owners = [maker.made[handle] for maker, handle in zip(makers, handles)]
                self.given.append((attempt, owners))
                others = sorted({owner[0] for owner in owners})
                if not all(maker.holds(handle) for maker, handle in zip(makers, handles)):
                    self.record.write(f"model: {self.id} refuses {attempt}, inputs of {' '.join(others)} are gone")
                    return encode_response(409, "Gone", refused, b""), False
                self.record.write(f"model: {self.id} runs {attempt} with inputs of {' '.join(others)}")
                await asyncio.sleep(self.read_s)
            finally:
                self.running -= 1
        events = [f"id: 1\ndata: made from {' '.join(others)}\n\n", "id: 2\ndata: end\n\n"]
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in common]
        head += ["Response-Signature: 3e1b.07.5a2.2.0.c9f2a4d1"]
        chunks = [f"{len(event):x}\r\n{event}\r\n" for event in events] + ["0\r\n\r\n"]
        return ("\r\n".join(head) + "\r\n\r\n" + "".join(chunks)).encode(), False
