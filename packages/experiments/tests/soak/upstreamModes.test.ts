import { suite } from "uvu";
import { runSoakOrThrow } from "./runSoak.js";

const test = suite("soak: upstreams that run requests and answer as if they had not");

const secondsPerMode = 2;
const sizes = ["--routers", "2", "--callersPerRouter", "4"];

function runModesOrThrow(...modes: readonly string[]): Promise<void> {
  const seconds = String(modes.length * secondsPerMode);
  return runSoakOrThrow([
    "--seed",
    "1",
    "--seconds",
    seconds,
    "--modes",
    modes.join(","),
    ...sizes,
  ]);
}

// Guards against a promise that a request was not run, or a second run, after a status alone (REFUSED, TWICE).
test("a status that promises that a request did not run proves nothing without a statement", () =>
  runModesOrThrow("unproven", "unproven-torn"));

// Guards against the same after a statement on a result, without a value, or given twice.
test("a statement that is not exactly one, on a status that means so, proves nothing", () =>
  runModesOrThrow("stated-result", "stated-empty", "stated-twice"));

// Guards against the same after a refusal of another request, of none, or of an earlier attempt.
test("a refusal that comes before the answer to a running request proves nothing", () =>
  runModesOrThrow("stray-foreign", "stray-nameless", "stray-earlier"));

// Guards against the same after an answer to a request whose body still comes, and against a changed body (UNASKED).
test("an answer before the end of the body proves no more than one after it", () =>
  runModesOrThrow("early"));

// Guards against answers without end that fill the heap, or keep the routers from all else (LOST, CONFIG).
test("answers without end cost no other requests", () =>
  runModesOrThrow("endless", "endless-event"));

// Guards against a reset right behind bytes that looks like the end of an answer (ORDER, MIXED).
test("a reset right behind a piece of an answer that names no end is no end", () =>
  runModesOrThrow("reset-unframed"));

// Guards against refusals that are no longer believed.
test("upstreams that refuse properly break no promise", () => runModesOrThrow("refusing"));

test.run();
