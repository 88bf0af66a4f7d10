import type { Script } from "@pistachioway/standins";
import { suite, type Test } from "uvu";
import * as assert from "uvu/assert";
import { LinkedFleet } from "./LinkedFleet.js";
import { waitFor } from "./RouterFixture.js";

/** Three routers with two upstreams, of which the first router reaches none. */
export interface PeerContext {
  fleet: LinkedFleet;
}

const timeoutMilliseconds = 5_000;
const maxBodyBytes = 8_388_608;

/**
 * Creates a suite whose tests send streams through a peer.
 * @param name - Name of the suite.
 * @param script - How the upstreams respond until a test sets something else.
 */
export function createPeerStreamSuite(name: string, script: Script): Test<PeerContext> {
  const test = suite<PeerContext>(name);
  test.before.each(async (context) => {
    const createScript = (): Script => script;
    context.fleet = await LinkedFleet.create({ routers: 3, upstreams: 2, createScript });
    const [router] = context.fleet.routers;
    assert.ok(router);
    router.store.publishConfiguration({ version: 2, timeoutMilliseconds, maxBodyBytes });
    context.fleet.setLinks(0, "closed");
    await router.call("/read/1", { id: "q-first" });
    await waitFor(() => router.logLines.some((line) => line.includes("service.unreached")));
  });
  test.after.each(async ({ fleet }) => {
    await fleet.close();
  });
  return test;
}
