"""One part of a prompt crashes servers. Sound items that share two other parts of that prompt
are held, and no trial is ever made with them."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

FINISH_S = 18
CONTACT_S = 4
# Time after which a server that crashed is back, in s.
BACK_S = 3
# The part of all callers, and that of one caller.
SHARED = "5c1e07a2:200,91bd3f06:150"
BAD = "badbad:40"
GATEWAYS = ["g1", "g2"]


async def bring_back(fleet, name):
    """Starts a worker again, under its id and address, whenever it has crashed."""
    while True:
        await fleet.wait_end(name)
        await asyncio.sleep(BACK_S)
        await fleet.start_worker(name, port=fleet.port_of(name), events=20,
                                 event_ms=20)


async def online(fleet, gateway, name, prompt):
    answer = await fleet.call(
        gateway, name, "POST", f"/once/{name}",
        [("X-Model", "m"), ("X-Token-Count", "450,40"),
         ("X-Prompt-Prefix", f"{prompt},{name.encode().hex()}:60")],
        name.encode(), 5000)
    return answer.status == 200 and answer.whole


async def poison(fleet, number):
    """Requests with the part come at any machine, no two alike."""
    if fleet.trouble:
        await online(fleet, GATEWAYS[number % 2], f"bad-{number}",
                     f"{SHARED},{BAD}")


async def run(fleet):
    await fleet.start(GATEWAYS)
    workers = [f"w{i}" for i in range(1, 9)]
    for name in workers:
        await fleet.start_worker(name, events=20, event_ms=20)
        fleet.tasks.append(asyncio.create_task(bring_back(fleet, name)))
    await fleet.knows(GATEWAYS, workers)

    before = 0
    for i in range(20):
        before += await online(fleet, GATEWAYS[i % 2], f"before-{i}", SHARED)
    calm = await fleet.submit("g1", "calm", [(f"calm-{i}", f"{SHARED},c{i}:60")
                                             for i in range(5)])
    if before < 20 or calm.status != 202 or \
            len(await fleet.await_results("g2", "calm", 5, 15) or []) < 5:
        raise rig.CannotRun("the fleet does not serve in calm")

    await asyncio.sleep(5)
    for i in range(5):
        await poison(fleet, i)
        await asyncio.sleep(0.2)
    crashed = fleet.now()
    crashes = sum("crash" in run for _, run in fleet.runs)
    fleet.note("rig", f"crashes={crashes}")

    accepted = await fleet.submit("g2", "sound", [
        (f"sound-{i}", f"{SHARED},d{i}:60") for i in range(10)])
    if accepted.status != 202:
        raise rig.CannotRun(f"the sound job was answered {accepted.status}")
    after, sent = 0, 0
    while fleet.now() < crashed + FINISH_S:
        await asyncio.sleep(0.4)
        begun = await online(fleet, GATEWAYS[sent % 2],
                             f"after-{fleet.now():.1f}", SHARED)
        if fleet.now() > crashed + 2 * CONTACT_S:
            after += begun
            sent += 1
            await poison(fleet, 100 + sent)
    fleet.note("rig", f"online: before {before} of 20 begun, after {after} of "
               f"{sent}")

    # The traffic has ended; jobs have FINISH_S more.
    found = await fleet.await_results("g1", "sound", 10, FINISH_S + 10)
    reached = {run["run"] for _, run in fleet.runs if "run" in run}
    missing = 10 - len(found or [])
    if missing:
        return (f"LOST: {missing} of 10 sound items of a job that was answered "
                f"202 are listed neither as completed nor as dead_lettered "
                f"{FINISH_S + 10} s after the traffic has ended; "
                f"{sum(f'sound-{i}' in reached for i in range(10))} of them ever "
                f"reached a worker, and {len(workers)} workers are idle. Online: "
                f"{after} of {sent} sound requests begun, {before} of 20 before")
    return None


rig.run_case(__file__, run)
