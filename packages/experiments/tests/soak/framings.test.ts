import { suite } from "uvu";
import { runSoakOrThrow } from "./runSoak.js";

const test = suite("soak: answers in chunks, with a length and with neither");

const usual = ["--seed", "9101", "--seconds", "6"];

// Guards against streams that end as complete too early when their router or their upstream is gone (ORDER).
test("keeps every promise when routers are killed and upstreams crash", () =>
  runSoakOrThrow([...usual, "--kinds", "kill,upstream-crashed"]));

// Guards against streams that go on at another upstream and are cut at the first one's length (ORDER).
test("keeps every promise when answers break inside events", () =>
  runSoakOrThrow([...usual, "--modes", "torn", "--routers", "2"]));

test.run();
