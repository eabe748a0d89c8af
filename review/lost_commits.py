"""Shared by the cases: clients that write, the disruption replica_lag (deaf, crash), and the judge of LOST."""
import asyncio
import time

import stand_ins

DEAF_S = 6.5          # replica_lag: for_s 6.5, count 1, how "deaf crash"
CRASH_AFTER_S = 2.5
CRASH_S = 7.0         # srv_crash: for_s 7.0


class Writers:
    """Clients that write one new thing after the other on the primary route, and note what was acknowledged."""

    def __init__(self, stage, record, service):
        self.stage, self.record, self.service = stage, record, service
        self.acknowledged = []      # (when, id of the statement)
        self.running = True
        self.sent = 0
        self.tasks = []

    def start(self, count):
        self.tasks = [asyncio.ensure_future(self.run(number)) for number in range(count)]

    async def run(self, number):
        client = None
        while self.running:
            if client is None or client.writer is None:
                client = stand_ins.Client(self.stage.fronts[number % len(self.stage.fronts)],
                                          self.service.name + "primary", f"u{number}")
                if not await client.open():
                    await asyncio.sleep(0.1)
                    continue
            self.sent += 1
            name = f"{number:02x}{self.sent:08x}"
            answer = await client.ask(name, f"WRITE t{name} d{name}")
            if stand_ins.succeeded(answer):
                self.acknowledged.append((time.monotonic(), name))
                self.record(f"client {number}: {name} acknowledged: {' | '.join(answer)}")
            else:
                self.record(f"client {number}: {name} not acknowledged: {answer}")
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.05)


async def replica_lag_deaf_crash(service, primary, deaf, record):
    """One replica receives nothing for DEAF_S; meanwhile the primary crashes, and returns with its log."""
    record(f"logs before replica_lag: {[(one.id, len(one.log)) for one in service.databases]}", True)
    deaf.deaf = True
    record(f"{deaf.id} receives nothing", True)
    await asyncio.sleep(CRASH_AFTER_S)
    primary.stop()
    record(f"{primary.id} crashes with {len(primary.log)} commits", True)
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    deaf.deaf = False
    record(f"{deaf.id} receives again", True)
    await asyncio.sleep(CRASH_S - (DEAF_S - CRASH_AFTER_S))
    primary.primary = not service.promotions
    await primary.start()
    record(f"{primary.id} is back", True)
    await asyncio.sleep(5)


def judge(service, writers, record):
    """LOST: the log of the database that is promoted is missing an acknowledged commit."""
    broken = []
    if not writers.acknowledged or not service.promotions:
        raise stand_ins.CannotRun("no write was acknowledged, or nothing was promoted: there is nothing to judge")
    record(f"{writers.sent} writes sent, {len(writers.acknowledged)} acknowledged, "
           f"{len(service.promotions)} promotions", True)
    for when, chosen, log in service.promotions:
        kept = {name for commit in log for _, _, name in commit.writes}
        missing = [name for acknowledged, name in writers.acknowledged if acknowledged < when and name not in kept]
        record(f"{chosen.id} was promoted; of the writes acknowledged before, its log lacks {len(missing)}", True)
        if missing:
            broken.append(f"LOST: {chosen.id} was promoted without {len(missing)} acknowledged commits, the first "
                          f"{missing[0]}")
    return broken
