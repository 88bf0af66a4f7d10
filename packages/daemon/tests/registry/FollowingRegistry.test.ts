import {
  FollowingRegistry,
  RegistryTask,
  relayedUpdateSchema,
  type RelayedUpdate,
} from "@pistachioway/daemon";
import type { MemberState, Registry, RegistryUpdate, Routing } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("FollowingRegistry");

const callIntervalMilliseconds = 700;
const storeLatencyMilliseconds = 4;

function createRouting(version: number): Routing {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  return { version, routes: [], services: [], limits };
}

/** A store with the versions 1, 2, ... of the configuration, and one reader; times are of one clock. */
class Scene {
  now = 0;
  version = 1;
  storeCalls = 0;
  isStoreDown = false;
  isReaderDown = false;
  /** Whether the reader reads nothing more, although it answers. */
  isReaderCut = false;
  readonly reader: RegistryTask;
  readonly follower: RegistryTask;

  private constructor() {
    this.reader = this.createTask(this.createStore());
    this.follower = this.createTask(
      FollowingRegistry.create({
        registry: this.createStore(),
        chooseReader: (isExcluded) => (isExcluded("reader") ? undefined : createReader()),
        fetchUpdate: (_address, position) => this.answer(position),
        getNow: () => this.now,
        onCall: () => undefined,
        record: () => undefined,
      }),
    );
  }

  static create(): Scene {
    return new Scene();
  }

  /** Lets reader and follower make the given number of calls each, alternately; gets the follower's version and age after each. */
  async play(calls: number): Promise<readonly (readonly [version: number, age: number])[]> {
    const seen: (readonly [number, number])[] = [];
    for (let call = 0; call < calls; call += 1) {
      await this.step(this.reader);
      await this.step(this.follower);
      const age = Math.round(this.follower.getAgeMilliseconds());
      seen.push([this.follower.getTable()?.version ?? -1, age]);
    }
    return seen;
  }

  private async step(task: RegistryTask): Promise<void> {
    if (!(this.isReaderCut && task === this.reader)) {
      await task.callRegistry();
    }
    this.now += callIntervalMilliseconds / 2;
  }

  private createTask(registry: Registry): RegistryTask {
    return RegistryTask.create({
      registry,
      getClocks: () => ({ monotonic: this.now, wall: this.now }),
      pause: () => Promise.resolve(),
      record: () => undefined,
      onTable: () => undefined,
      onUpstream: () => undefined,
      onCall: () => undefined,
    });
  }

  private createStore(): Registry {
    const read = (position: number): Promise<RegistryUpdate> => {
      this.storeCalls += 1;
      this.now += storeLatencyMilliseconds;
      if (this.isStoreDown) {
        return Promise.reject(new Error("the store is down"));
      }
      const routing = createRouting(this.version);
      const changes =
        position < this.version ? [{ kind: "routing" as const, routing, faults: [] }] : [];
      return Promise.resolve({ changes, position: this.version, era: 1 });
    };
    return { readAll: () => read(-1), watch: (position) => read(position) };
  }

  private answer(position: number): Promise<RelayedUpdate> {
    const update = this.isReaderDown ? undefined : this.reader.history.getSince(position);
    if (update === undefined) {
      return Promise.reject(new Error("the reader does not answer"));
    }
    const ageMilliseconds = this.reader.getAgeMilliseconds();
    const text = JSON.stringify({ ...update, era: this.reader.era.getEra(), ageMilliseconds });
    return Promise.resolve(relayedUpdateSchema.parse(JSON.parse(text)));
  }
}

function createReader(): MemberState {
  return { name: "reader", address: "reader", operations: "reader" } as MemberState;
}

test("a follower gets each version from its reader, and calls the store for its first read only", async () => {
  const scene = Scene.create();
  await scene.play(2);
  const calls = scene.storeCalls;
  scene.version = 2;
  const seen = await scene.play(2);
  // The reader's two calls are the only ones.
  assert.equal([scene.storeCalls - calls, seen.map(([version]) => version)], [2, [2, 2]]);
});

// Guards against a revoked key that is accepted too long: what a reader tells is as old as what it has read.
test("the age of a follower's configuration includes that of its reader", async () => {
  const scene = Scene.create();
  await scene.play(2);
  const [last] = await scene.play(1);
  const readerAge = scene.reader.getAgeMilliseconds();
  assert.equal([last?.[1], Math.round(readerAge)], [704, 704]);
});

// Failure: the reader is killed in the middle.
test("a follower reads the store itself in the same call when its reader does not answer", async () => {
  const scene = Scene.create();
  await scene.play(2);
  scene.isReaderDown = true;
  scene.version = 5;
  const [first] = await scene.play(1);
  assert.is(first?.[0], 5);
});

// Failure: the reader is cut off from the store, and goes on answering.
test("a follower leaves a reader whose content is old, while the store serves the follower", async () => {
  const scene = Scene.create();
  await scene.play(2);
  scene.isReaderCut = true;
  scene.version = 3;
  const seen = await scene.play(4);
  assert.equal(
    seen.map(([version]) => version),
    [1, 3, 3, 3],
  );
});

/**
 * Failure: the reader is cut off from the store, and takes a peer's state. Guards against a follower that misses changes
 * (404 on a route that was added, requests to an upstream that drains) because the reader's configuration looks fresh.
 */
test("a follower leaves a reader whose configuration a peer keeps fresh", async () => {
  const scene = Scene.create();
  await scene.play(2);
  scene.isReaderCut = true;
  scene.version = 3;
  const now = { monotonic: scene.now, wall: scene.now };
  scene.reader.handlePeerState({ version: 1, ageMilliseconds: 0, era: 1, upstreams: [] }, now);
  const [first] = await scene.play(1);
  assert.is(first?.[0], 3);
});

// Failure: the store is down. Guards against two daemons that keep their configurations fresh by each other.
test("nobody's configuration is renewed while the store is down", async () => {
  const scene = Scene.create();
  await scene.play(2);
  scene.isStoreDown = true;
  const seen = await scene.play(4);
  assert.equal(
    seen.map(([, age]) => age >= 700),
    [true, true, true, true],
  );
  assert.ok((seen.at(-1)?.[1] ?? 0) > 4 * callIntervalMilliseconds - callIntervalMilliseconds / 2);
});

test.run();
