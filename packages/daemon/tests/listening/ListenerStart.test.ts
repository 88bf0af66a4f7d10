import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ListenerStart } from "../../dist/listening/index.js";

const test = suite("ListenerStart");

interface Play {
  readonly result: string;
  readonly order: readonly string[];
  readonly lines: readonly string[];
  readonly isComplete: boolean;
  readonly addresses: Readonly<Record<string, string>>;
}

/**
 * Plays a start in which each reading of the clock takes a second.
 * @param failures - Number of attempts that fail, by listener; `optional` is not needed.
 */
async function play(
  failures: Readonly<Record<string, number>>,
  deadline: number,
  getCode: (attempt: number) => string = () => "EADDRINUSE",
): Promise<Play> {
  let now = 0;
  const order: string[] = [];
  const lines: string[] = [];
  const start = ListenerStart.create({
    listeners: Object.entries(failures).map(([name, count]) => ({
      name,
      address: `127.0.0.1:${String(count)}`,
      isNeeded: name !== "optional",
      listen: () => {
        order.push(name);
        const attempt = order.filter((tried) => tried === name).length;
        const error = Object.assign(new Error("cannot"), { code: getCode(attempt) });
        return attempt > count ? Promise.resolve() : Promise.reject(error);
      },
    })),
    deadline,
    getNow: () => (now += 1_000),
    onAttempt: () => undefined,
    record: (level, event, fields) => {
      lines.push([level, event, ...Object.values(fields)].join(" "));
    },
  });
  const result = await start.run().then(
    () => "ok",
    (error: unknown) => String(error),
  );
  const seen = [...order];
  await start.stop();
  const addresses = start.getAddresses();
  return { result, order: seen, lines, isComplete: start.isComplete(), addresses };
}

test("tries the listeners in order, and again what has failed", async () => {
  assert.equal(await play({ a: 0, b: 1 }, 10_000), {
    result: "ok",
    order: ["a", "b", "b"],
    lines: [
      "warn listener.refused b 127.0.0.1:1 EADDRINUSE 1",
      "info listener.opened b 127.0.0.1:1 2",
    ],
    isComplete: true,
    addresses: { a: "127.0.0.1:0", b: "127.0.0.1:1" },
  });
});

test("fails at its deadline, after a last attempt, and logs few of the attempts", async () => {
  const { result, lines } = await play({ a: 99 }, 7_000);
  assert.is(result, 'ListenerError: listener "a" cannot listen on "127.0.0.1:99": EADDRINUSE');
  assert.equal(
    lines,
    [1, 2, 4].map((n) => `warn listener.refused a 127.0.0.1:99 EADDRINUSE ${String(n)}`),
  );
});

test("logs each change of the reason", async () => {
  const getCode = (attempt: number): string => (attempt < 3 ? "EADDRINUSE" : "EACCES");
  const { lines } = await play({ a: 3 }, 9_000, getCode);
  assert.equal(lines, [
    "warn listener.refused a 127.0.0.1:3 EADDRINUSE 1",
    "warn listener.refused a 127.0.0.1:3 EADDRINUSE 2",
    "warn listener.refused a 127.0.0.1:3 EACCES 3",
    "info listener.opened a 127.0.0.1:3 4",
  ]);
});

test("does not wait for a listener that is not needed", async () => {
  assert.equal(await play({ a: 0, optional: 99 }, 0), {
    result: "ok",
    order: ["a", "optional"],
    lines: ["warn listener.refused optional 127.0.0.1:99 EADDRINUSE 1"],
    isComplete: true,
    addresses: { a: "127.0.0.1:0" },
  });
});

test.run();
