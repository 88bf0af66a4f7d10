import { Service } from "@pistachioway/standins";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const bodyDigest = "aec6c3d03f013562eb39fd3ad0808d90e73252130bd695f676dfb96174139098";
const test = suite("Service");

async function start(die?: () => void): Promise<[Service, string]> {
  const service = Service.create({}, die);
  return [service, `http://${await service.listen()}`];
}

async function charge(url: string, attempt: string) {
  const answer = await request(`${url}/charges`, {
    method: "POST",
    headers: { "x-attempt-id": attempt, "idempotency-key": "k1" },
    body: "meal",
  });
  const body = (await answer.body.json()) as object;
  return { status: answer.statusCode, outcome: answer.headers["x-outcome"], body };
}

test("records a call each time it is sent, whatever its key", async () => {
  const [service, url] = await start();
  const answers = [await charge(url, "a1"), await charge(url, "a2")];
  const expected = { key: "k1", path: "/charges", bodyDigest };
  assert.equal(answers, [
    { status: 200, outcome: undefined, body: { sequence: 1, ...expected } },
    { status: 200, outcome: undefined, body: { sequence: 2, ...expected } },
  ]);
  assert.equal(
    service.getRuns().map(({ attempt, key }) => ({ attempt, key })),
    [
      { attempt: "a1", key: "k1" },
      { attempt: "a2", key: "k1" },
    ],
  );
  await service.close();
});

test("refuses before it runs, and reports that it is leaving", async () => {
  const [service, url] = await start();
  service.setFaults({ leaving: true });
  const refused = await charge(url, "a1");
  const health = await request(`${url}/health`);
  assert.equal(
    [refused.status, refused.outcome, health.statusCode, service.getRuns()],
    [503, "not-run", 503, []],
  );
  await health.body.dump();
  await service.close();
});

test("records before it answers while held", async () => {
  const [service, url] = await start();
  service.setFaults({ held: true });
  const answer = charge(url, "a1");
  const records = await request(`${url}/_control/records?atLeast=1&wait=30000`);
  const { records: runs } = (await records.body.json()) as { records: object[] };
  service.setFaults({ held: false });
  assert.equal([runs.length, (await answer).status], [1, 200]);
  await service.close();
});

test("dies before or after the record, without an answer", async () => {
  const seen: string[] = [];
  for (const die of ["before-record", "after-record"] as const) {
    const [service, url] = await start(() => {
      seen.push(`${die} ${String(service.getRuns().length)}`);
      void service.close();
    });
    service.setFaults({ die });
    await charge(url, "a1").catch(() => seen.push("no answer"));
  }
  assert.equal(seen, ["before-record 0", "no answer", "after-record 1", "no answer"]);
});

test.run();
