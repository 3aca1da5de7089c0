"""A worker completes items with one event whose data is empty. The results say that the items
are dead-lettered."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

ITEMS = 6


async def run(fleet):
    await fleet.start(["g1", "g2"])
    workers = ["w1", "w2"]
    for name in workers:
        await fleet.start_worker(name, events=1, event_ms=20)
    await fleet.knows(["g1", "g2"], workers)

    accepted = await fleet.submit(
        "g1", "short", [(f"short-{i}", f"5c1e07a2:200,{i:04x}:150")
                        for i in range(ITEMS)],
        text="empty" if fleet.trouble else "one", tokens="350,1")
    if accepted.status != 202:
        raise rig.CannotRun(f"the job was answered {accepted.status}")
    wrong = {}
    for gateway in ("g1", "g2"):
        found = await fleet.await_results(gateway, "short", ITEMS, 20)
        if len(found or []) < ITEMS:
            raise rig.CannotRun(f"{len(found or [])} of {ITEMS} results")
        wrong[gateway] = sum(r["State"] != "completed" for r in found)
    ended = {run["end"] for _, run in fleet.runs if "end" in run}
    if any(wrong.values()):
        return (f"MIXED: {max(wrong.values())} of {ITEMS} items are listed as "
                f"dead_lettered, {fleet.now():.0f} s after the start, though "
                f"workers completed {len(ended)} with status 200 and answered "
                f"none with 422 or 500")
    return None


rig.run_case(__file__, run)
