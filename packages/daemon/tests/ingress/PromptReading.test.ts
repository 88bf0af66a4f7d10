import {
  getHash,
  PrefixDirectory,
  UpstreamTable,
  type FleetNotice,
  type RequestHead,
  type ResponseHead,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PromptReading, type PromptReadingState } from "../../dist/ingress/index.js";
import { RouterMetrics } from "../../dist/metrics/RouterMetrics.js";

const test = suite("PromptReading");
const document = getHash("document");

const head: RequestHead = {
  id: "r-1",
  authority: "engine.test",
  key: undefined,
  callerTimeoutMilliseconds: undefined,
  promptBlocks: [
    { id: "team", tokens: 600 },
    { id: "document", tokens: 12_000 },
    { id: "own", tokens: 130 },
  ],
  tokens: { prompt: 12_730, maxOutput: 50 },
  lastEventId: undefined,
  resumedRequestId: undefined,
  passedHeaders: [],
};

const answer: ResponseHead = {
  status: 200,
  requestId: "r-1",
  isMisdirected: false,
  meaning: "final",
  notRunStatements: [],
  load: undefined,
  isLeaving: false,
  requestedRest: undefined,
  statedLimit: undefined,
  coldMilliseconds: undefined,
  isFramed: true,
  passedHeaders: [],
};

interface Fixture {
  readonly state: PromptReadingState;
  readonly engines: readonly [UpstreamEntry, UpstreamEntry];
  readonly notices: readonly FleetNotice[];
}

function create(): Fixture {
  const upstreams = UpstreamTable.create();
  for (const id of ["e-1", "e-2"]) {
    const record = { id, service: "engine", address: "127.0.0.1:9", zone: "north", slots: 8 };
    const version = { softwareVersion: "v1", state: "ready", bornAt: 1, sequence: 1 } as const;
    upstreams.addUpstream({ ...record, ...version }, 0);
  }
  const notices: FleetNotice[] = [];
  const state = {
    upstreams,
    prefixes: PrefixDirectory.create(),
    metrics: RouterMetrics.create(),
    addFleetNotice: (notice: FleetNotice) => {
      notices.push(notice);
    },
  };
  return { state, engines: upstreams.getEntries() as [UpstreamEntry, UpstreamEntry], notices };
}

function start({ state }: Fixture, entry: UpstreamEntry, now: number): PromptReading {
  const choice = { entry, reason: "first", path: "open", preferred: undefined } as const;
  return PromptReading.start(state, { head, service: "engine" }, choice, now);
}

test("an engine holds a prompt, and the peers are told, when it has begun to answer", () => {
  const fixture = create();
  const { state, engines, notices } = fixture;
  const [engine, other] = engines;
  const reading = start(fixture, engine, 1_000);
  const second = start(fixture, engine, 1_010);
  const elsewhere = start(fixture, other, 1_020);
  assert.equal(
    [reading, second, elsewhere].map(({ source }) => [source.kind, source.entry?.record.id]),
    [
      ["next", "e-2"],
      ["reading", undefined],
      ["pending", "e-1"],
    ],
  );
  assert.equal([state.prefixes.isHeldBy(document, engine, 1_100), notices], [false, []]);
  reading.recordHead(answer, 1_200);
  // The second head of an attempt, or its end, changes nothing.
  reading.recordHead(answer, 1_300);
  reading.end();
  assert.is(state.prefixes.isHeldBy(document, engine, 1_200), true);
  assert.equal(notices, [{ kind: "prefix", block: document, upstream: engine.hash, at: 1_200 }]);
  assert.is(state.prefixes.isReadBy(document, engine), true);
  second.end();
  elsewhere.end();
  assert.is(state.prefixes.isRead(document), false);
});

// Guards against fetching from engines that refused the prompt, failed, or never began.
test("an attempt that was refused, failed or cancelled leaves no holder", () => {
  const fixture = create();
  const { state, engines, notices } = fixture;
  const [engine] = engines;
  const heads: readonly Partial<ResponseHead>[] = [
    { meaning: "refusal", status: 503 },
    { meaning: "unproven", status: 503 },
    { meaning: "foreign" },
    { status: 500 },
    { status: 400 },
  ];
  for (const changes of heads) {
    start(fixture, engine, 1_000).recordHead({ ...answer, ...changes }, 1_100);
  }
  const cancelled = start(fixture, engine, 1_000);
  cancelled.end();
  cancelled.recordHead(answer, 1_100);
  const { prefixes } = state;
  assert.equal(
    [prefixes.isHeldBy(document, engine, 1_100), prefixes.isRead(document), notices],
    [false, false, []],
  );
});

// Guards against an engine that counts as a holder although its transfer failed and it was lost before it began.
test("a source that is gone between the choice and the transfer is ruled out for the next attempt", async () => {
  const fixture = create();
  const { state, engines } = fixture;
  const [holder, engine] = engines;
  start(fixture, holder, 1_000).recordHead(answer, 1_100);
  const reading = start(fixture, engine, 1_200);
  holder.path.recordConnectFailure(1_210);
  reading.end();
  const next = start(fixture, engine, 1_300);
  next.recordHead(answer, 1_700);
  const last = start(fixture, engine, 1_800);
  assert.equal(
    [reading, next, last].map(({ source }) => [source.kind, source.entry?.record.id]),
    [
      ["holder", "e-1"],
      ["none", undefined],
      ["held", undefined],
    ],
  );
  const { values } = await state.metrics.promptSources.get();
  assert.equal(
    values.map(({ labels, value }) => [labels.source, value]),
    [
      ["next", 1],
      ["holder", 1],
      ["none", 1],
      ["held", 1],
    ],
  );
});

test.run();
