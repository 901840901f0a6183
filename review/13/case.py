"""Large requests, within the limits, at the two machines that are left of nine."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
from rig import *  # noqa: E402,F403

MACHINES = 9
MACHINES_LEFT = 2
# Requesters of the site file's three zones: 27, 25 and 22.
REQUESTERS = 74
# MaxBodyBytes of the configuration.
BODY = b"x" * 4194304
ROUNDS = 3
# MemoryMb of the settings. A process beyond it is killed, and started again.
MEMORY_MB = 260
RESTART_S = 0.5


async def case(record, store, net, folder, trouble, gateways):
    prefix = "/bobo563/"
    routes = [route("survey", prefix, "survey-desk", "non_idempotent", 8000, 1500, 1)]
    services = [{"Name": "survey-desk", "HealthPath": "/health", "MaxConns": 630}]
    store.put("op/config", configuration(3, routes, services))
    for index in range(3):
        ip = f"{net}.{10 + index}"
        await Replica(record, store, ip, "survey-desk", f"z{index}", 128, 268, work_s=0.5).start()
    gateways += await start_fleet(record, store, net, folder, MACHINES)
    await asyncio.sleep(2)
    used = gateways
    if trouble:
        for gateway in gateways[MACHINES_LEFT:]:
            gateway.process.kill()
        record.say(f"{MACHINES - MACHINES_LEFT} of {MACHINES} machines are lost")
        used = gateways[:MACHINES_LEFT]
    peaks = {gateway.name: 0.0 for gateway in used}
    ends = {gateway.name: 0 for gateway in used}

    async def platform(gateway):
        """Kills a process that exceeds its memory, and starts it again."""
        while True:
            await asyncio.sleep(0.01)
            memory = gateway.memory_mb()
            peaks[gateway.name] = max(peaks[gateway.name], memory)
            if memory > MEMORY_MB:
                ends[gateway.name] += 1
                record.write(f"platform: {gateway.name} uses {memory:.0f} MB of {MEMORY_MB}, killed")
                await gateway.stop()
                await asyncio.sleep(RESTART_S)
                await gateway.start([other.control for other in gateways[:3]])
                await gateway.wait_ready()

    platforms = [asyncio.ensure_future(platform(gateway)) for gateway in used]
    results = []
    for _ in range(ROUNDS):
        sends = []
        for number in range(REQUESTERS):
            gateway = used[number % len(used)]
            sends.append(request(record, gateway, "POST", prefix + "r", BODY, 8000))
        results += await asyncio.gather(*sends)
        await asyncio.sleep(3)
    for task in platforms:
        task.cancel()
    answered = sum(status == 200 for _, status, _ in results)
    record.say(f"{len(results)} requests of {len(BODY)} bytes, {answered} answered with 200")
    for name, peak in peaks.items():
        record.say(f"{name}: at most {peak:.0f} MB, ended {ends[name]} times")
    return BROKEN if sum(count >= 3 for count in ends.values()) >= 2 else HELD


run_case(case)
