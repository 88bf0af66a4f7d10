import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "./Cluster.js";

const daemons = ["d0", "d1", "d2"];
const seed = 20261203;
const settleTicks = 60;

const test = suite("Placer");

const stepArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant("place" as const),
    daemon: fc.constantFrom(...daemons),
    chat: fc.integer({ min: 0, max: 5 }),
    isFirstTurn: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("finish" as const), index: fc.nat(20) }),
  fc.record({
    kind: fc.constantFrom("deliver" as const, "lose" as const, "repeat" as const),
    index: fc.nat(20),
  }),
  fc.record({ kind: fc.constant("tick" as const) }),
  fc.record({
    kind: fc.constant("view" as const),
    daemon: fc.constantFrom(...daemons),
    absent: fc.constantFrom("d0", "d1", "d2", "e0", "e1"),
  }),
);

type RunStep = typeof stepArbitrary extends fc.Arbitrary<infer Step> ? Step : never;

/** Runs the steps and returns the daemon of each request that still runs. */
function runSteps(cluster: Cluster, steps: readonly RunStep[]): Map<string, string> {
  const running = new Map<string, string>();
  steps.forEach((step, index) => {
    if (step.kind === "place") {
      const request = `r${String(index)}`;
      running.set(request, step.daemon);
      const { isFirstTurn } = step;
      cluster.place(step.daemon, request, { chat: `c${String(step.chat)}`, isFirstTurn });
    } else if (step.kind === "finish") {
      const [request, daemon] = [...running][step.index % Math.max(1, running.size)] ?? [];
      if (request !== undefined && daemon !== undefined) {
        running.delete(request);
        cluster.send(daemon, { kind: "finished", requestId: request });
      }
    } else if (step.kind === "tick") {
      cluster.tick();
    } else if (step.kind === "view") {
      cluster.setView(step.daemon, step.absent === step.daemon ? [] : [step.absent]);
    } else {
      handleDatagram(cluster, step.kind, step.index);
    }
  });
  return running;
}

function handleDatagram(cluster: Cluster, kind: "deliver" | "lose" | "repeat", nth: number): void {
  const index = nth % Math.max(1, cluster.datagrams.length);
  const datagram = cluster.datagrams[index];
  if (datagram === undefined) {
    return;
  }
  if (kind === "lose") {
    cluster.datagrams.splice(index, 1);
    return;
  }
  if (kind === "repeat") {
    cluster.datagrams.push(datagram);
  }
  cluster.deliver(index);
}

test("counts become exact again after loss, repetition, reordering and differing views", () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }), (steps) => {
      const cluster = Cluster.create(daemons, 4);
      const running = runSteps(cluster, steps);
      daemons.forEach((daemon) => {
        cluster.setView(daemon);
      });
      cluster.settle(settleTicks);
      const trueCounts = cluster.getTrueCounts([...running.keys()]);
      assert.equal(
        daemons.map((daemon) => cluster.getCounts(daemon)),
        daemons.map(() => trueCounts),
      );
    }),
    { seed, numRuns: 200 },
  );
});

test("places each request that is not cancelled on exactly one engine", () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }), (steps) => {
      const cluster = Cluster.create(daemons, 4);
      const running = runSteps(cluster, steps);
      cluster.settle(settleTicks);
      assert.equal(
        [...running.keys()].map((request) => cluster.placedEngines.get(request)?.length),
        [...running.keys()].map(() => 1),
      );
      const repeated = [...cluster.placedEngines.values()].filter((engines) => engines.length > 1);
      assert.equal(repeated, []);
    }),
    { seed, numRuns: 200 },
  );
});

test("keeps every engine at the mean load when counts are exact at each request", () => {
  const cluster = Cluster.create(daemons, 4);
  const requests = Array.from({ length: 40 }, (_, index) => `r${String(index)}`);
  requests.forEach((request, index) => {
    cluster.place(daemons[index % 3] ?? "d0", request, { isFirstTurn: true });
    cluster.deliverAll();
    cluster.settle(6);
  });
  assert.equal(cluster.getTrueCounts(requests), [10, 10, 10, 10]);
});

test("decides without an owner that does not answer", () => {
  const cluster = Cluster.create(daemons, 4);
  const requests = Array.from({ length: 12 }, (_, index) => `r${String(index)}`);
  requests.forEach((request) => {
    cluster.place("d0", request);
  });
  cluster.tick();
  assert.equal(
    requests.map((request) => cluster.placedEngines.get(request)?.length),
    requests.map(() => 1),
  );
});

test("decides immediately when the owner is reported lost, and takes over its engines", () => {
  const cluster = Cluster.create(["d0", "d1"], 4);
  const requests = Array.from({ length: 8 }, (_, index) => `r${String(index)}`);
  requests.forEach((request) => {
    cluster.place("d0", request);
  });
  cluster.send("d0", { kind: "peerLost", daemon: "d1" });
  assert.equal(
    requests.map((request) => cluster.placedEngines.get(request)?.length),
    requests.map(() => 1),
  );
  for (let ticks = 0; ticks < 10; ticks += 1) {
    cluster.tick();
  }
  assert.equal(cluster.getCounts("d0"), cluster.getTrueCounts(requests));
});

test("counts no engine too low when daemons detect an owner's loss a gossip interval apart", () => {
  const cluster = Cluster.create(["a", "b", "c"], 6);
  const requests = Array.from({ length: 60 }, (_, index) => `r${String(index)}`);
  for (const [index, request] of requests.entries()) {
    cluster.place(index % 2 === 0 ? "a" : "b", request, { isFirstTurn: true });
    cluster.settle(1);
  }
  cluster.settle(20);
  cluster.kill("c");
  cluster.setView("a", ["c"]);
  cluster.send("a", { kind: "peerLost", daemon: "c" });
  const detectionDelayTicks = 350 / 50;
  for (let tick = 0; tick < 30; tick += 1) {
    if (tick === detectionDelayTicks) {
      cluster.setView("b", ["c"]);
      cluster.send("b", { kind: "peerLost", daemon: "c" });
    }
    cluster.settle(1);
    const known = cluster.getCounts("a");
    const tooLow = cluster
      .getTrueCounts(requests)
      .filter((count, engine) => count > (known[engine] ?? 0));
    assert.equal(tooLow, [], `after ${String(cluster.now)}`);
  }
});

test("places a returning chat on the engine that it moved to, from any daemon", () => {
  const cluster = Cluster.create(daemons, 4);
  placeAndSettle(cluster, "d0", "other", true);
  placeAndSettle(cluster, "d1", "first", true);
  cluster.send("d0", { kind: "finished", requestId: "other" });
  cluster.send("d1", { kind: "finished", requestId: "first" });
  cluster.settle(10);
  placeAndSettle(cluster, "d2", "second", false);
  const [other, moved, returned] = ["other", "first", "second"].map((request) =>
    cluster.placedEngines.get(request),
  );
  assert.is.not(other?.[0], moved?.[0]);
  assert.equal(returned, moved);
});

/** Delivers the datagrams before advancing the clock, so that no reservation times out. */
function placeAndSettle(
  cluster: Cluster,
  daemon: string,
  request: string,
  isFirstTurn: boolean,
): void {
  cluster.place(daemon, request, { chat: "c", isFirstTurn });
  cluster.deliverAll();
  cluster.settle(10);
}

test("state does not grow with requests that ended", () => {
  const cluster = Cluster.create(daemons, 4);
  for (let index = 0; index < 300; index += 1) {
    cluster.place("d0", `r${String(index)}`, { chat: "c" });
    cluster.settle(1);
    cluster.send("d0", { kind: "finished", requestId: `r${String(index)}` });
  }
  cluster.settle(settleTicks);
  const sizes = cluster.placers.get("d0")?.getSizes();
  assert.equal({ ...sizes, chats: 0 }, { requests: 0, reservations: 0, chats: 0, engines: 4 });
  assert.ok((sizes?.chats ?? 2) <= 1);
});

test.run();
