import { ConnectionPool } from "@pistachioway/daemon";
import {
  getHash,
  PrefixDirectory,
  UpstreamTable,
  type ForwardingOptions,
  type PlacedWork,
  type RequestWork,
  type UpstreamChoice,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { headerCodec } from "@pistachioway/platform";
import { createServer, type AddressInfo, type Server } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { chooseRequestUpstream } from "../../dist/ingress/chooseRequestUpstream.js";
import { UpstreamTarget } from "../../dist/ingress/UpstreamTarget.js";
import { RouterMetrics } from "../../dist/metrics/RouterMetrics.js";

type Dependencies = Parameters<typeof UpstreamTarget.create>[0];
type Request = Parameters<typeof UpstreamTarget.create>[1];

interface Context {
  server: Server;
  pool: ConnectionPool;
  /** What the server answers; if empty, it closes the connection instead. */
  answer: string;
}

const document = getHash("document");
const answered = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 2\r\n\r\nok";
const refused =
  "HTTP/1.1 503 Busy\r\nRequest-Id: q-1\r\nNot-Run: busy\r\nContent-Length: 0\r\n\r\n";

const test = suite<Context>("workAwareTarget");

test.before.each(async (context) => {
  context.pool = ConnectionPool.create();
  context.answer = answered;
  context.server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => {
      if (context.answer === "") {
        socket.destroy();
      } else {
        socket.write(context.answer);
      }
    });
  });
  await new Promise<void>((resolve) => context.server.listen(0, "127.0.0.1", resolve));
});

test.after.each(({ server, pool }) => {
  pool.close();
  server.close();
});

/** Creates what requests depend on, with engines that are all at the address of the server. */
function create({ server, pool }: Context, isWorkAware: boolean) {
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  const upstreams = UpstreamTable.create();
  for (const id of ["e-1", "e-2", "e-3"]) {
    const record = { id, service: "engine", address, zone: "north", slots: 8, bornAt: 1 } as const;
    upstreams.addUpstream({ ...record, softwareVersion: "v1", state: "ready", sequence: 1 }, 0);
  }
  const sent: (string | undefined)[] = [];
  const works: RequestWork[] = [];
  const told: unknown[] = [];
  const compared: (string | undefined)[] = [];
  const times = new Map<string, number>();
  const dependencies = {
    upstreams,
    pool,
    codec: {
      ...headerCodec,
      writeRequest: (_head: unknown, { kvCacheSourceAddress }: ForwardingOptions) => {
        sent.push(kvCacheSourceAddress);
        return [];
      },
    },
    prefixes: PrefixDirectory.create(),
    metrics: RouterMetrics.create(),
    workEstimator: {
      startWork: () => undefined,
      recordFirstByte: () => undefined,
      endWork: () => undefined,
      recordReport: () => undefined,
      isWorkAware: () => isWorkAware,
      isRepeatSooner: (_current: unknown, next: PlacedWork | undefined) => {
        compared.push(next?.entry.record.id);
        return false;
      },
      getExpectedMilliseconds: ({ record }: UpstreamEntry, work: RequestWork) => {
        works.push(work);
        return times.get(record.id);
      },
    },
    zone: "north",
    getNow: () => 1_000,
    getLimitShare: () => ({ part: 1, position: 0 }),
    getStartShare: () => ({ part: 1, position: 0, clockOffset: 0, isSettled: true }),
    getDaemonCount: () => 1,
    getService: () => ({ maxConnections: 64, engine: { canFetch: true } }),
    onNotices: () => undefined,
    addFleetNotice: (notice: unknown) => {
      told.push(notice);
    },
  } as unknown as Dependencies;
  return { address, dependencies, sent, works, told, times, compared };
}

const request = {
  head: {
    id: "q-1",
    promptBlocks: [
      { id: "team", tokens: 600 },
      { id: "document", tokens: 12_000 },
      { id: "own", tokens: 130 },
    ],
    tokens: { prompt: 12_730, maxOutput: 50 },
  },
  method: "GET",
  path: "/",
  body: Buffer.alloc(0),
  hasBody: false,
  approval: {
    route: { kind: "idempotent", isSticky: true, goalMilliseconds: 1_000, priority: 0 },
    team: undefined,
  },
  service: "engine",
  deadline: 5_000,
} as unknown as Request;

const noConstraints = { excluded: new Set<string>(), softwareVersion: undefined };

function chooseOrThrow(dependencies: Dependencies): UpstreamChoice {
  const choice = chooseRequestUpstream(dependencies, request, noConstraints);
  if (choice === undefined) {
    throw new Error("no engine was chosen");
  }
  return choice;
}

/** Sends the request as an attempt does, and describes what the directory knows before and after its end. */
async function attempt(
  dependencies: Dependencies,
  choice: UpstreamChoice,
): Promise<readonly string[]> {
  const target = UpstreamTarget.create(dependencies, request, choice, noConstraints);
  const describe = (): string => {
    const { prefixes } = dependencies;
    const isHeld = prefixes.isHeldBy(document, choice.entry, 1_000);
    const isRead = prefixes.isReadBy(document, choice.entry);
    return `${isHeld ? "held" : "-"} ${isRead ? "read" : "-"}`;
  };
  const states: string[] = [];
  await new Promise<void>((resolve) => {
    target.send(undefined, {
      onHead: (head) => {
        target.recordHead(head, 1_000);
        states.push(describe());
      },
      onData: () => undefined,
      onEnd: resolve,
      onFailure: () => {
        resolve();
      },
    });
    states.push(describe());
  });
  target.finish(false);
  return [...states, describe(), target.getReport(1_000).source ?? "no source"];
}

test("the engine is read from its sending on and a holder from its first byte on", async (context) => {
  const { dependencies, sent, told } = create(context, true);
  const choice = chooseOrThrow(dependencies);
  const states = [await attempt(dependencies, choice), await attempt(dependencies, choice)];
  assert.equal(states, [
    ["- read", "held -", "held -", "next"],
    ["held read", "held -", "held -", "held"],
  ]);
  assert.equal(sent[1], undefined);
  assert.equal(told, [{ kind: "prefix", block: document, upstream: choice.entry.hash, at: 1_000 }]);
});

// Guards against a holder that refused the prompt or was lost before it answered.
test("a refusal and a lost connection leave neither a holder nor a mark", async (context) => {
  const { dependencies, told } = create(context, true);
  const choice = chooseOrThrow(dependencies);
  context.answer = refused;
  const states = [await attempt(dependencies, choice)];
  context.answer = "";
  states.push(await attempt(dependencies, choice));
  assert.equal(states, [
    ["- read", "- -", "- -", "next"],
    ["- read", "- -", "next"],
  ]);
  assert.equal(told, []);
});

// Guards against a change in services whose engines do not report the slowdown of their hosts.
test("in a service that is not work-aware the engine counts as a holder at once", async (context) => {
  const { dependencies, sent, works } = create(context, false);
  const choice = chooseOrThrow(dependencies);
  context.answer = refused;
  assert.equal(await attempt(dependencies, choice), ["held -", "held -", "held -", "no source"]);
  assert.equal([sent, works], [[undefined], []]);
});

test("another engine takes a known prompt if it is expected much sooner, and fetches it", async (context) => {
  const { address, dependencies, sent, works, times } = create(context, true);
  const first = chooseOrThrow(dependencies);
  await attempt(dependencies, first);
  works.length = 0;
  ["e-1", "e-2", "e-3"].forEach((id) => times.set(id, id === first.entry.record.id ? 900 : 100));
  const moved = chooseOrThrow(dependencies);
  assert.equal([moved.reason, moved.preferred === first.entry], ["sooner", true]);
  assert.equal(works[0], { promptTokens: 12_730, unreadTokens: 130, outputTokens: 50 });
  assert.equal((await attempt(dependencies, moved)).at(-1), "holder");
  assert.is(sent.at(-1), address);
});

// Guards against an attempt that is given up for an engine to which the request cannot be sent: it would fail then.
test("a slow attempt is compared with an engine that the next one may use", (context) => {
  const { dependencies, compared } = create(context, true);
  const choice = chooseOrThrow(dependencies);
  const ids = ["e-1", "e-2", "e-3"];
  const others = ids.filter((id) => id !== choice.entry.record.id);
  const [tried = "", left] = others;
  for (const constraints of [
    { excluded: new Set([tried]), softwareVersion: undefined },
    { excluded: new Set(others), softwareVersion: undefined },
    { excluded: new Set<string>(), softwareVersion: "v2" },
  ]) {
    const target = UpstreamTarget.create(dependencies, request, choice, constraints);
    target.send(undefined, {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => undefined,
      onFailure: () => undefined,
    });
    target.isRepeatSooner(1_000);
    target.finish(false);
  }
  assert.equal(compared, [left, undefined, undefined]);
});

test.run();
