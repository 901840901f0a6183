"""A key is revoked while the store turns three readers away and the fourth stands still."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
from rig import *  # noqa: E402,F403

MACHINES = 9
# A third of the machines (share = 0.33).
TURNED_AWAY = 3
FREEZE_S = 4.0
CONFIG_APPLY_S = 2.0
REVOKED = "revokedkey000000abcd"
PERIOD_S = 0.05


async def case(record, store, net, folder, trouble, gateways):
    routes = [route("visit-lookup", "/wuhu344/", "visit-desk", "idempotent", 1500, 300, 2)]
    services = [{"Name": "visit-desk", "HealthPath": "/health", "MaxConns": 110}]
    store.put("op/config", configuration(3, routes, services, [KEY, REVOKED]))
    replicas = []
    for index in range(3):
        replica = Replica(record, store, f"{net}.{10 + index}", "visit-desk", f"z{index}", work_s=0.015)
        await replica.start()
        replicas.append(replica)
    gateways += await start_fleet(record, store, net, folder, MACHINES)
    await asyncio.sleep(10)
    readers = sorted(number for number, count in store.watching.items() if count)
    record.say(f"gateways that read the store: {readers}")
    if len(readers) < 2:
        raise CaseError("readers not known")
    frozen = readers[:1] if trouble else []
    away = readers[1 : 1 + TURNED_AWAY] if trouble else []
    if trouble:
        store.turn_away(away)
        still = gateways[frozen[0]].process
        still.send_signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, still.send_signal, signal.SIGCONT)
        record.say(f"the store turns gateways {away} away, gateway {frozen[0]} stands still for {FREEZE_S} s")
    in_touch = [gateway for gateway in gateways if gateway.index not in frozen + away]
    await asyncio.sleep(0.05)
    store.put("op/config", configuration(9, routes, services, [KEY]))
    confirmed = record.now()
    record.write("operator: version 9 without a key confirmed")
    sends = []

    async def send(gateway):
        at = record.now()
        attempt, status, _ = await request(record, gateway, "GET", "/wuhu344/2f", key=REVOKED)
        return at - confirmed, gateway.index, attempt, status

    while record.now() < confirmed + 5:
        sends += [asyncio.ensure_future(send(gateway)) for gateway in in_touch]
        await asyncio.sleep(PERIOD_S)
    results = await asyncio.gather(*sends)
    ran = {attempt for replica in replicas for _, attempt in replica.arrivals}
    late = [(at, number) for at, number, attempt, _ in results if at > CONFIG_APPLY_S and attempt in ran]
    for number in sorted({number for _, number in late}):
        last = max(at for at, other in late if other == number)
        record.say(f"gateway {number}: still uses the key {last:.3f} s after the confirmation")
    record.say(f"{len(results)} requests with the key at {len(in_touch)} gateways; {len(late)} that were sent "
               f"later than {CONFIG_APPLY_S} s after the confirmation ran")
    return BROKEN if late else HELD


run_case(case)
