"""A job whose item ids are long makes an index record that the store doesn't take. The
gateway tries it for ever, and with it all records that it has to append afterwards."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

FINISH_S = 18
ROOT = "9c2e41:100"


async def run(fleet):
    await fleet.start(["g1", "g2"])
    workers = ["w1", "w2", "w3"]
    for name in workers:
        await fleet.start_worker(name, slots=8, events=60, event_ms=40)
    await fleet.knows(["g1", "g2"], workers)

    # A job in calm, as a check of the rig.
    first = await fleet.submit("g1", "calm", [(f"calm-{i}", f"{ROOT},c{i}:250")
                                              for i in range(4)])
    if first.status != 202 or not await fleet.await_results("g2", "calm", 4, 12):
        raise rig.CannotRun("the calm job was not completed")

    # The job of another caller, which must not be lost.
    accepted = await fleet.submit("g1", "sound", [
        (f"sound-{i}", f"{ROOT},5d{i:02}:250") for i in range(10)])
    if accepted.status != 202:
        raise rig.CannotRun(f"the sound job was answered {accepted.status}")

    # 200 items are allowed; the body has a tenth of MaxBodyBytes.
    length = 1500 if fleet.trouble else 15
    for gateway in ("g1", "g2"):
        await fleet.submit(gateway, "long", [
            (f"{i:03}-" + "x" * length, f"{ROOT},7e{i:02x}:250")
            for i in range(200)])

    # Jobs that come later, and the end of the sound job's traffic.
    later = await fleet.submit("g2", "later", [
        (f"later-{i}", f"{ROOT},6f{i:02}:250") for i in range(4)])
    found = await fleet.await_results("g2", "sound", 10, FINISH_S + 12)
    missing = 10 - len(found or [])
    ended = [run["end"] for _, run in fleet.runs if "end" in run]
    at_workers = sum(f"sound-{i}" in ended for i in range(10))
    again = await fleet.submit("g1", "later-2", [("later-2", f"{ROOT},71:250")])
    fleet.note("rig", f"later job: {later.status}, and at the end: {again.status}; "
               f"items of the sound job that workers finished: {at_workers}")
    if missing:
        return (f"LOST: {missing} of 10 items of a job that was answered 202 are "
                f"listed neither as completed nor as dead_lettered "
                f"{FINISH_S + 12} s after the last job, though workers finished "
                f"{at_workers} of them and are idle")
    return None


rig.run_case(__file__, run)
