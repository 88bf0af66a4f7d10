import { TickListeners } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("TickListeners");

// Guards against one odd request that ends the process, or keeps the others from being checked (FAULT).
test("a function that fails is reported once, and keeps no other from being called", () => {
  const calls: string[] = [];
  const ticks = TickListeners.create((error) => calls.push(String(error)));
  ticks.add(() => {
    throw new Error("no such request");
  });
  ticks.add(() => calls.push("checked"));
  ticks.run();
  ticks.run();
  assert.equal(calls, ["Error: no such request", "checked", "checked"]);
});

test.run();
