"""A held replica starts again between the order to promote and its effect. See claim.txt."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet_kit  # noqa: E402
import writers  # noqa: E402

PRIMARY, REPLICAS = "archive-0", ("archive-1", "archive-2")
CUT_FRONTS = (0, 1)  # Of five: primary_cut with share 0.4 and "core".
CUT_S = 5.0
AFTER_S = 3.0


async def run(fleet, trouble):
    callers = writers.Writers(fleet, sessions=24)
    callers.transactions = True
    await fleet.start()
    if not await fleet.put(fleet.configuration(1)) or not await fleet.become_ready():
        return writers.NOT_RUN
    callers.start()
    await asyncio.sleep(2.5)
    restarted = []

    def on_order(identity):
        """The replica that is not to be promoted crashes and is back at once."""
        if trouble and not restarted:
            restarted.extend(replica for replica in REPLICAS if replica != identity)
            asyncio.ensure_future(fleet.tell(restarted[0], restart=True))

    fleet.platform.on_order = on_order
    fronts = [fleet.processes[f"proxy-{number}"].pid for number in CUT_FRONTS]
    await fleet.tell(PRIMARY, cut_from=fleet.control_processes() + fronts)
    cut_at = time.time()
    await asyncio.sleep(CUT_S)
    await fleet.tell(PRIMARY, cut_from=[])
    await asyncio.sleep(AFTER_S)
    await callers.stop()
    return await callers.judge(cut_at, 1, CUT_S + AFTER_S)


if __name__ == "__main__":
    sys.exit(fleet_kit.play(run, os.path.join(HERE, "record.txt"), os.environ.get("TROUBLE") != "0", controls=5, proxies=5))
