"""The plan of a run, drawn from its seed."""

import random

PROFILES = ("calm", "stops", "restarts", "stalls", "throttles", "crashes", "busy",
            "mixed")
GAPS = ([0.06], [0.2], [1.0], [1.4], [0.06, 0.2, 1.0, 1.4])
LENGTHS = ([2.4], [2.0, 5.0, 8.0], [8.0])
MIXES = ([1, 1, 1, 1], [2, 2, 10, 1], [1, 1, 2, 8])
FIRST_S = 2.0  # before the first fault
CALM_S = 4.0   # after the last


def draw(seed, seconds, fronts, engines, profile="mixed", **fixed):
    """Returns the traffic and the actions of a run; `fixed` overrides traffic."""
    rng = random.Random(f"{seed} {profile}")
    traffic = {"rate": rng.choice((15, 30, 60)), "gap": rng.choice(GAPS),
               "length": rng.choice(LENGTHS), "mix": rng.choice(MIXES),
               "faults": rng.choice((0, 0, 0.02))}
    traffic.update({key: value for key, value in fixed.items() if value is not None})
    actions = []
    last = max(FIRST_S, seconds - CALM_S)
    if profile in ("stops", "busy", "mixed"):
        actions += stops(rng, fronts, last)
    if profile == "restarts":
        actions += restarts(rng, fronts, last)
    if profile in ("stalls", "busy", "mixed"):
        actions += stalls(rng, fronts, last)
    if profile == "throttles":
        actions += throttles(rng, fronts, last)
    if profile == "crashes":
        actions += crashes(rng, engines, last)
    if profile == "mixed":
        actions = rng.sample(actions, len(actions) // 2)
        actions += others(rng, fronts, engines, last)
    return {"traffic": traffic, "actions": sorted(actions, key=lambda it: it["t"])}


def action(t, what, who, **more):
    return {"t": round(t, 2), "what": what, "who": who, **more}


def stops(rng, fronts, last):
    """Planned restarts of the fronts in series, or at times two at once."""
    out, t = [], FIRST_S
    while t < last:
        out.append(action(t, "term", f"front-{rng.randrange(fronts)}",
                          down=round(rng.uniform(0.2, 1.5), 2)))
        t += rng.choice((1.0, 4.0, 9.5))
    return out


def restarts(rng, fronts, last):
    """Fronts are killed in series and are soon back."""
    out, t = [], FIRST_S
    while t < last:
        out.append(action(t, "kill", f"front-{rng.randrange(fronts)}", down=0.2))
        t += rng.choice((0.5, 1.0, 3.0))
    return out


def stalls(rng, fronts, last):
    """Each front now and then doesn't run for a while, as on a busy host. Some
    get the processor for a few milliseconds at a time for seconds."""
    out = []
    for front in range(fronts):
        t = FIRST_S + rng.uniform(0, 2)
        while t < last:
            who = f"front-{front}"
            if rng.random() < 0.3:
                out.append(action(t, "throttle", who, seconds=round(rng.uniform(1, 3), 2),
                                  off=round(rng.uniform(0.1, 0.3), 2),
                                  on=round(rng.uniform(0.003, 0.03), 3)))
            else:
                out.append(action(t, "stall", who, seconds=round(rng.uniform(0.22, 0.82), 2)))
            t += out[-1]["seconds"] + rng.uniform(1.0, 4.0)
    return out


def throttles(rng, fronts, last):
    """All fronts stand still for longer than a connection may take to be made, and
    run for milliseconds, again and again."""
    out = []
    for front in range(fronts):
        t = FIRST_S + rng.uniform(0, 2)
        while t < last:
            out.append(action(t, "throttle", f"front-{front}",
                              seconds=round(rng.uniform(1, 4), 2),
                              off=round(rng.uniform(0.21, 0.35), 2),
                              on=round(rng.uniform(0.002, 0.01), 3)))
            t += out[-1]["seconds"] + rng.uniform(0.3, 2.0)
    return out


def crashes(rng, engines, last):
    """Engines are killed in series and are soon back."""
    out, t = [], FIRST_S
    while t < last:
        out.append(action(t, "kill", f"engine-{rng.randrange(engines)}",
                          down=round(rng.uniform(0.3, 1.5), 2)))
        t += rng.choice((0.3, 0.6, 1.2))
    return out


def others(rng, fronts, engines, last):
    out = []
    for _ in range(rng.randint(2, 6) + (fronts + engines) // 8):
        t = rng.uniform(FIRST_S, last)
        front, engine = f"front-{rng.randrange(fronts)}", f"engine-{rng.randrange(engines)}"
        process = rng.choice((front, engine, engine, "store"))
        what = rng.choice(("term", "kill", "pause", "link", "link", "hup", "config"))
        if what == "term" and process == "store":
            what = "kill"
        if what in ("term", "kill"):
            out.append(action(t, what, process, down=round(rng.uniform(0.2, 2.5), 2)))
        elif what == "pause":
            out.append(action(t, what, process, seconds=round(rng.uniform(0.2, 3.0), 2)))
        elif what == "link":
            link = rng.choice((f"clients>{front}", engine, f"{front}>store"))
            mode = rng.choice(("delay", "hold", "hold", "reset", "silent"))
            out.append(action(t, what, link, mode=mode, way=rng.choice(("up", "down", "both")),
                              ms=rng.choice((30, 150, 600)),
                              seconds=round(rng.uniform(0.3, 4.0), 2)))
        elif what == "hup":
            out.append(action(t, what, front))
        else:
            out.append(action(t, what, "operator"))
    return out
