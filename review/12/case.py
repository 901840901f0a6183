"""A heartbeat that the store carries out late, after the replica has reported that it leaves."""

import asyncio
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
from rig import *  # noqa: E402,F403

REQUESTS_PER_S = 30
# How long the replica serves beyond DrainMs, as in the site file (linger_ms).
LINGER_S = 1.5
# How long the store takes for the write whose answer is lost: 1 to 6 s are allowed.
LATE_S = 3.0


async def case(record, store, net, folder, trouble, gateways):
    prefix = "/bobo563/"
    routes = [route("visit-booking", prefix, "visit-desk", "non_idempotent", 1500, 300, 1)]
    store.put("op/config", configuration(3, routes, [{"Name": "visit-desk", "HealthPath": "/health", "MaxConns": 110}]))
    replicas = []
    for index in range(3):
        replica = Replica(record, store, f"{net}.{10 + index}", "visit-desk", f"z{index}")
        await replica.start()
        replicas.append(replica)
    gateways += await start_fleet(record, store, net, folder, 3)
    await asyncio.sleep(3)
    told = {}

    def delivered(peer, events):
        for event in events:
            if event["Key"] == "servers/" + leaver.id and not event.get("Tombstone"):
                state = json.loads(base64.b64decode(event["Value"]))["State"]
                record.write(f"store: told gateway {peer} that {leaver.id} is {state}")
                if state == "draining":
                    told.setdefault(peer, record.now())

    leaver = replicas[0]
    store.on_delivery = delivered
    results = []
    stop = False

    async def traffic():
        tasks = []
        number = 0
        while not stop:
            gateway = gateways[number % len(gateways)]
            number += 1
            task = request(record, gateway, "POST", prefix + "book", b"x" * 600)
            tasks.append(asyncio.ensure_future(task))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        results.extend(await asyncio.gather(*tasks))

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    # The planned shutdown of one replica. The answer to its last heartbeat before that
    # is lost, and the store carries that write out late.
    leaver.beating.cancel()
    beat = leaver.entry()
    if trouble:
        record.write(f"store: write of {leaver.id} Sequence={beat['Sequence']} not answered, done in {LATE_S} s")
        asyncio.get_running_loop().call_later(LATE_S, leaver.write, beat)
    else:
        leaver.write(beat)
    await asyncio.sleep(0.4)
    leaver.state = "draining"
    leaver.heartbeat()
    accepted = record.now()
    leaver.beating = asyncio.ensure_future(leaver.beat())
    await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
    running = leaver.running + leaver.waiting
    await leaver.exit()
    await asyncio.sleep(1)
    stop = True
    await load
    bound = DRAIN_MS / 1000
    late = [(at, attempt) for at, attempt in leaver.arrivals if at > accepted + bound]
    if len(told) < len(gateways):
        raise CaseError("not all gateways were told that the replica leaves")
    late_ids = {attempt for _, attempt in late}
    lost = [attempt for attempt, status, _ in results if attempt in late_ids and status != 200]
    answered = sum(status == 200 for _, status, _ in results)
    record.say(f"{len(results)} requests, {answered} answered with 200")
    record.say(f"{len(told)} gateways were told of the leaving {max(told.values()) - accepted:.3f} s after it was accepted")
    record.say(f"{len(late)} requests reached the replica later than {bound} s after that, up to "
               f"{max([at - accepted for at, _ in late], default=0):.3f} s; {running} were in progress when it left")
    record.say(f"{len(lost)} of these were not answered with their result: {' '.join(lost)}")
    return BROKEN if late else HELD


run_case(case)
