"""Runs seeded fault scenarios: python -m soak --seeds 50 --first 1."""

import shutil
import sys
import time

import typer

from soak import scenario


def run(
    seeds: int = typer.Option(3, help="Number of runs."),
    first: int = typer.Option(
        0, help="First seed; 0 derives one from the clock."
    ),
    length_s: float = typer.Option(20.0, help="Duration of fault injection."),
    vms: int = typer.Option(5, help="VMs, two processes each."),
) -> None:
    """Runs the scenarios, prints each and keeps the logs of failed ones."""
    first_seed = first or int(time.time()) % 1_000_000
    failed_seeds = []
    for seed in range(first_seed, first_seed + seeds):
        soak_run = scenario.Scenario(seed=seed, length_s=length_s, vms=vms)
        violations = soak_run.execute()
        print(soak_run.summary(), "FAILED" if violations else "ok", flush=True)
        for violation in violations[:10]:
            print(f"  {violation}", flush=True)
        if violations:
            failed_seeds.append(seed)
            print(f"  logs kept in {soak_run.directory}", flush=True)
        else:
            shutil.rmtree(soak_run.directory)
    print(
        f"{seeds - len(failed_seeds)} passed, "
        f"{len(failed_seeds)} failed {failed_seeds or ''}"
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(run)
