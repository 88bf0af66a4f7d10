import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RequestAdmission } from "../../dist/ingress/RequestAdmission.js";

type Dependencies = Parameters<typeof RequestAdmission.create>[0];
type Request = Parameters<typeof RequestAdmission.create>[1];
type Origin = Parameters<RequestAdmission["wait"]>[0];
type Listener = Parameters<RequestAdmission["wait"]>[1];

interface Context {
  now: number;
  isRevoked: boolean;
  identities: unknown[];
  /** Requests that were counted for the retry budget. */
  counted: number;
  results: string[];
  /** Sends the request that waits. */
  send: () => void;
}

const test = suite<Context>("RequestAdmission");

const request = {
  head: { id: "q-1", authority: "chat", key: "k-1", promptBlocks: [] },
  path: "/v1",
  body: Buffer.alloc(0),
  approval: { route: { goalMilliseconds: 1_000, priority: 0 }, team: { name: "a", priority: 0 } },
  service: "engine",
  arrivedAt: 0,
  deadline: 5_000,
} as unknown as Request;

test.before.each((context) => {
  context.now = 0;
  context.isRevoked = false;
  context.identities = [];
  context.counted = 0;
  context.results = [];
  const dependencies = {
    admission: {
      isUsedFor: () => true,
      add: (_service: string, _request: unknown, listener: Listener) => {
        context.send = () => {
          listener(undefined);
        };
      },
    },
    retryBudgets: {
      get: () => ({
        addRequest: () => {
          context.counted += 1;
        },
      }),
    },
    checkRequest: (identity: unknown) => {
      context.identities.push(identity);
      return context.isRevoked
        ? { kind: "refusal", reason: "unknown-key" }
        : { kind: "pass", route: {}, team: undefined };
    },
    getNow: () => context.now,
  } as unknown as Dependencies;
  const origin = {
    find: (listener: Listener) => {
      listener(undefined);
    },
  } as unknown as Origin;
  RequestAdmission.create(dependencies, request).wait(origin, (refusal) => {
    context.results.push(refusal?.name ?? "sent");
  });
});

// Guards against a key that is accepted after its revocation, because its request was approved before and waited.
test("a request whose key is revoked while it waits is not sent, and earns no retries", (context) => {
  context.now = 800;
  context.isRevoked = true;
  context.send();
  assert.equal([context.results, context.counted], [["unknown-key"], 0]);
  assert.equal(context.identities, [{ authority: "chat", path: "/v1", key: "k-1" }]);
});

test("a request whose key holds is sent after its wait", (context) => {
  context.now = 800;
  context.send();
  assert.equal([context.results, context.counted], [["sent"], 1]);
});

test("a request that does not wait is not checked again", (context) => {
  context.send();
  assert.equal([context.results, context.identities], [["sent"], []]);
});

test.run();
