import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Kernel, PluginRegistry, UnknownPluginError, type Plugin } from "@pistachioway/kernel";

const counter: Plugin<number, number, string> = {
  name: "counter",
  createState: (seed) => seed,
  handle: (state, message) => ({
    state: state + message,
    effects: [`now ${String(state + message)}`],
  }),
};

const test = suite("Kernel");

test("refuses a message to a plug-in that is not registered", () => {
  const kernel = Kernel.create(1);
  assert.throws(
    () => kernel.send(counter, 1, 0),
    (error: unknown) => error instanceof UnknownPluginError && error.pluginName === "counter",
  );
});

test("refuses a second plug-in of the same name", () => {
  const registry = PluginRegistry.create();
  registry.addPlugin(counter);
  assert.throws(() => registry.addPlugin(counter), /plug-in "counter" is already registered/);
});

test.run();
