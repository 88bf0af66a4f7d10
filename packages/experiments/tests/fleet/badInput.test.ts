import { Caller, Fleet, getToken, type FleetLayout } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { request, type Dispatcher } from "undici";

const layout: FleetLayout = {
  daemons: [{ name: "d1", zone: "north" }],
  engines: [{ name: "e1", zone: "north" }],
  services: [{ name: "booking-1", service: "booking", zone: "north" }],
  teams: ["routes"],
};
const chatPath = "/v1/chat/completions";
const chargePath = "/v1/services/booking/charges";
const token = `Bearer ${getToken("routes")}`;
const oversizeBytes = 1_100_000;

/** Sends a request and gets the status, the stable name of the problem and the outcome. */
async function send(
  address: string,
  path: string,
  body: string,
  headers: Record<string, string> = {},
  method: Dispatcher.HttpMethod = "POST",
): Promise<string> {
  const answer = await request(`http://${address}${path}`, {
    method,
    body,
    headers: { authorization: token, "content-type": "application/json", ...headers },
  });
  const text = await answer.body.text();
  const { type = "", outcome = "" } = JSON.parse(text) as { type?: string; outcome?: string };
  return `${String(answer.statusCode)} ${type.replace("urn:pistachioway:", "")} ${outcome}`;
}

function createChat(model: string): string {
  return JSON.stringify({ model, messages: [{ role: "user", content: "hello" }] });
}

const test = suite("bad input");

test("each invalid request gets its typed error, and the daemon keeps serving requests", async () => {
  const fleet = await Fleet.start(layout);
  const caller = Caller.create("routes");
  try {
    const { callers } = fleet.getDaemonOrThrow("d1");
    const key = await caller.requestActKey(callers);
    const answers = {
      malformed: await send(callers, chatPath, '{"model":'),
      incomplete: await send(callers, chatPath, '{"model":"small","messages":[]}'),
      oversize: await send(callers, chatPath, "x".repeat(oversizeBytes)),
      model: await send(callers, chatPath, createChat("none")),
      token: await send(callers, chatPath, createChat("small"), { authorization: "Bearer no" }),
      noToken: await send(callers, chatPath, createChat("small"), { authorization: "" }),
      past: await send(callers, chatPath, createChat("small"), { "x-deadline": "1" }),
      deadline: await send(callers, chatPath, createChat("small"), { "x-deadline": "soon" }),
      chatId: await send(callers, chatPath, createChat("small"), { "x-chat-id": "x".repeat(201) }),
      service: await send(callers, "/v1/services/none/charges", "meal"),
      path: await send(callers, "/v2/none", ""),
      foreignKey: await send(callers, chargePath, "meal", { "idempotency-key": "mine" }),
      forgedKey: await send(callers, chargePath, "meal", { "idempotency-key": `${key}A` }),
    };
    const end = await caller.sendAct(callers, "booking/charges", key);
    const reused = await send(callers, chargePath, "other", { "idempotency-key": key });
    const runs = await fleet.getRuns("booking-1");
    assert.equal(
      { ...answers, good: end.outcome, reused, runs: runs.length },
      {
        malformed: "400 malformed-body not-run",
        incomplete: "400 invalid-request not-run",
        oversize: "413 body-too-large not-run",
        model: "404 unknown-model not-run",
        token: "401 unauthorized not-run",
        noToken: "401 unauthorized not-run",
        past: "504 deadline-exceeded not-run",
        deadline: "400 invalid-deadline not-run",
        chatId: "400 invalid-request not-run",
        service: "404 unknown-service not-run",
        path: "404 unknown-path not-run",
        foreignKey: "400 invalid-act-key not-run",
        forgedKey: "400 invalid-act-key not-run",
        good: "complete",
        reused: "422 act-mismatch unknown",
        runs: 1,
      },
    );
  } finally {
    await caller.close();
    await fleet.stop();
  }
});

test.run();
