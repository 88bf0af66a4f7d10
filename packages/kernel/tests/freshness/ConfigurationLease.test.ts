import { ConfigurationLease } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("ConfigurationLease");

const start = { monotonic: 1_000, wall: 5_000 };
const after = (monotonic: number, wall = monotonic) => ({
  monotonic: start.monotonic + monotonic,
  wall: start.wall + wall,
});

test("is infinitely old before the first confirmation", () => {
  assert.is(ConfigurationLease.create().getAgeMilliseconds(start), Infinity);
});

test("counts from when the question was sent", () => {
  const confirmation = ConfigurationLease.create();
  confirmation.renew(start, after(300));
  assert.is(confirmation.getAgeMilliseconds(after(900)), 900);
});

test("grows during a suspension, in which the steady clock stands still", () => {
  const confirmation = ConfigurationLease.create();
  confirmation.renew(start, after(10));
  assert.is(confirmation.getAgeMilliseconds(after(20, 6_000)), 6_000);
});

test("does not look younger when the time of day steps back", () => {
  const confirmation = ConfigurationLease.create();
  confirmation.renew(start, after(10));
  assert.is(confirmation.getAgeMilliseconds(after(4_000, -2_000)), 4_000);
});

test("keeps the newer one of two confirmations, and adds the age that a peer tells", () => {
  const confirmation = ConfigurationLease.create();
  confirmation.renew(after(1_000), after(1_010));
  confirmation.renew(start, after(1_020));
  confirmation.renew(after(1_500), after(1_510), 1_200);
  assert.is(confirmation.getAgeMilliseconds(after(2_000)), 1_000);
});

test.run();
