import { suite } from "uvu";
import { assertDelivered, createTraffic, tellSamples } from "./noticePlays.js";

const test = suite("delivery of notices in the largest fleet");

// Guards against notices on prompt blocks that keep losses, limits and leaving upstreams from the fleet (BUDGET).
test("349 daemons: what all must know arrives in time beside the notices on prompt blocks", () => {
  const traffic = createTraffic(349, 6);
  tellSamples(traffic);
  assertDelivered(traffic, "349 daemons");
});

test.run();
