"""A replica is restarted as planned under its Id; later replica_lag (deaf, crash) meets the service."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lost_commits  # noqa: E402
import stand_ins  # noqa: E402

RESTART_TAKES_S = 4.0


async def restart_as_planned(database, record):
    """Draining, DrainMs and a little longer, Leave, the end; then a start under the same Id, with nothing of before."""
    database.state = "draining"
    database.beat_now.set()
    while database.service.acknowledged.get(database.id) != "draining":
        await asyncio.sleep(0.05)
    record(f"{database.id} is draining, acknowledged", True)
    await asyncio.sleep(stand_ins.DRAIN_S + 0.5)
    await database.leave()
    database.stop()
    record(f"{database.id} has ended", True)
    await asyncio.sleep(RESTART_TAKES_S)
    database.log, database.term = [], 1
    database.service.receipts.pop(database.id, None)
    await database.start()
    record(f"{database.id} has started again under its Id, born {database.born}", True)


async def scenario(stage, record, trouble):
    service = stand_ins.Service(stage, "ledger")
    stage.services.append(service)
    await stage.start()
    await service.start()
    await stage.put_configuration(7)
    await stage.wait_until_served()
    primary, restarted, deaf = service.databases
    writers = lost_commits.Writers(stage, record, service)
    writers.start(6)
    await asyncio.sleep(3)
    if trouble:
        await restart_as_planned(restarted, record)
        await asyncio.sleep(6)      # CatchUpS 4 is over; several heartbeats were acknowledged.
    await lost_commits.replica_lag_deaf_crash(service, primary, deaf, record)
    writers.running = False
    return lost_commits.judge(service, writers, record)


stand_ins.play(scenario, HERE)
