"""A stage's answer that comes once more, at the point where a later answer is expected."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
from rig import *  # noqa: E402,F403
from stages import ModelReplica, StageReplica  # noqa: E402

PIECES = 32
# The stage `invoicing` of the site file: eight replicas.
PIECES_SPEC = {"Slots": 1, "Queue": 2, "Batch": 96, "CallMs": 150.0, "ItemMs": 1.3,
               "HeadroomMb": 1.7, "HandleS": 4.0, "LinkMbps": 10000}
# Requests at once, and a second between them. The same with and without the disruption.
BURST = 25
STEADY_PER_S = 24
GAP_S = 3.0
# Results that the stage has made between the answer and its second copy, at least.
MADE_SINCE = 2150
# Time in which a model replica reads one of the long prompts, and one of the short ones.
DRAFT_READ_S = 0.46
CHAT_READ_S = 0.01


async def case(record, store, net, folder, trouble, gateways):
    stages = [{"Service": "invoicing", "After": [], "Bytes": 6000}]
    stream = {"Stages": stages, "Sticky": True, "Resumable": False, "GapTargetMs": 250}
    drafts = {**route("survey-draft", "/a/", "draft-llm", "streaming", 8000, 1500, 1), **stream}
    chats = {**route("home-chat", "/b/", "chat-llm", "streaming", 8000, 1500, 1), **stream}
    engine = {"Slots": 96, "KvCapacity": 565605}
    common = {"HealthPath": "/health", "MaxConns": 500}
    services = [{"Name": name, **common, "Engine": engine} for name in ("draft-llm", "chat-llm")]
    services.append({"Name": "invoicing", **common, "Pieces": PIECES_SPEC})
    store.put("op/config", configuration(3, [drafts, chats], services))
    makers = {}
    sent = []
    calls = []

    def sends_copy(made_at, handles, items):
        """Whether this is the one answer that comes twice: a second copy may come at any
        later answer on its channel. It is one whose results are still held."""
        if not trouble or sent or len(handles) != len(items):
            return False
        since = sum(count for at, count in calls if at > made_at)
        held = [handle for handle in handles for maker in makers.values() if maker.holds(handle)]
        if since < MADE_SINCE or len(held) < PIECES:
            return False
        sent.append(record.now())
        record.write(f"{since} results were made since then, {len(held)} of its {len(handles)} are still held")
        return True

    for index in range(8):
        # Replicas of one service differ in speed.
        speed = 1 + 0.04 * index
        replica = StageReplica(record, store, f"{net}.{10 + index}", "invoicing", "z0", PIECES_SPEC, speed)
        replica.sends_copy = sends_copy
        replica.calls = calls
        await replica.start()
        makers[replica.address] = replica
    models = []
    for index in range(2):
        models.append(ModelReplica(record, store, f"{net}.{30 + index}", "draft-llm", "z0", makers, DRAFT_READ_S))
        models.append(ModelReplica(record, store, f"{net}.{40 + index}", "chat-llm", "z0", makers, CHAT_READ_S))
    for model in models:
        await model.start()
    gateways += await start_fleet(record, store, net, folder, 3)
    await asyncio.sleep(4)
    tasks = []
    count = 0

    def send(path):
        nonlocal count
        gateway = gateways[count % len(gateways)]
        count += 1
        fields = [
            ("Model", "m"),
            ("Token-Counts", "800,20"),
            ("Pieces", str(PIECES)),
            ("Piece-Key", "%012x" % random.getrandbits(48)),
            ("Prompt-Prefix", "5c1e07a2:300,%08x:500" % random.getrandbits(32)),
        ]
        sends = request(record, gateway, "POST", path, b"x" * 1400, 8000, fields)
        tasks.append(asyncio.ensure_future(sends))

    async def steady(seconds):
        end = record.now() + seconds
        while record.now() < end:
            send("/b/2f")
            await asyncio.sleep(1 / STEADY_PER_S)

    await steady(2)
    for _ in range(6):
        for _ in range(BURST):
            send("/a/2f")
        await asyncio.sleep(0.35)
        await steady(GAP_S)
        for _ in range(BURST):
            send("/b/2f")
        await steady(3)
        if sent:
            break
    results = await asyncio.gather(*tasks)
    given = [given for model in models for given in model.given]
    wrong = [attempt for attempt, owners in given if {owner[0] for owner in owners} != {attempt}]
    whole = [(attempt, body) for attempt, status, body in results if status == 200 and body]
    foreign = [attempt for attempt, body in whole if f"made from {attempt}\n".encode() not in body]
    answered = sum(status == 200 for _, status, _ in results)
    record.say(f"{len(results)} requests, {answered} answered with 200; {len(sent)} answers of a stage were sent once more")
    record.say(f"{len(wrong)} requests were given inputs of another request")
    record.say(f"{len(foreign)} requesters got a complete answer made from them: {' '.join(foreign)}")
    return BROKEN if wrong else HELD


run_case(case)
