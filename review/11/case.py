"""One part of a prompt crashes servers. Sound items that share two other parts of that prompt
are held, and no trial is ever made with them."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

FINISH_S = 18
# Time after which a server that crashed is back, in s.
BACK_S = 3
# Time for which the caller is quiet before the requests that crash servers, in s.
QUIET_S = 5
# The part of all callers, two of this caller, and one of another caller.
ALL = "5c1e07a2:200"
CALLER = ALL + ",91bd3f06:150,e4402b7d:80"
OTHER = ALL + ",0b0b0b0b:150"
BAD = "badbad:40"
GATEWAYS = ["g1", "g2"]


async def bring_back(fleet, name):
    """Starts a worker again, under its id and address, whenever it has crashed."""
    while True:
        await fleet.wait_end(name)
        await asyncio.sleep(BACK_S)
        await fleet.start_worker(name, port=fleet.port_of(name), events=20,
                                 event_ms=20)


async def online(fleet, number, name, prompt):
    answer = await fleet.call(
        GATEWAYS[number % 2], name, "POST", f"/once/{name}",
        [("X-Model", "m"), ("X-Token-Count", "450,40"),
         ("X-Prompt-Prefix", f"{prompt},{name.encode().hex()}:60")],
        name.encode(), 5000)
    return answer.status == 200 and answer.whole


async def other_callers(fleet, served):
    """Other callers share the first part and are served all the while."""
    number = 0
    while True:
        number += 1
        served.append(await online(fleet, number, f"other-{number}", OTHER))
        await asyncio.sleep(0.1)


async def run(fleet):
    await fleet.start(GATEWAYS)
    workers = [f"w{i}" for i in range(1, 9)]
    for name in workers:
        await fleet.start_worker(name, events=20, event_ms=20)
        fleet.tasks.append(asyncio.create_task(bring_back(fleet, name)))
    await fleet.knows(GATEWAYS, workers)
    served = []
    fleet.tasks.append(asyncio.create_task(other_callers(fleet, served)))

    before = 0
    for i in range(6):
        before += await online(fleet, i, f"before-{i}", CALLER)
    calm = await fleet.submit("g1", "calm", [(f"calm-{i}", f"{CALLER},c{i}:60")
                                             for i in range(5)])
    if before < 6 or calm.status != 202 or \
            len(await fleet.await_results("g2", "calm", 5, 15) or []) < 5:
        raise rig.CannotRun("the fleet does not serve in calm")

    await asyncio.sleep(QUIET_S)
    for i in range(5):
        if fleet.trouble:
            await online(fleet, i, f"bad-{i}", f"{CALLER},{BAD}")
        await asyncio.sleep(0.2)
    crashes = sum("crash" in run for _, run in fleet.runs)

    accepted = await fleet.submit("g2", "sound", [
        (f"sound-{i}", f"{CALLER},d{i}:60") for i in range(10)])
    if accepted.status != 202:
        raise rig.CannotRun(f"the sound job was answered {accepted.status}")
    # No request with the bad part comes any more. The traffic has ended; jobs have
    # FINISH_S more, and half of that again here.
    found = await fleet.await_results("g1", "sound", 10, 1.5 * FINISH_S)
    after = 0
    for i in range(6):
        after += await online(fleet, i, f"after-{i}", CALLER)
    reached = {run["run"] for _, run in fleet.runs if "run" in run}
    missing = 10 - len(found or [])
    fleet.note("rig", f"crashes={crashes}; online of the caller: {before} of 6 "
               f"before, {after} of 6 after; others: {sum(served)} of {len(served)}")
    if missing:
        return (f"LOST: {missing} of 10 sound items of a job that was answered "
                f"202 are listed neither as completed nor as dead_lettered "
                f"{1.5 * FINISH_S:.0f} s later; "
                f"{sum(f'sound-{i}' in reached for i in range(10))} of them ever "
                f"reached one of the {len(workers)} workers, after {crashes} had "
                f"crashed once. Online, {after} of 6 sound requests of the caller "
                f"begin, {sum(served)} of {len(served)} of others did")
    return None


rig.run_case(__file__, run)
