"""``python tests/faults/run.py --seeds 1-10 --seconds 40``: the fault bench.

Real daemons run beside stand-ins for members, platform and clients; the faults follow
from the seed. Prints the violations of each seed by rule, and exits with 1 on any.
"""

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path += [str(ROOT / "tests/faults"), str(ROOT / "review/common")]

from faultbench import run_seed  # noqa: E402


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--proxies", type=int, default=6)
    parser.add_argument("--groups", type=int, default=3)
    parser.add_argument("--keep-bytes", action="store_true", help="see faultnet.py")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    sizes = (options.controls, options.proxies, options.groups)
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        broken, text = run_seed(seed, options.seconds, sizes, options.keep_bytes)
        failed += bool(broken)
        counts = " ".join(f"{rule} {count}" for rule, count in broken.items())
        print(f"seed {seed}: {counts or 'ok'} ({text})", flush=True)
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
