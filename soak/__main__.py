"""Plays seeded days: python -m soak --seeds 50 --first 1."""

import shutil
import sys
import time

import typer

from soak import day


def run(
    seeds: int = typer.Option(3, help="Days to play."),
    first: int = typer.Option(0, help="First seed; 0 draws one."),
    length_s: float = typer.Option(20.0, help="Time of faults in a day."),
    vms: int = typer.Option(5, help="VMs, two processes each."),
) -> None:
    """Plays days, prints each, and keeps the logs of those that failed."""
    start = first or int(time.time()) % 1_000_000
    failed = []
    for seed in range(start, start + seeds):
        played = day.Day(seed=seed, length_s=length_s, vms=vms)
        problems = played.play()
        print(played.summary(), "FAILED" if problems else "ok", flush=True)
        for problem in problems[:10]:
            print(f"  {problem}", flush=True)
        if problems:
            failed.append(seed)
            print(f"  logs are kept in {played.directory}", flush=True)
        else:
            shutil.rmtree(played.directory)
    print(f"{seeds - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(run)
