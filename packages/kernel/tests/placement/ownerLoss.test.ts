import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "./Cluster.js";

const test = suite("load bound after the loss of an engine owner");

const daemons = ["a", "b", "c", "d", "e"] as const;
const engineCount = 12;
const runningRequests = 240;
const endedPerTick = 12;
const ticksBeforeLoss = 40;
/** Ticks from the loss until the first daemon detects it. */
const detectionTicks = 21;
/** Ticks over which the other daemons detect it. */
const detectionSpreadTicks = 7;
const observedTicks = 60;
/** Load bound of the cluster, as a multiple of the mean. */
const bound = 1.25;
/** Requests above the bound that the demo allows. */
const toleranceRequests = 1;

interface RunningRequest {
  readonly daemon: string;
  readonly request: string;
}

/** Keeps a constant number of requests running on a cluster. The oldest ones end first. */
class ConstantLoad {
  private readonly requests: RunningRequest[] = [];
  private next = 0;

  private constructor(
    private readonly cluster: Cluster,
    private readonly name: string,
  ) {}

  static create(cluster: Cluster, name: string): ConstantLoad {
    return new ConstantLoad(cluster, name);
  }

  replaceOldest(live: readonly string[]): void {
    for (const { daemon, request } of this.requests.splice(0, endedPerTick)) {
      this.cluster.send(daemon, { kind: "finished", requestId: request });
    }
    this.fill(live);
  }

  /** Starts requests until enough run. */
  fill(live: readonly string[]): void {
    while (this.requests.length < runningRequests) {
      const daemon = live[this.next % live.length] ?? "a";
      const request = `${this.name}-${String(this.next)}`;
      this.next += 1;
      this.cluster.place(daemon, request, { isFirstTurn: this.next % 3 === 0 });
      this.requests.push({ daemon, request });
    }
  }

  /** Removes the requests of a daemon. Their callers retry at the other daemons. */
  removeDaemon(daemon: string): void {
    const kept = this.requests.filter((request) => request.daemon !== daemon);
    this.requests.splice(0, this.requests.length, ...kept);
  }

  getTrueCounts(): number[] {
    return this.cluster.getTrueCounts(this.requests.map(({ request }) => request));
  }
}

/** Gets by how many requests an engine exceeds the bound and the tolerance at most after a loss. */
function getExcess(name: string): number {
  const cluster = Cluster.create(daemons, engineCount);
  const load = ConstantLoad.create(cluster, name);
  for (let tick = 0; tick < ticksBeforeLoss; tick += 1) {
    load.replaceOldest(daemons);
    cluster.settle(1);
  }
  const lost = "c";
  const live = daemons.filter((daemon) => daemon !== lost);
  cluster.kill(lost);
  load.removeDaemon(lost);
  let excess = 0;
  for (let tick = 0; tick < observedTicks; tick += 1) {
    live.forEach((daemon, index) => {
      if (tick === detectionTicks + Math.floor((index * detectionSpreadTicks) / live.length)) {
        cluster.setView(daemon, [lost]);
        cluster.send(daemon, { kind: "peerLost", daemon: lost });
      }
    });
    load.replaceOldest(live);
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
