"""Callers that write rows of their own on a primary route, and the check that no acknowledged one is lost."""
import asyncio
import random
import time

import fleet_kit

HELD, BROKEN, NOT_RUN = 0, 1, 2
READERS = 8


class Writers:
    def __init__(self, fleet, sessions=8):
        self.fleet, self.acknowledged, self.stopping, self.sessions = fleet, [], False, sessions
        self.tasks, self.paused, self.transactions = [], False, False

    def start(self):
        self.tasks = [asyncio.ensure_future(self.session(number)) for number in range(self.sessions)]

    async def stop(self):
        self.stopping = True
        await asyncio.wait(self.tasks, timeout=3)

    async def session(self, number):
        """Writes rows of its own, one after the other, and comes back after a failure."""
        while not self.stopping:
            caller = fleet_kit.Caller(self.fleet.proxies[number % len(self.fleet.proxies)]["callers"])
            try:
                if await caller.open("archive-primary"):
                    await self.write(caller, number)
            except OSError:
                pass
            caller.close()
            await asyncio.sleep(0.1)

    async def write(self, caller, number):
        while not self.stopping:
            if self.paused:
                await asyncio.sleep(0.05)
                continue
            thing = f"w{number}x{len(self.acknowledged)}x{random.randrange(10**6)}"
            self.fleet.note(f"sent WRITE {thing}")
            if self.transactions:
                begun = await caller.query("BEGIN", "b" + thing)
                if not begun.ok or not (await caller.query(f"WRITE {thing} d{thing}", thing)).ok:
                    return
                await asyncio.sleep(random.uniform(0, 0.6))
                reply = await caller.query("COMMIT", "c" + thing)
            else:
                reply = await caller.query(f"WRITE {thing} d{thing}", thing)
            if not reply.ok:
                self.fleet.note(f"answered {thing} {reply.line}")
                return
            self.acknowledged.append((time.time(), thing))
            self.fleet.note(f"acknowledged {thing} at {reply.position}")
            await asyncio.sleep(random.uniform(0, 0.05))

    async def lost_of(self, things):
        """Those that reads on the primary route don't find; None if they can't be read."""
        parts = [self.lost_of_part(things[start::READERS]) for start in range(READERS)]
        found = await asyncio.gather(*parts)
        return None if None in found else [thing for part in found for thing in part]

    async def lost_of_part(self, things):
        caller, lost = fleet_kit.Caller(self.fleet.proxies[0]["callers"]), []
        if not await caller.open("archive-primary"):
            return None
        for thing in things:
            for attempt in range(20):
                reply = await caller.query(f"READ {thing}", f"read-{thing}-{attempt}")
                if reply.ok:
                    break
                await asyncio.sleep(0.1)
            if not reply.ok:
                return None
            if reply.rows != ["d" + thing]:
                self.fleet.note(f"read {thing}: {reply.rows}, but its write was acknowledged")
                lost.append(thing)
        caller.close()
        return lost

    def log_of(self, database):
        """The log of a database that has crashed, from what it ran: it returns with it."""
        log = [[1, 1, [["first", "row", "-"]]]]
        with open(f"{self.fleet.folder}/ran.txt", encoding="utf-8") as ran:
            for line in ran:
                words = line.split()
                if words[1] == database and words[2] == "appended":
                    term, index = words[-1].split(".")
                    log.append([int(term), int(index), [[words[4], words[5], words[3]]]])
        return log

    async def judge(self, crashed, before_s, after_s=0.1):
        """Reads what was acknowledged around the crash of the primary."""
        last = [thing for at, thing in self.acknowledged if crashed - before_s <= at <= crashed + after_s]
        lost = await self.lost_of(last)
        orders = [(identity, token) for _, _, identity, token, _ in self.fleet.platform.orders]
        result = f"{len(self.acknowledged)} writes acknowledged, promoted {orders}; of {len(last)} around the event " \
                 f"are lost: {lost if lost is None else len(lost)}"
        self.fleet.note(result)
        self.fleet.note(f"processes of the system that ended by themselves: {self.fleet.ended_by_themselves()}")
        print(result)
        if lost is None or not orders or len(last) < 10:
            return NOT_RUN
        return BROKEN if lost else HELD
