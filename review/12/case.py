"""The only worker of a region is lost. The other region has idle workers that run one request
at a time, to which a gateway never sends the items of accepted jobs from its own region."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

FINISH_S = 18
ROOT = "5c1e07a2:100"


async def run(fleet):
    await fleet.start(["g1"])
    await fleet.start_gateway("g2", zone="chc-a")
    await fleet.ready("g2")
    # Six workers with one slot each, five in akl and one in chc.
    workers = [f"w{i}" for i in range(1, 7)]
    for name in workers:
        await fleet.start_worker(name, slots=1, events=20, event_ms=20,
                                 zone="chc-a" if name == "w6" else "akl-a")
    await fleet.knows(["g1", "g2"], workers)
    calm = await fleet.submit("g2", "calm", [(f"calm-{i}", f"{ROOT},c{i}:250")
                                             for i in range(3)])
    if calm.status != 202 or \
            len(await fleet.await_results("g1", "calm", 3, 15) or []) < 3:
        raise rig.CannotRun("the fleet does not serve in calm")

    if fleet.trouble:
        # It is lost for good, and its entry goes after three intervals of silence.
        fleet.signal("w6", rig.signal.SIGKILL)
        await fleet.wait_end("w6")
        await asyncio.sleep(3.6)
        fleet.unlist_worker("w6")
        await asyncio.sleep(2)
    jobs = {"g1": "near", "g2": "far"}
    for gateway, job in jobs.items():
        accepted = await fleet.submit(
            gateway, job, [(f"{job}-{i}", f"{ROOT},{job.encode().hex()}{i}:250")
                           for i in range(10)])
        if accepted.status != 202:
            raise rig.CannotRun(f"the job was answered {accepted.status}")
    near = await fleet.await_results("g1", "near", 10, FINISH_S)
    found = await fleet.await_results("g1", "far", 10, 1.5 * FINISH_S)
    reached = {run["run"] for _, run in fleet.runs if "run" in run}
    missing = 10 - len(found or [])
    if missing:
        return (f"LOST: {missing} of 10 items of a job that was answered 202 in chc "
                f"are listed neither as completed nor as dead_lettered "
                f"{1.5 * FINISH_S:.0f} s later; "
                f"{sum(f'far-{i}' in reached for i in range(10))} of them reached "
                f"one of the five idle workers of akl. Of a job that was "
                f"answered in akl, {len(near or [])} of 10 are listed")
    return None


rig.run_case(__file__, run)
