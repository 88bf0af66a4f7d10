import { Confirmation } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("Confirmation");

const start = { monotonic: 1_000, wall: 5_000 };
const after = (monotonic: number, wall = monotonic) => ({
  monotonic: start.monotonic + monotonic,
  wall: start.wall + wall,
});

test("is infinitely old before the first confirmation", () => {
  assert.is(Confirmation.create().getAgeMilliseconds(start), Infinity);
});

test("counts from when the question was sent", () => {
  const confirmation = Confirmation.create();
  confirmation.confirm(start, after(300));
  assert.is(confirmation.getAgeMilliseconds(after(900)), 900);
});

test("grows during a suspension, in which the steady clock stands still", () => {
  const confirmation = Confirmation.create();
  confirmation.confirm(start, after(10));
  assert.is(confirmation.getAgeMilliseconds(after(20, 6_000)), 6_000);
});

test("does not look younger when the time of day steps back", () => {
  const confirmation = Confirmation.create();
  confirmation.confirm(start, after(10));
  assert.is(confirmation.getAgeMilliseconds(after(4_000, -2_000)), 4_000);
});

test("keeps the newer one of two confirmations, and adds the age that a peer tells", () => {
  const confirmation = Confirmation.create();
  confirmation.confirm(after(1_000), after(1_010));
  confirmation.confirm(start, after(1_020));
  confirmation.confirm(after(1_500), after(1_510), 1_200);
  assert.is(confirmation.getAgeMilliseconds(after(2_000)), 1_000);
});

test.run();
