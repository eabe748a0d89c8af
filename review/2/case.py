"""Another writer's heartbeat names the address of a replica; later replica_lag (deaf, crash) meets the service."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lost_commits  # noqa: E402
import stand_ins  # noqa: E402



async def another_writers_heartbeat(stage, database, record):
    """Of a service that no configuration names, under an Id of its own, at the address of `database`."""
    body = {"Service": "inventory", "Address": database.address, "Zone": "stage", "Version": "v0", "Slots": 2,
            "State": "unknown", "ColdLeftMs": 0, "DbRole": "none", "Seq": 1}
    status, answer = await stand_ins.http_call(stage.controls[0], "POST", "/Instances.Heartbeat/agent-41",
                                               json.dumps(body).encode())
    record(f"another writer's heartbeat {body}: {status} {answer.decode()}", True)


async def scenario(stage, record, trouble):
    service = stand_ins.Service(stage, "ledger")
    stage.services.append(service)
    await stage.start()
    await service.start()
    await stage.put_configuration(7)
    await stage.wait_until_served()
    primary, named, deaf = service.databases
    writers = lost_commits.Writers(stage, record, service)
    writers.start(6)
    await asyncio.sleep(3)
    if trouble:
        await another_writers_heartbeat(stage, named, record)
    await asyncio.sleep(6)      # The databases go on with their own heartbeats.
    await lost_commits.replica_lag_deaf_crash(service, primary, deaf, record)
    writers.running = False
    return lost_commits.judge(service, writers, record)


stand_ins.play(scenario, HERE)
