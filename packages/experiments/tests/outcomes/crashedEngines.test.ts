import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runOutcomes } from "./runOutcomes.js";

const test = suite("outcomes: engines that crash");

// Guards against streams that end as complete too early when their engine crashes between two events (ORDER).
test("finds none when engines crash whose answers have a length or name no end", async () => {
  const { output, exitCode } = await runOutcomes("crash", "--share", "0.7", "--seconds", "8");
  assert.match(output, /disturbances=[1-9]/);
  assert.match(output, /REFUSED=0 TWICE=0 repeated=0 mixed=0 early=0/, output);
  assert.match(output, / length=[1-9]/);
  assert.match(output, / none=[1-9]/);
  assert.is(exitCode, 0);
});

test.run();
