"""A version of the configuration adds a tenant whose name has a blank, and takes a key away."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
from rig import *  # noqa: E402,F403

MACHINES = 3
CONFIG_APPLY_S = 2.0
WATCHED_S = 8
REVOKED = "revokedkey000000abcd"
ADDED = "addedkey00000000abcd"
PERIOD_S = 0.1


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
    await asyncio.sleep(6)
    name = "Half Way Tree Grocers" if trouble else "half-way-tree-grocers"
    tenant = {"Name": name, "ApiKeys": [ADDED], "Priority": 1}
    store.put("op/config", configuration(19, routes, services, [KEY], [tenant]))
    confirmed = record.now()
    record.say(f"operator: version 19 adds the tenant {name!r} and takes a key away, confirmed")
    sends = []

    async def send(gateway, key):
        at = record.now()
        attempt, status, _ = await request(record, gateway, "GET", "/wuhu344/2f", key=key)
        return at - confirmed, key, attempt, status

    while record.now() < confirmed + WATCHED_S:
        sends += [asyncio.ensure_future(send(gateway, key)) for gateway in gateways for key in (REVOKED, ADDED)]
        await asyncio.sleep(PERIOD_S)
    results = [result for result in await asyncio.gather(*sends) if result[0] > CONFIG_APPLY_S]
    ran = {attempt for replica in replicas for _, attempt in replica.arrivals}
    revoked = [at for at, key, attempt, _ in results if key == REVOKED and attempt in ran]
    refused = [at for at, key, _, status in results if key == ADDED and status == 401]
    record.say(f"{len(revoked)} requests with the key that was taken away ran later than {CONFIG_APPLY_S} s after "
               f"that, up to {max(revoked, default=0):.1f} s; {len(refused)} with the added key got 401")
    return BROKEN if revoked or refused else HELD


run_case(case)
