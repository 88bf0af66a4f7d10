import { ScriptedUpstream, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture } from "./RouterFixture.js";

const test = suite("requests that crash their upstream late");

/** Longer than it takes to show that an upstream withstood the prompt. */
const writingMilliseconds = 1_100;

/** Writes an event, goes on for a while and resets the connection, as an upstream that crashes does. */
const crashLate: Script = ({ id }, response) => {
  response.writeHead(200, { "request-id": id, "content-type": "text/event-stream" });
  response.write("id: 1\ndata: piece 1\n\n");
  void delay(writingMilliseconds).then(() => response.socket?.resetAndDestroy());
};

// Guards against a request that crashes one upstream after another, each after it wrote for a second (BUDGET).
test("are refused once they have crashed three upstreams", async () => {
  const upstreams = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"].map((id) =>
    ScriptedUpstream.create(id, crashLate),
  );
  const fixture = await RouterFixture.create(upstreams);
  const statuses: number[] = [];
  for (let index = 0; index < 6; index += 1) {
    const id = `q-${String(index)}`;
    const { status } = await fixture.call("/once/1", { id, method: "POST", body: "x" });
    statuses.push(status);
  }
  const arrivals = upstreams.reduce((sum, { received }) => sum + received.length, 0);
  const lost = new Set(upstreams.filter(({ received }) => received.length > 0)).size;
  await fixture.close(upstreams);
  assert.is(statuses.at(-1), 503);
  assert.ok(lost >= 3 && arrivals <= 5, `${String(arrivals)} at ${String(lost)}`);
});

test.run();
