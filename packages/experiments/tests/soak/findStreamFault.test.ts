import { findStreamFault, getEvent, getStream } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak: findStreamFault");

const sources = ["u-1", "u-2"];
const whole = getStream("q-1", "u-1");

/** Gets the fault of a stream that ended as complete, and of the same bytes if it was broken off. */
function getFaults(body: string): (string | undefined)[] {
  return [true, false].map(
    (isWhole) => findStreamFault({ id: "q-1", body, isWhole }, sources)?.fault,
  );
}

function getFirstEvents(count: number): string {
  return whole.slice(0, whole.length - getStream("q-1", "u-1", count).length);
}

test("finds nothing in a complete stream, of one upstream or of two", () => {
  assert.equal(getFaults(whole), [undefined, undefined]);
  const resumed = getFirstEvents(3) + getStream("q-1", "u-2", 3);
  assert.is.not(resumed.length, whole.length);
  assert.equal(getFaults(resumed), [undefined, undefined]);
});

// Guards against streams that end as complete before their last event (ORDER).
test("finds a stream that ends as complete too early, and none that is broken off", () => {
  assert.equal(getFaults(getFirstEvents(7)), ["early", undefined]);
  assert.equal(getFaults(""), ["early", undefined]);
});

// Guards against streams that are cut or filled up at the length of another answer (ORDER).
test("finds bytes that are no event at the end of a complete stream", () => {
  assert.equal(getFaults(`${getFirstEvents(7)}id: 8\ndata: pie`), ["bytes", undefined]);
  assert.equal(getFaults(`${whole}HTTP/1.1 200`), ["bytes", "bytes"]);
  assert.equal(getFaults(`${getFirstEvents(2)}xyz`), ["bytes", "bytes"]);
});

test("finds ids that go back, repeat or skip, and events of other calls and upstreams", () => {
  const [first, second, third] = [1, 2, 3].map((event) => getEvent("q-1", event, "u-1"));
  const two = `${String(first)}${String(second)}`;
  const foreign = [getEvent("q-2", 3, "u-1"), getEvent("q-1", 3, "u-9")];
  const odd = [first, second, getEvent("q-1", 4, "u-1"), ...foreign];
  odd.forEach((event) => {
    assert.equal(getFaults(`${two}${String(event)}`), ["order", "order"]);
  });
  assert.equal(getFaults(String(third)), ["order", "order"]);
  assert.equal(getFaults(whole + getEvent("q-1", 9, "u-1")), ["order", "order"]);
});

test.run();
