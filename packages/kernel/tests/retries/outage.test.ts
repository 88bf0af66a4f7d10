import { suite } from "uvu";
import * as assert from "uvu/assert";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Kernel, retriesPlugin, type FailureClass } from "@pistachioway/kernel";

const start = 1_000_000;
const engines = 12;
const requests = 20_000;

/** How half of the engines fail in the second half of a run. */
interface Outage {
  readonly class: FailureClass;
  readonly seed: number;
}

interface Result {
  readonly attempts: number;
  readonly answered: number;
  readonly givenUp: number;
  readonly largestBurst: number;
}

/** Sends requests to randomly picked engines; the even ones fail in the second half of the run. */
function run(outage: Outage): Result {
  const kernel = Kernel.create(outage.seed);
  const random = xoroshiro128plus(outage.seed);
  const retriesBySecond = new Map<number, number>();
  let attempts = 0;
  let answered = 0;
  for (let index = 0; index < requests; index += 1) {
    const requestId = String(index);
    let now = start + index * 10;
    let exclude: readonly string[] = [];
    kernel.send(retriesPlugin, { kind: "start", requestId }, now);
    for (let attempt = 1; ; attempt += 1) {
      attempts += 1;
      const engine = pick(random, exclude);
      if (index < requests / 2 || engine % 2 === 1) {
        answered += 1;
        kernel.send(retriesPlugin, { kind: "done", requestId }, now);
        break;
      }
      const failure = { class: outage.class, host: `e${String(engine)}`, attempt };
      const flags = { repeatable: true, firstByteSent: false, deadline: now + 60_000 };
      const message = { kind: "failed", requestId, ...failure, ...flags } as const;
      const effect = kernel.send(retriesPlugin, message, now)[0];
      if (effect?.kind !== "retry") {
        break;
      }
      now = effect.at;
      exclude = effect.exclude;
      const second = Math.floor(now / 1_000);
      retriesBySecond.set(second, (retriesBySecond.get(second) ?? 0) + 1);
    }
  }
  const largestBurst = Math.max(...retriesBySecond.values());
  return { attempts, answered, givenUp: requests - answered, largestBurst };
}

function pick(random: ReturnType<typeof xoroshiro128plus>, exclude: readonly string[]): number {
  const left = Array.from({ length: engines }, (_, index) => index).filter(
    (index) => !exclude.includes(`e${String(index)}`),
  );
  return left[uniformInt(random, 0, left.length - 1)] ?? 0;
}

const test = suite("outage of half the engines");

for (const outage of [
  { class: "neverSent", seed: 1 },
  { class: "lost", seed: 2 },
  { class: "timeout", seed: 3 },
] as const) {
  test(`${outage.class}: attempts stay within 1.1 times the requests`, () => {
    const result = run(outage);
    console.log(JSON.stringify({ ...outage, ...result, ratio: result.attempts / requests }));
    assert.ok(result.attempts <= requests * 1.1);
    assert.ok(result.largestBurst <= 100 * 0.1 + 50 + 1);
    assert.ok(result.answered > requests * 0.75);
  });
}

test.run();
