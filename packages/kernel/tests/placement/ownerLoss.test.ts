import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "./Cluster.js";

const test = suite("the load bound over the loss of an engines' owner");

const daemons = ["a", "b", "c", "d", "e"] as const;
const engineCount = 12;
const running = 240;
const endsPerTick = 12;
const ticksBeforeLoss = 40;
/** Ticks from the loss until the first daemon notices it, and until the last one does. */
const noticedAfter = 21;
const noticedWithin = 7;
const watchedTicks = 60;
/** Multiple of the mean that the cluster keeps to, and what the demo allows above it. */
const bound = 1.25;
const toleranceRequests = 1;

interface Load {
  readonly daemon: string;
  readonly request: string;
}

/** Keeps the same number of requests running on a cluster, the oldest ones ending first. */
class SteadyLoad {
  private readonly loads: Load[] = [];
  private next = 0;

  private constructor(
    private readonly cluster: Cluster,
    private readonly name: string,
  ) {}

  static create(cluster: Cluster, name: string): SteadyLoad {
    return new SteadyLoad(cluster, name);
  }

  turnOver(live: readonly string[]): void {
    for (const { daemon, request } of this.loads.splice(0, endsPerTick)) {
      this.cluster.send(daemon, { kind: "finished", requestId: request });
    }
    this.fill(live);
  }

  /** Starts requests until enough run. */
  fill(live: readonly string[]): void {
    while (this.loads.length < running) {
      const daemon = live[this.next % live.length] ?? "a";
      const request = `${this.name}-${String(this.next)}`;
      this.next += 1;
      this.cluster.place(daemon, request, { isFirstTurn: this.next % 3 === 0 });
      this.loads.push({ daemon, request });
    }
  }

  /** Drops the requests of a daemon, whose callers come back to the others. */
  lose(daemon: string): void {
    const kept = this.loads.filter((load) => load.daemon !== daemon);
    this.loads.splice(0, this.loads.length, ...kept);
  }

  getTrueCounts(): number[] {
    return this.cluster.getTrueCounts(this.loads.map(({ request }) => request));
  }
}

/** Gets the largest excess over the bound after a loss, in requests. */
function getExcess(name: string): number {
  const cluster = Cluster.create(daemons, engineCount);
  const load = SteadyLoad.create(cluster, name);
  for (let tick = 0; tick < ticksBeforeLoss; tick += 1) {
    load.turnOver(daemons);
    cluster.settle(1);
  }
  const lost = "c";
  const live = daemons.filter((daemon) => daemon !== lost);
  cluster.kill(lost);
  load.lose(lost);
  let excess = 0;
  for (let tick = 0; tick < watchedTicks; tick += 1) {
    live.forEach((daemon, index) => {
      if (tick === noticedAfter + Math.floor((index * noticedWithin) / live.length)) {
        cluster.setView(daemon, [lost]);
        cluster.send(daemon, { kind: "peerLost", daemon: lost });
      }
    });
    load.turnOver(live);
    cluster.settle(1);
    const counts = load.getTrueCounts();
    const mean = counts.reduce((sum, count) => sum + count, 0) / engineCount;
    excess = Math.max(excess, Math.max(...counts) - Math.ceil(bound * mean) - toleranceRequests);
  }
  return excess;
}

test("no engine goes above the bound between the loss and the last daemon's notice", () => {
  const excesses = ["s", "t", "u", "v", "w", "x"].map(getExcess);
  assert.equal(
    excesses.map((excess) => excess > 0),
    excesses.map(() => false),
    excesses.join(", "),
  );
});

test.run();
