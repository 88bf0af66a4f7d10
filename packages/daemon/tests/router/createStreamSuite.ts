import { ScriptedUpstream } from "@pistachioway/standins";
import { suite, type Test } from "uvu";
import { processTimeoutMilliseconds } from "./ProcessContext.js";
import { RouterFixture } from "./RouterFixture.js";
import type { Context } from "./scripts.js";

/**
 * Creates a suite whose tests have a router with two upstreams, and routes with the time-out of long streams.
 * @param name - Name of the suite.
 */
export function createStreamSuite(name: string): Test<Context> {
  const test = suite<Context>(name);
  test.before.each(async (context) => {
    context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
    context.fixture = await RouterFixture.create(context.upstreams);
    context.fixture.store.publishConfiguration({
      version: 2,
      timeoutMilliseconds: processTimeoutMilliseconds,
    });
  });
  test.after.each(async ({ fixture, upstreams }) => {
    await fixture.close(upstreams);
  });
  return test;
}
