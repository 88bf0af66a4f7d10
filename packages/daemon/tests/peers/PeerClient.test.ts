import type { ForwardedAct, ForwardedAnswer } from "../../dist/acts/schema.js";
import { createServer } from "node:net";
import { once } from "node:events";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { request } from "undici";
import {
  PeerClient,
  PeerListener,
  type Peer,
  type PeerCallError,
  type PeerHandlers,
} from "../../dist/peers/index.js";
import { CallAuthenticator } from "../../dist/peers/CallAuthenticator.js";

const key = "0123456789abcdef0123456789abcdef";
const otherKey = "another key that is not the fleet's";
const now = 1_000_000;
const deadline = now + 60_000;

const act: ForwardedAct = {
  requestId: "r1",
  key: "act-key",
  call: {
    team: "t",
    service: "s",
    method: "POST",
    path: "/charges",
    headers: { "content-type": "text/plain" },
    body: Buffer.from([0, 255, 1]),
    deadline,
  },
};

const answered: ForwardedAnswer = {
  kind: "answered",
  record: { state: "done", answer: { status: 200, headers: [], body: Buffer.from([254, 0]) } },
};

const gzip = Buffer.from([0x1f, 0x8b, 0xff, 0]);
const wanted = { generation: 1, revision: 0, digest: "0".repeat(64) };

const handlers: PeerHandlers = {
  forwardAct: (forwarded, from) => {
    const isSame = Buffer.from(forwarded.call.body).equals(Buffer.from(act.call.body));
    const rejection = { code: "act-running", outcome: "unknown", message: from } as const;
    return Promise.resolve(isSame ? answered : { kind: "rejected", ...rejection });
  },
  adoptActs: () => Promise.reject(new RangeError("no room")),
  getConfiguration: ({ revision }) => Promise.resolve(revision === 7 ? { gzip } : null),
  getHosts: () => Promise.resolve(null),
  getRevisionAnnouncement: (from) => Promise.resolve({ from, zone: "z", isReadFailing: false }),
  getHealthReports: () => new Promise(() => undefined),
};

async function createListener(daemon = "b", listenerKey = key): Promise<PeerListener> {
  return await PeerListener.create("127.0.0.1:0", {
    daemon,
    key: listenerKey,
    bodyBytes: 1_048_576,
    getNow: () => now,
    isPeer: (name) => name === "a",
    handlers,
    onDropped: () => undefined,
    onError: () => undefined,
  });
}

function createCalls(daemon = "a", callsKey = key): PeerClient {
  return PeerClient.create({ daemon, incarnation: 5, key: callsKey, getNow: () => now });
}

function createPeer(listener: PeerListener): Peer {
  return { name: "b", peerAddress: listener.getAddress() };
}

function describe(error: PeerCallError): string {
  return `${error.code}: ${error.message}`;
}

async function getFailure(calls: PeerClient, peer: Peer, until = deadline): Promise<string> {
  const result = await calls.getHealthReports(peer, until);
  return result.isErr ? describe(result.error) : "answered";
}

async function getAdoptionFailure(calls: PeerClient, peer: Peer): Promise<string> {
  const times = { latestTime: 1, lastExpiresAt: 1 };
  const table = { issuer: "a", incarnation: "i", secret: Buffer.alloc(16), ...times, acts: [] };
  const successor = { name: "b", incarnation: "i" };
  const result = await calls.adoptActs(peer, { successor, table }, deadline);
  return result.isErr ? describe(result.error) : "answered";
}

const test = suite("PeerClient");

test("an unlisted daemon may read from a seed whose name it does not know", async () => {
  const listener = await createListener();
  const calls = createCalls("stranger");
  const hosts = await calls.getHosts({ ...createPeer(listener), name: "" }, { after: 1 }, deadline);
  assert.equal(hosts.unwrapOr({ revision: 0, hosts: [] }), null);
  await calls.close();
  await listener.close();
});

test("carries bytes, nulls and texts in calls and answers", async () => {
  const listener = await createListener();
  const calls = createCalls();
  const peer = createPeer(listener);
  const forwarded = await calls.forwardAct(peer, act, deadline);
  const known = await calls.getConfiguration(peer, { ...wanted, revision: 7 }, deadline);
  const none = await calls.getConfiguration(peer, { ...wanted, revision: 8 }, deadline);
  assert.equal(forwarded.unwrapOr({ kind: "moved", to: "" }), answered);
  assert.equal(known.unwrapOr(null), { gzip });
  assert.is(none.unwrapOr({ gzip }), null);
  await calls.close();
  await listener.close();
});

test("each cause of a failed call has its own error", async () => {
  const [listener, forger] = await Promise.all([createListener(), createListener("b", otherKey)]);
  const renamed = await createListener("c");
  const calls = createCalls();
  const closed = await createListener();
  await closed.close();
  assert.equal(
    [
      await getAdoptionFailure(calls, createPeer(listener)),
      await getFailure(calls, createPeer(listener), now + 50),
      await getFailure(calls, createPeer(closed)),
      await getFailure(calls, createPeer(renamed)),
      await getFailure(calls, createPeer(forger)),
      await getAdoptionFailure(createCalls("stranger"), createPeer(listener)),
      await getAdoptionFailure(calls, { ...createPeer(listener), name: "" }),
    ],
    [
      'peer-refused: daemon "b" refused the call: no room',
      'peer-timeout: daemon "b" did not answer before the deadline',
      'peer-unreachable: daemon "b" cannot be reached',
      'peer-refused: daemon "b" refused the call: {"reason":"forged"}',
      'peer-refused: daemon "b" refused the call: {"reason":"forged"}',
      'peer-refused: daemon "b" refused the call: {"reason":"unlisted"}',
      'peer-refused: daemon "" refused the call: {"reason":"forged"}',
    ],
  );
  assert.equal(listener.getDropCounts(), {
    truncated: 0,
    forged: 1,
    malformed: 0,
    old: 0,
    replayed: 0,
    unlisted: 1,
  });
  await calls.close();
  await Promise.all([listener.close(), forger.close(), renamed.close()]);
});

test("rejects a forged answer and an incomplete one", async () => {
  const forged = 'content-length: 22\r\nx-peer-mac: AAAA\r\n\r\n{"result":{"data":""}}';
  const incomplete = "content-length: 9\r\n\r\nhalf";
  const answers = [forged, incomplete].map((rest) => `HTTP/1.1 200 OK\r\n${rest}`);
  const server = createServer((socket) => {
    socket.once("data", () => socket.end(answers.shift() ?? ""));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const calls = createCalls();
  const peer = { name: "b", peerAddress: `127.0.0.1:${String(port)}` };
  assert.equal(
    [await getFailure(calls, peer), await getFailure(calls, peer)],
    [
      'peer-forged: daemon "b" gave an answer with a wrong authentication code',
      'peer-lost: daemon "b" closed the connection before its answer',
    ],
  );
  await calls.close();
  server.close();
});

test("drops unsigned, changed, old and replayed calls", async () => {
  const listener = await createListener();
  const path = "/peers/getHosts";
  const body = '"gaVhZnRlcgE="';
  const send = async (at: number, changes: object = {}, sent = body): Promise<string> => {
    const signer = CallAuthenticator.create(key, () => at);
    const { from, mac } = signer.sign("a/1/1", "b", { method: "POST", path, body });
    const signature = { "x-peer-from": from, "x-peer-at": String(at), "x-peer-mac": mac };
    const answer = await request(`http://${listener.getAddress()}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json", ...signature, ...changes },
      body: sent,
    });
    return `${String(answer.statusCode)} ${await answer.body.text()}`;
  };
  assert.equal(
    [
      await send(now, { "x-peer-mac": "" }),
      await send(now, { "x-peer-from": "a/1/2" }),
      await send(now, { "x-peer-at": String(now + 1) }),
      await send(now, {}, '"gaVhZnRlcgI="'),
      await send(now - 5_001),
      await send(now),
      await send(now),
    ],
    [
      '401 {"reason":"forged"}',
      '401 {"reason":"forged"}',
      '401 {"reason":"forged"}',
      '401 {"reason":"forged"}',
      '401 {"reason":"old"}',
      '200 {"result":{"data":"wA=="}}',
      '401 {"reason":"replayed"}',
    ],
  );
  await listener.close();
});

test.run();
