import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  Kernel,
  PlacementNotStartedError,
  placementPlugin,
  type PlacementEffect,
  type PlaceMessage,
} from "@pistachioway/kernel";

const test = suite("placementPlugin");

function createKernel(): Kernel {
  const kernel = Kernel.create(1);
  kernel.send(placementPlugin, { kind: "start", daemon: "d1", zone: "a", seed: 1 }, 0);
  const engines = ["e1", "e2", "e3"].map((name) => ({
    name,
    zone: "a",
    weight: 1,
    slots: 8,
    models: ["m"],
    eligible: name !== "e3",
  }));
  const daemons = [{ name: "d1", zone: "a" }];
  kernel.send(placementPlugin, { kind: "view", daemons, engines, bound: 1.25 }, 0);
  return kernel;
}

function place(kernel: Kernel, message: Partial<PlaceMessage>): readonly PlacementEffect[] {
  const request: PlaceMessage = {
    kind: "place",
    requestId: "r1",
    chat: "c1",
    model: "m",
    tokens: 1000,
    isFirstTurn: false,
    exclude: [],
    ...message,
  };
  return kernel.send(placementPlugin, request, 1);
}

test("refuses a message before the start", () => {
  assert.throws(
    () => Kernel.create(1).send(placementPlugin, { kind: "tick" }, 0),
    (error: unknown) =>
      error instanceof PlacementNotStartedError &&
      error.message === 'placement got "tick" before "start"',
  );
});

test("places in the same step when the daemon owns the engines", () => {
  assert.equal(place(createKernel(), {}), [
    { kind: "placed", requestId: "r1", engine: "e1", reason: "first-choice" },
  ]);
});

test("honours excluded and hinted engines, and never uses one that is not eligible", () => {
  const cachedHint = [{ engine: "e2", tokens: 500 }];
  assert.equal(
    [
      place(createKernel(), { exclude: ["e1"] }),
      place(createKernel(), { cachedHint }),
      place(createKernel(), { cachedHint: [{ engine: "e3", tokens: 500 }] }),
      place(createKernel(), { exclude: ["e1", "e2"] }),
      place(createKernel(), { model: "other" }),
    ],
    [
      [{ kind: "placed", requestId: "r1", engine: "e2", reason: "first-choice" }],
      [{ kind: "placed", requestId: "r1", engine: "e2", reason: "cached" }],
      [{ kind: "placed", requestId: "r1", engine: "e1", reason: "first-choice" }],
      [{ kind: "unplaceable", requestId: "r1", reason: "no-eligible-engine" }],
      [{ kind: "unplaceable", requestId: "r1", reason: "unknown-model" }],
    ],
  );
});

test("explains where a chat would go", () => {
  const kernel = createKernel();
  place(kernel, {});
  assert.equal(kernel.send(placementPlugin, { kind: "explain", chat: "c1", model: "m" }, 2), [
    {
      kind: "explained",
      chat: "c1",
      model: "m",
      mean: 0.5,
      candidates: [
        candidate("e1", 1, 1, true, "above-limit"),
        candidate("e2", 2, 0, true, "choice"),
        candidate("e3", 3, 0, false, "not-eligible"),
      ],
      choice: "e2",
    },
  ]);
});

function candidate(
  engine: string,
  rank: number,
  load: number,
  eligible: boolean,
  reason: string,
): object {
  return { engine, zone: "a", load, limit: 1, eligible, owner: "d1", reason, rank };
}

test.run();
