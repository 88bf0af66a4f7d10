import { respondWith, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createPeerStreamSuite } from "./createPeerStreamSuite.js";
import { createStreamSuite } from "./createStreamSuite.js";
import { firstThen, setScripts, writeRaw } from "./scripts.js";

const test = createStreamSuite("answers with a status that no answer has");
const statuses = ["000", "001", "099", "101", "199", "600", "999"];
const settlingMilliseconds = 100;

function answerWith(status: string): Script {
  const createText = (id: string): string =>
    `HTTP/1.1 ${status} X\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nContent-Length: 4\r\n\r\nbody`;
  return writeRaw(createText, "close");
}

for (const status of statuses) {
  // Guards against bytes that are no answer being passed on as one (MIXED).
  test(`are asked for elsewhere: ${status}`, async (context) => {
    setScripts(context, firstThen(answerWith(status), respondWith("whole")));
    const { status: seen, body } = await context.fixture.call("/read/1");
    assert.equal([seen, body], [200, "whole"]);
  });

  test(`leave open whether a request has run: ${status}`, async (context) => {
    setScripts(context, answerWith(status));
    const act = await context.fixture.call("/act/1", { method: "POST", body: "x" });
    const stream = await context.fixture.call("/once/1", { method: "POST", id: "q-2" });
    assert.equal([act.status, stream.status], [502, 502]);
    await delay(settlingMilliseconds);
    const lost = context.fixture.logLines.filter((line) => line.includes("event=attempt.lost"));
    assert.is(lost.length, 2);
  });
}

test.run();

const forwarded = createPeerStreamSuite(
  "answers with a status that no answer has, through a peer",
  respondWith("whole"),
);

for (const status of statuses) {
  forwarded(`leave open whether a request has run: ${status}`, async ({ fleet }) => {
    fleet.upstreams.forEach((upstream) => {
      upstream.setScript(answerWith(status));
    });
    const response = await fleet.routers[0]?.call("/act/1", { method: "POST", body: "x" });
    assert.is(response?.status, 502);
  });
}

forwarded.run();
